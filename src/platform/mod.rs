//! The users' platform: its names, formats and calls. Nothing here decides
//! anything, and nothing else knows these names.

pub mod desired;
pub mod entry;
pub mod heads;
pub mod listing;
pub mod orders;
pub mod rows;

/// Environment variable in which the platform names the settings file.
pub const SETTINGS: &str = "MASTICHINGE_SETTINGS";
