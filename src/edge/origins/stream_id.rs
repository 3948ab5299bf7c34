//! Ids of streams.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Length of an id, bytes: callers who choose ids cannot find two with the same digest.
const ID_BYTES: usize = 16;

/// Id of a stream: a digest of the id of the caller's attempt that brought its first event, which
/// may be a text of any length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId([u8; ID_BYTES]);

impl StreamId {
    /// Returns the id of the stream that an attempt begins.
    pub fn of(attempt: &str) -> Self {
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&Sha256::digest(attempt)[..ID_BYTES]);
        StreamId(id)
    }

    /// Returns its bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the id with these bytes; `None` if there are too few or too many.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(StreamId)
    }

    /// Returns its first byte, which is evenly distributed.
    pub fn first_byte(&self) -> u8 {
        self.0[0]
    }

    /// Returns a number from 0 to below 1 that is evenly distributed and the same at each host.
    pub fn draw(&self) -> f64 {
        let mut bytes = [0; 4];
        bytes.copy_from_slice(&self.0[1..5]);
        f64::from(u32::from_be_bytes(bytes)) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Text that is not the hexadecimal form of an id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not the id of a stream")]
pub struct InvalidStreamId(String);

impl FromStr for StreamId {
    type Err = InvalidStreamId;

    fn from_str(text: &str) -> Result<Self, InvalidStreamId> {
        let invalid = || InvalidStreamId(text.to_owned());
        if text.len() != 2 * ID_BYTES || !text.is_ascii() {
            return Err(invalid());
        }
        let mut id = [0; ID_BYTES];
        for (index, byte) in id.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(StreamId(id))
    }
}

/// Shows it in hexadecimal.
impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
