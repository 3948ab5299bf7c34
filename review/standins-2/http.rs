//! HTTP/1.1 messages as the stand-ins read and write them.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message whose body has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Header fields with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a value of the query, without escapes but `%00` and `%XX`.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let (_, value) = pairs.into_iter().find(|(n, _)| *n == name)?;
        let (mut out, bytes, mut at) = (Vec::new(), value.as_bytes(), 0);
        while at < bytes.len() {
            let hex = (bytes[at] == b'%')
                .then(|| value.get(at + 1..at + 3))
                .flatten();
            match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
                Some(byte) => {
                    out.push(byte);
                    at += 3;
                }
                None => {
                    out.push(bytes[at]);
                    at += 1;
                }
            }
        }
        Some(String::from_utf8_lossy(&out).into_owned())
    }
}

/// Reads messages from one connection.
pub struct Reader {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader {
            stream,
            rest: Vec::new(),
        }
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.rest.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|l| l.split_once(':'));
                let fields = fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
                return Ok(Some(Message {
                    start,
                    fields: fields.collect(),
                    body: Vec::new(),
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a message whose body has a length, or none.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let length: usize = message.field("content-length").parse().unwrap_or(0);
        while self.rest.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.rest.drain(..length).collect();
        Ok(Some(message))
    }

    /// Reads further bytes; returns whether there were any.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk)?;
        self.rest.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    let mut out = format!("{out}\r\n").into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}
