//! Ids of streams.

use std::fmt;

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

    /// Returns its first byte, which is evenly distributed.
    pub fn first_byte(&self) -> u8 {
        self.0[0]
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
