//! The HTTP clients against their stand-ins.

mod clients;
mod orders;
mod platform;
mod service;
mod streams;
mod support;
