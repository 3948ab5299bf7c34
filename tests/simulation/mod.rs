//! A seeded simulation of the edge daemons' decisions under the firms' loads:
//! the product's own routing, admission, placement, demand and word between
//! daemons, around models of engines, the weight store and callers.
//!
//! Left out: plain services, sockets, the platform's store, processor time.

pub mod engine;
pub mod figures;
pub mod firm;
pub mod least;
pub mod load;
pub mod world;
