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

/// Where in a stream its body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndPlace {
    /// Before the first whole event; comments are none.
    BeforeEvents,
    /// After whole events.
    BetweenEvents,
    /// Inside an event.
    InsideEvent,
}

/// Incremental decoder that yields whole events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// Number of bytes of the buffer that end no event.
    scanned: usize,
    /// Start of the line in which the scan stopped.
    line_start: usize,
    /// Whether it has yielded an event that is more than a comment.
    started: bool,
}

impl EventDecoder {
    /// Adds bytes. Returns false if an event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let length = self.event_length()?;
        let bytes = self.buffer.split_to(length).freeze();
        (self.scanned, self.line_start) = (0, 0);
        let id = event_id(&bytes);
        self.started |= has_field(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns where the stream ends if no more bytes come.
    pub fn end_place(&self) -> EndPlace {
        let ends_line = matches!(&self.buffer[..], [] | [.., b'\n']);
        if !ends_line || has_field(&self.buffer) {
            return EndPlace::InsideEvent;
        }
        match self.started {
            true => EndPlace::BetweenEvents,
            false => EndPlace::BeforeEvents,
        }
    }

    /// Returns the number of bytes after the last whole event.
    pub fn rest_len(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        (self.scanned, self.line_start) = (0, 0);
        self.buffer.split().freeze()
    }

    /// Returns the length of the first event with its empty line, which is looked for in
    /// the bytes that have come since the last call. Lines end in LF or CRLF.
    fn event_length(&mut self) -> Option<usize> {
        for i in self.scanned..self.buffer.len() {
            if self.buffer[i] != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..i];
            let ends_event = self.line_start > 0 && matches!(line, [] | b"\r");
            if ends_event {
                return Some(i + 1);
            }
            self.line_start = i + 1;
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Returns whether there is a line that is neither empty nor a comment.
fn has_field(lines: &[u8]) -> bool {
    let is_field = |line: &[u8]| !matches!(line, [] | b"\r" | [b':', ..]);
    lines.split(|b| *b == b'\n').any(is_field)
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
