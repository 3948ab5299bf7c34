//! A seeded discrete-event simulation of the edge daemons under the firms'
//! loads. Routing, admission, placement, demand metering and gossip are the
//! product's code; engines, the weight store and callers are simulated.
//!
//! Not simulated: plain services, sockets, the platform's store, CPU time.

pub mod engine;
pub mod firm;
pub mod lower_bound;
pub mod simulator;
pub mod statistics;
pub mod workload;
