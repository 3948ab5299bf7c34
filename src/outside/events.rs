//! Server-sent events of a streamed answer.

use std::io::{BufRead, BufReader, Read};
use std::time::{Duration, Instant};

use attohttpc::{Response, ResponseReader};

use super::client::is_timeout;
use super::{Chunk, Chunks, EngineError};

/// Longest line of a stream, bytes.
const MAX_LINE: u64 = 1024 * 1024;

/// Event that ends a stream.
const DONE: &str = "[DONE]";

/// A streamed answer; dropping it closes the connection.
#[derive(Debug)]
pub struct Events {
    reader: BufReader<ResponseReader>,
    line: String,
    silence: Duration,
}

impl Events {
    /// Reads the events of `response`, each within `silence` of the one before.
    pub fn new(response: Response, silence: Duration) -> Self {
        let (_, _, reader) = response.split();
        Events {
            reader: BufReader::new(reader),
            line: String::new(),
            silence,
        }
    }

    fn read_line(&mut self) -> Result<&str, EngineError> {
        self.line.clear();
        let mut reader = self.reader.by_ref().take(MAX_LINE);
        let outcome = reader.read_line(&mut self.line);
        let text = match outcome {
            Ok(0) => "the stream ended before [DONE]".into(),
            Ok(_) if self.line.ends_with('\n') => return Ok(self.line.trim_end()),
            Ok(_) => "the stream broke within a line".into(),
            Err(e) if is_timeout(&e) => return Err(EngineError::Silent(e.to_string())),
            Err(e) => e.to_string(),
        };
        Err(EngineError::Broken(text))
    }
}

impl Chunks for Events {
    fn next(&mut self) -> Result<Chunk, EngineError> {
        let start = Instant::now();
        let limit = self.silence;
        loop {
            let line = self.read_line()?;
            if let Some(data) = line.strip_prefix("data:") {
                let data = data.trim_start();
                return Ok(match data {
                    DONE => Chunk::Done,
                    _ => Chunk::Data(data.to_owned()),
                });
            }
            // Comments keep the connection open, but are no progress.
            if start.elapsed() > limit {
                return Err(EngineError::Silent("only comments came".into()));
            }
        }
    }
}
