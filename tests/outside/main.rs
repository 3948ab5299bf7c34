//! HTTP clients against fakes of the outside systems.

mod clients;
mod orders;
mod platform;
mod service;
mod streams;
mod support;
