//! Server-sent events: cuts a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event; a stream with a longer one counts as broken.
const EVENT_BYTES: usize = 1 << 20;

/// One whole event with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// Its id, where it has a numeric one.
    pub id: Option<u64>,
}

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    rest: BytesMut,
}

impl EventDecoder {
    /// Adds bytes; returns false when an event grows too long.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.rest.extend_from_slice(bytes);
        self.rest.len() <= EVENT_BYTES
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end(&self.rest)?;
        let bytes = self.rest.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

/// Length of the first event with its empty line; lines end in LF or CRLF.
fn end(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (i, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = &bytes[line..i];
        let empty = text.is_empty() || text == b"\r";
        if empty && line > 0 {
            return Some(i + 1);
        }
        line = i + 1;
    }
    None
}

fn id(event: &[u8]) -> Option<u64> {
    for line in event.split(|b| *b == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
