//! Exhaustive checks of the core protocols within stated bounds.

#[path = "models/calls/mod.rs"]
mod calls;
#[path = "models/check.rs"]
mod check;
#[path = "models/leadership.rs"]
mod leadership;
#[path = "models/ownership/mod.rs"]
mod ownership;
#[path = "models/versions.rs"]
mod versions;
