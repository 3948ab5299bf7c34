//! Randomized runs of real daemon processes: callers and engines record what they see,
//! while daemons, engines and the store fail. The promises to callers are checked from
//! these records alone.
//!
//! `SOAK_SEEDS=1-50 SOAK_SECONDS=20 cargo test --test soak seeds -- --nocapture` runs
//! other seeds; see `settings.rs` for the other variables. `MASTICHINGED` names another build
//! of the daemon.

mod bookings;
mod callers;
mod checkers;
mod checks;
mod customers;
mod disturbances;
mod engine;
mod engine_faults;
mod exchange;
#[path = "../edge/fakes/mod.rs"]
#[allow(dead_code, reason = "shared with the edge tests, which use all of it")]
mod fakes;
mod http;
mod left_runs;
mod links;
#[path = "../env/loopback.rs"]
mod loopback;
mod parts;
mod record;
mod relay;
mod relay_checkers;
mod run;
mod settings;
mod site;
mod version_checkers;
mod versions;
