//! One round of applying for permits and granting them, with what is logged and counted of it.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::edge::clock;
use crate::edge::gossip::Packet;
use crate::edge::state::Edge;

/// Steps in which the part of hosts is logged, percent.
const SHARE_STEP: f64 = 10.0;

/// From which host this one gets its permits, and how many hosts get theirs from this one, as
/// last logged.
#[derive(Debug, Default, PartialEq)]
pub struct Allocation {
    allocator: Arc<str>,
    /// Part of all hosts.
    percent: u32,
}

impl Edge {
    /// Applies for permits and grants them; returns the datagrams to send.
    pub fn next_permits(&self, logged: &mut Allocation) -> Vec<(SocketAddr, Packet)> {
        let mut state = self.state.borrow_mut();
        let round = state.next_permits(&self.host, self.is_ready(), clock::now());
        let is_limited = state.fleet.rates().limited().next().is_some();
        drop(state);
        let allocation = Allocation {
            allocator: round.allocator,
            percent: ((round.share * 100.0 / SHARE_STEP).round() * SHARE_STEP) as u32,
        };
        if is_limited && *logged != allocation {
            let allocator = &*allocation.allocator;
            let share_percent = allocation.percent;
            log::info!(allocator, share_percent; "share of the engines' rates changed");
            *logged = allocation;
        }
        self.metrics.record_permits("granted", round.granted);
        self.metrics.record_permits("refused", round.refused);
        if round.decided {
            self.notify_waiting();
        }
        round.packets
    }
}
