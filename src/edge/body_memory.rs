//! Memory for the bodies of callers' requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;

/// Divisor of the memory limit that gives the memory for request bodies; the rest is for
/// the process, its sockets and responses.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Bytes in a MB.
const MB: u64 = 1_000_000;

/// Bytes of request bodies that a host holds. Atomic, because the owner of [`Bytes`] has to be
/// [`Send`].
#[derive(Clone, Debug, Default)]
pub struct BodyMemory(Arc<AtomicU64>);

impl BodyMemory {
    /// Returns the number of bytes.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Reserves `bytes` of a host that may use `memory_mb`. Returns `None` if too little is free.
    pub fn reserve(&self, bytes: u64, memory_mb: u64) -> Option<BodyReservation> {
        let max_bytes = memory_mb * MB / BODY_MEMORY_DIVISOR;
        if self.get() + bytes > max_bytes {
            return None;
        }
        self.0.fetch_add(bytes, Ordering::Relaxed);
        Some(BodyReservation {
            memory: self.clone(),
            bytes,
        })
    }
}

/// Memory reserved for a request body; dropping it releases the memory.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    bytes: u64,
}

impl BodyReservation {
    /// Returns `body`, which is counted until all references to it are dropped: a connection
    /// writes it on after its engine has answered.
    pub fn hold(mut self, body: Bytes) -> Bytes {
        let excess = self.bytes.saturating_sub(body.len() as u64);
        self.memory.0.fetch_sub(excess, Ordering::Relaxed);
        self.bytes -= excess;
        Bytes::from_owner(HeldBody {
            bytes: body,
            _reservation: self,
        })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body with its reservation.
struct HeldBody {
    bytes: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
