//! A caller that sends all its requests on one connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use mastichinge::fakes::site::CALLER_KEY;
use serde_json::json;

use super::WAIT_TIMEOUT;

/// A connection to the callers' port of a host.
pub struct KeptConnection {
    stream: BufReader<TcpStream>,
    /// Whether the last response said that the host closes the connection.
    closes: bool,
}

impl KeptConnection {
    /// Connects to `addr`.
    pub fn open(addr: SocketAddr) -> KeptConnection {
        let stream = TcpStream::connect(addr).expect("a connection");
        let timeout = stream.set_read_timeout(Some(WAIT_TIMEOUT));
        timeout.expect("the timeout is set");
        KeptConnection {
            stream: BufReader::new(stream),
            closes: false,
        }
    }

    /// Sends prompts for `model`, one after the other, until the host closes the connection.
    /// Returns the statuses; 0 if a response is missing or incomplete.
    pub fn ask_until_closed(mut self, model: &str) -> Vec<u16> {
        let mut statuses = Vec::new();
        loop {
            let status = self.ask(model).unwrap_or(0);
            statuses.push(status);
            if status == 0 || self.closes {
                return statuses;
            }
        }
    }

    fn ask(&mut self, model: &str) -> Option<u16> {
        let body = json!({
            "model": model, "stream": true,
            "messages": [{"role": "user", "content": "again"}],
        })
        .to_string();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let request = [head.as_bytes(), body.as_bytes()].concat();
        self.stream.get_mut().write_all(&request).ok()?;
        self.read_response()
    }

    /// Returns the status of a response that was received completely.
    fn read_response(&mut self) -> Option<u16> {
        let status = self.read_line()?.split(' ').nth(1)?.parse().ok()?;
        let mut length = None;
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            let value = value.trim();
            if name.eq_ignore_ascii_case("content-length") {
                length = Some(value.parse().ok()?);
            }
            if name.eq_ignore_ascii_case("connection") {
                self.closes = value.eq_ignore_ascii_case("close");
            }
        }
        match length {
            Some(length) => self.skip(length)?,
            None => self.skip_chunks()?,
        }
        Some(status)
    }

    fn skip_chunks(&mut self) -> Option<()> {
        loop {
            let length = u64::from_str_radix(&self.read_line()?, 16).ok()?;
            self.skip(length)?;
            self.read_line()?;
            if length == 0 {
                return Some(());
            }
        }
    }

    fn skip(&mut self, length: u64) -> Option<()> {
        let mut body = Vec::new();
        let read = (&mut self.stream).take(length).read_to_end(&mut body);
        (read.ok()? as u64 == length).then_some(())
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line).ok()?;
        Some(line.strip_suffix("\r\n")?.to_owned())
    }
}
