//! Reads the responses that arrive on a connection after its last use.

use std::io;

use bytes::{Buf, BytesMut};
use http::StatusCode;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::client::conn::http1::Parts;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::client::MAX_HEAD_BYTES;
use super::shared_stream::SharedStream;

/// Maximum number of header fields of a response.
const MAX_HEAD_FIELDS: usize = 64;

/// A connection that takes no more requests, and on which further responses may arrive.
#[derive(Debug)]
pub struct UnreadConnection {
    stream: SharedStream,
    /// Bytes that have been read of them.
    bytes: BytesMut,
}

impl UnreadConnection {
    /// Creates it from what its task has left.
    pub(super) fn new(parts: Parts<TokioIo<SharedStream>>) -> Self {
        UnreadConnection {
            stream: parts.io.into_inner(),
            bytes: BytesMut::from(&*parts.read_buf),
        }
    }

    /// Tells the other side that no more requests come.
    pub async fn close_write(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Waits for the head of the next response, and skips its body. Returns `None` at the end
    /// of what can be read as responses.
    pub async fn next_head(&mut self) -> Option<(StatusCode, HeaderMap)> {
        loop {
            match parse_head(&self.bytes) {
                Ok(Some((status, headers, end))) => {
                    self.bytes.advance(end);
                    self.skip_body(&headers).await?;
                    return Some((status, headers));
                }
                Ok(None) if self.bytes.len() < MAX_HEAD_BYTES => self.read().await?,
                Ok(None) | Err(_) => return None,
            }
        }
    }

    /// Skips a body of known length; without one, nothing after the head can be read.
    async fn skip_body(&mut self, headers: &HeaderMap) -> Option<()> {
        let length = headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|l| l.to_str().ok()?.parse::<usize>().ok());
        let mut left = length.unwrap_or_default();
        while left > self.bytes.len() {
            left -= self.bytes.len();
            self.bytes.clear();
            if self.read().await.is_none() {
                break;
            }
        }
        self.bytes.advance(left.min(self.bytes.len()));
        Some(())
    }

    /// Reads further bytes; returns `None` at the end.
    async fn read(&mut self) -> Option<()> {
        match self.stream.read_buf(&mut self.bytes).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(()),
        }
    }
}

/// Parses the head of a response; returns it with its length in bytes, or `None` if it is not
/// complete.
fn parse_head(bytes: &[u8]) -> Result<Option<(StatusCode, HeaderMap, usize)>, httparse::Error> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(end) = head.parse(bytes)? else {
        return Ok(None);
    };
    let status = StatusCode::from_u16(head.code.unwrap_or_default());
    let status = status.map_err(|_| httparse::Error::Status)?;
    let mut headers = HeaderMap::new();
    for field in head.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(field.value)) else {
            continue;
        };
        headers.append(name, value);
    }
    Ok(Some((status, headers, end)))
}
