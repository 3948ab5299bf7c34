//! HTTP towards operators: configuration, status, drains and metrics.

pub mod api;
pub mod host;
pub mod keys;
pub mod refusals;
pub mod reply;
pub mod server;
pub mod status;
