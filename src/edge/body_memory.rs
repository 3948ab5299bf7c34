//! Memory for the bodies of callers' requests.

use std::rc::Rc;

use super::state::Edge;

/// Divisor of the memory limit that gives the memory for request bodies; the rest is for
/// the process, its sockets and responses.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Memory reserved for a request body; dropping it releases the memory.
#[derive(Debug)]
pub struct BodyReservation {
    edge: Rc<Edge>,
    bytes: u64,
}

impl BodyReservation {
    /// Reserves memory for `bytes`. Returns `None` if too little is free.
    pub fn reserve(edge: &Rc<Edge>, bytes: u64) -> Option<Self> {
        let max_bytes = edge.settings.borrow().memory_mb * 1_000_000 / BODY_MEMORY_DIVISOR;
        let reserved = edge.body_bytes.get() + bytes;
        if reserved > max_bytes {
            return None;
        }
        edge.body_bytes.set(reserved);
        Some(BodyReservation {
            edge: edge.clone(),
            bytes,
        })
    }

    /// Releases what exceeds `bytes`.
    pub fn shrink(&mut self, bytes: u64) {
        let excess = self.bytes.saturating_sub(bytes);
        self.edge
            .body_bytes
            .set(self.edge.body_bytes.get() - excess);
        self.bytes -= excess;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.edge
            .body_bytes
            .set(self.edge.body_bytes.get() - self.bytes);
    }
}
