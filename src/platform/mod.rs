//! The users' platform: its names, formats and calls. Nothing here decides
//! anything, and nothing else knows these names.

pub mod desired;
pub mod engine_entry;
pub mod headers;
pub mod host_queries;
pub mod orders;
pub mod rows;

/// Environment variable in which the platform names the settings file.
pub const SETTINGS_VAR: &str = "MASTICHINGE_SETTINGS";
