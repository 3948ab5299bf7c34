//! Tests of the edge daemon: decisions, translation, and the way of requests.

mod budget;
mod fleet;
mod leaving;
mod parts;
mod placement;
mod scene;
mod standin;
mod tenure;
mod translation;
mod way;
