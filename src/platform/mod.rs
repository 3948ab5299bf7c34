//! Adapter to the users' platform: its names, formats and calls. It makes no
//! decisions, and its names are used in no other module.

mod customers;
pub mod desired;
pub mod engine_entry;
pub mod headers;
pub mod host_queries;
pub mod orders;
pub mod rows;

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VAR: &str = "MASTICHINGE_SETTINGS";
