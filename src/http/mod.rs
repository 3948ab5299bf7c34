//! HTTP towards callers: the OpenAI API, plain services and entry answers.

pub mod answer;
pub mod callers;
pub mod contracts;
pub mod guard;
pub mod openai;
pub mod relay;
pub mod request;
pub mod server;
pub mod services;
pub mod stream;
