//! Serves rarely used models: entry hosts, model placement and at-most-once
//! calls between callers and upstreams.

pub mod calls;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod daemon;
pub mod decide;
pub mod edge;
pub mod error;
pub mod fakes;
pub mod follower;
pub mod http;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod outside;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod protocol;
pub mod router;
pub mod settings;
pub mod status;
pub mod suspects;
pub mod tool;
