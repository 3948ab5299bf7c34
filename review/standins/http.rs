//! HTTP/1.1 over blocking sockets, and JSON, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head of a message: its first line and its header fields, names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(n, _)| n == name);
        field.map(|(_, v)| v.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            head.fields.push(field);
        }
    }
}

/// Reads the body of a message with a length.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Option<Vec<u8>> {
    let length = head.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads one chunk; `Ok(None)` is the last one, an error a broken body.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>, ()> {
    let mut line = String::new();
    if reader.read_line(&mut line).map_err(|_| ())? == 0 {
        return Err(());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ())?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).map_err(|_| ())?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Writes a response with a body.
pub fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> bool {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n");
    let bytes = [head.as_bytes(), body].concat();
    stream.write_all(&bytes).is_ok()
}

/// Value of a parameter of a request's query, without escapes.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    let mut found = pairs.filter(|(n, _)| *n == name);
    found.next().map(|(_, value)| unescape(value))
}

fn unescape(text: &str) -> String {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let digits = text.get(i + 1..i + 3).filter(|_| bytes[i] == b'%');
        match digits.and_then(|d| u8::from_str_radix(d, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let at = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= group.len() { digit as char } else { '=' });
        }
    }
    out
}

/// A JSON value; numbers are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Other(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else {
            return None;
        };
        fields.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) | Json::Other(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

pub fn parse_json(bytes: &[u8]) -> Option<Json> {
    let text: Vec<char> = String::from_utf8_lossy(bytes).chars().collect();
    parse_value(&text, &mut 0)
}

fn skip_space(text: &[char], at: &mut usize) -> Option<char> {
    while text.get(*at)?.is_whitespace() {
        *at += 1;
    }
    Some(text[*at])
}

fn parse_value(text: &[char], at: &mut usize) -> Option<Json> {
    match skip_space(text, at)? {
        '"' => parse_text(text, at).map(Json::Text),
        '[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                match skip_space(text, at)? {
                    ']' => break,
                    ',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        '{' => {
            let mut fields = Vec::new();
            *at += 1;
            loop {
                match skip_space(text, at)? {
                    '}' => break,
                    ',' => *at += 1,
                    _ => {
                        let name = parse_text(text, at)?;
                        if skip_space(text, at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(text, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Table(fields))
        }
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|c| !",]} \n".contains(*c)) {
                *at += 1;
            }
            Some(Json::Other(text[from..*at].iter().collect()))
        }
    }
}

fn parse_text(text: &[char], at: &mut usize) -> Option<String> {
    let mut out = String::new();
    *at += 1;
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    'u' => {
                        let digits: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        out.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                    }
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}
