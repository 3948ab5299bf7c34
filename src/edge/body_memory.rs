//! BodyReservation for the bodies of callers' requests.

use std::rc::Rc;

use super::state::Edge;

/// Divisor of the memory limit that gives the room for callers' bodies; the
/// rest is for the process, its sockets and answers.
const BODIES: u64 = 4;

/// BodyReservation for a caller's body; dropping it gives the room back.
#[derive(Debug)]
pub struct BodyReservation {
    edge: Rc<Edge>,
    bytes: u64,
}

impl BodyReservation {
    /// Takes room for `bytes`; `None` when the daemon holds too much already.
    pub fn reserve(edge: &Rc<Edge>, bytes: u64) -> Option<Self> {
        let most = edge.settings.borrow().memory_mb * 1_000_000 / BODIES;
        let held = edge.buffered.get() + bytes;
        if held > most {
            return None;
        }
        edge.buffered.set(held);
        Some(BodyReservation {
            edge: edge.clone(),
            bytes,
        })
    }

    /// Gives back what is more than `bytes`.
    pub fn shrink(&mut self, bytes: u64) {
        let spare = self.bytes.saturating_sub(bytes);
        self.edge.buffered.set(self.edge.buffered.get() - spare);
        self.bytes -= spare;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.edge
            .buffered
            .set(self.edge.buffered.get() - self.bytes);
    }
}
