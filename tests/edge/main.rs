//! Tests of the edge daemon: decisions, translation, and the way of requests.

mod fleet;
mod leaving;
mod placement;
mod scene;
mod tenure;
