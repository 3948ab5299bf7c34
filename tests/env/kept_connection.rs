//! A caller that sends all its requests on one connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use mastichinge::fakes::site::CALLER_KEY;
use serde_json::json;

use super::WAIT_TIMEOUT;
use super::requests::{CompletionReply, read_error, read_events};

/// A connection to the callers' port of a host.
pub struct KeptConnection {
    stream: BufReader<TcpStream>,
    /// Whether the last response said that the host closes the connection, or there was none.
    closed: bool,
}

/// Head of a response.
#[derive(Default)]
struct Head {
    status: u16,
    retry_after: Option<String>,
    /// Length of the body; absent if it is sent in chunks.
    length: Option<u64>,
    closes: bool,
}

impl KeptConnection {
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// Nothing listens there.
    pub fn open(addr: SocketAddr) -> io::Result<KeptConnection> {
        let stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        Ok(KeptConnection {
            stream: BufReader::new(stream),
            closed: false,
        })
    }

    /// Returns whether the host closes the connection.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Sends a prompt with additional headers and reads the complete response; its status is 0
    /// if the head is missing.
    pub fn send_prompt(
        &mut self,
        model: &str,
        prompt: &str,
        headers: &[(&'static str, &str)],
    ) -> CompletionReply {
        let reply = self.exchange(model, prompt, headers);
        reply.unwrap_or_else(|_| {
            self.closed = true;
            CompletionReply::default()
        })
    }

    fn exchange(
        &mut self,
        model: &str,
        prompt: &str,
        headers: &[(&'static str, &str)],
    ) -> io::Result<CompletionReply> {
        let start = Instant::now();
        self.send(model, prompt, headers)?;
        let head = self.read_head()?;
        let mut reply = CompletionReply {
            status: head.status,
            retry_after: head.retry_after,
            ..CompletionReply::default()
        };
        let mut body = BufReader::new(Body {
            stream: &mut self.stream,
            left: head.length.unwrap_or(0),
            chunked: head.length.is_none(),
            ended: false,
        });
        match reply.status {
            200 => read_events(&mut reply, &mut body, start, usize::MAX),
            _ => read_error(&mut reply, &mut body),
        }
        let ended = io::copy(&mut body, &mut io::sink());
        self.closed = head.closes || ended.is_err();
        Ok(reply)
    }

    fn send(
        &mut self,
        model: &str,
        prompt: &str,
        headers: &[(&'static str, &str)],
    ) -> io::Result<()> {
        let messages = json!([{"role": "user", "content": prompt}]);
        let body = json!({"model": model, "stream": true, "messages": messages}).to_string();
        let mut request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            request += &format!("{name}: {value}\r\n");
        }
        request += "\r\n";
        request += &body;
        self.stream.get_mut().write_all(request.as_bytes())
    }

    fn read_head(&mut self) -> io::Result<Head> {
        let mut head = Head::default();
        let line = read_line(&mut self.stream)?;
        let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
        head.status = status.ok_or(io::ErrorKind::InvalidData)?;
        loop {
            let line = read_line(&mut self.stream)?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(head);
            };
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "content-length" => head.length = value.parse().ok(),
                "connection" => head.closes = value.eq_ignore_ascii_case("close"),
                "retry-after" => head.retry_after = Some(value.to_owned()),
                _ => {}
            }
        }
    }
}

/// Body of a response.
struct Body<'a> {
    stream: &'a mut BufReader<TcpStream>,
    /// Bytes left, of the chunk if it is sent in chunks.
    left: u64,
    chunked: bool,
    ended: bool,
}

impl Read for Body<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.left == 0 && self.chunked && !self.ended {
            let line = read_line(self.stream)?;
            self.left = u64::from_str_radix(&line, 16).map_err(io::Error::other)?;
            self.ended = self.left == 0;
            if self.ended {
                read_line(self.stream)?;
            }
        }
        if self.left == 0 {
            return Ok(0);
        }
        let count = self.stream.by_ref().take(self.left).read(buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.left -= count as u64;
        if self.left == 0 && self.chunked {
            read_line(self.stream)?;
        }
        Ok(count)
    }
}

fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    stream.read_line(&mut line)?;
    let line = line.strip_suffix("\r\n");
    Ok(line.ok_or(io::ErrorKind::UnexpectedEof)?.to_owned())
}
