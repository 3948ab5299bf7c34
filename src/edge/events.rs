//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, bytes; a stream with a larger one is treated as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event as received.
    pub bytes: Bytes,
    /// Id, if it is numeric.
    pub id: Option<u64>,
}

/// Incremental decoder that yields whole events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
}

impl EventDecoder {
    /// Adds bytes. Returns false if an event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let length = event_length(&self.buffer)?;
        let bytes = self.buffer.split_to(length).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Returns the length of the first event with its empty line. Lines end in LF or CRLF.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..i];
        let is_empty = line.is_empty() || line == b"\r";
        if is_empty && line_start > 0 {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|b| *b == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
