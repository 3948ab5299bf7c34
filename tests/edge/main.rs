//! Tests of the edge daemon: decisions, translation, and the way of requests.

mod decisions;
mod fleet;
mod hostile_callers;
mod leadership;
#[path = "../env/loopback.rs"]
mod loopback;
mod overload;
mod placement;
mod requests;
mod retry_budget;
mod scene;
mod shutdown;
mod site;
mod standin;
mod translation;
