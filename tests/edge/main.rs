//! Tests of the edge daemon: decisions, translation, and the way of requests.

mod placement;
mod scene;
