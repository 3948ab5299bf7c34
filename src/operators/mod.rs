//! HTTP API for operators: configuration, status, drains and metrics.

pub mod api;
pub mod backend;
pub mod keys;
pub mod refusals;
pub mod response;
pub mod server;
pub mod status;
