//! One round of telling and answering charges, with what is logged and counted of it.

use std::net::SocketAddr;

use crate::edge::clock;
use crate::edge::gossip::Packet;
use crate::edge::state::Edge;

impl Edge {
    /// Tells and answers charges to customers' caps; returns the datagrams to send.
    pub fn next_caps(&self) -> Vec<(SocketAddr, Packet)> {
        let rules = self.settings().bounds.cap_rules();
        let mut state = self.state.borrow_mut();
        let round = state.next_caps(&self.host, self.is_ready(), &rules, clock::now());
        drop(state);
        if let Some(allocator) = &round.allocator {
            log::info!(allocator = &**allocator; "charges to customers' caps go to another host");
        }
        self.metrics.record_charges("granted", round.granted);
        self.metrics.record_charges("refused", round.refused);
        if round.decided {
            self.notify_waiting();
        }
        round.packets
    }
}
