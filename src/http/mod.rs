//! The HTTP API for callers: OpenAI completions, plain services and the host list.

pub mod callers;
pub mod guard;
mod held;
pub mod openai;
pub mod quotas;
pub mod relay;
pub mod request;
pub mod response;
pub mod server;
pub mod services;
pub mod stream;
