//! Reader of server-sent events.

use std::io::{BufRead, BufReader, Read};
use std::time::{Duration, Instant};

use attohttpc::{Response, ResponseReader};

use super::client::is_timeout;
use super::{Chunk, ChunkStream, EngineError};

/// Longest accepted line, bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Reads the events of a response; dropping it closes the connection.
#[derive(Debug)]
pub struct SseReader {
    reader: BufReader<ResponseReader>,
    line: String,
    read_timeout: Duration,
}

impl SseReader {
    /// Creates a reader of `response` that waits at most `read_timeout` for each event.
    pub fn new(response: Response, read_timeout: Duration) -> Self {
        let (_, _, reader) = response.split();
        SseReader {
            reader: BufReader::new(reader),
            line: String::new(),
            read_timeout,
        }
    }

    fn read_line(&mut self) -> Result<&str, EngineError> {
        self.line.clear();
        let mut reader = self.reader.by_ref().take(MAX_LINE_BYTES);
        let outcome = reader.read_line(&mut self.line);
        let text = match outcome {
            Ok(0) => "the stream ended before [DONE]".into(),
            Ok(_) if self.line.ends_with('\n') => return Ok(self.line.trim_end()),
            Ok(_) => "the stream broke within a line".into(),
            Err(e) if is_timeout(&e) => return Err(EngineError::TimedOut(e.to_string())),
            Err(e) => e.to_string(),
        };
        Err(EngineError::ConnectionLost(text))
    }
}

impl ChunkStream for SseReader {
    fn next(&mut self) -> Result<Chunk, EngineError> {
        let start = Instant::now();
        let limit = self.read_timeout;
        loop {
            let line = self.read_line()?;
            if let Some(data) = line.strip_prefix("data:") {
                let data = data.trim_start();
                return Ok(match data {
                    DONE => Chunk::Done,
                    _ => Chunk::Data(data.to_owned()),
                });
            }
            // Comments only keep the connection open; they do not reset the timeout.
            if start.elapsed() > limit {
                return Err(EngineError::TimedOut("only comments came".into()));
            }
        }
    }
}
