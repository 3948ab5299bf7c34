//! Tests of the edge daemon: decisions, platform adapter and request forwarding.

mod attribution;
mod client;
mod connections;
mod crash_patterns;
mod crash_reports;
mod crashing_parts;
mod decisions;
mod endless;
mod engine_list;
mod engine_statements;
#[allow(dead_code, reason = "shared with the soak, which uses other parts")]
mod fakes;
mod fixtures;
mod fleet;
mod floods;
mod hostile_callers;
mod in_flight;
mod large_fleet;
mod leadership;
mod leaving;
mod load_forecast;
#[path = "../env/loopback.rs"]
mod loopback;
mod origins;
mod overload;
mod pauses;
mod permits;
mod placement;
mod planned_stop;
mod rate_statements;
mod rates;
mod reopening;
mod requests;
mod retry_budget;
mod several_daemons;
mod shutdown;
mod silence;
mod site;
mod software_versions;
mod statements;
mod store_eras;
mod stream_ends;
mod suspects;
mod suspension;
mod translation;
mod version_fleet;
