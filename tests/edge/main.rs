//! Tests of the edge daemon: decisions, translation, and the way of requests.

mod budget;
mod fleet;
mod hostile;
mod leadership;
mod leaving;
#[path = "../env/octet.rs"]
mod octet;
mod overload;
mod parts;
mod placement;
mod scene;
mod site;
mod standin;
mod translation;
mod way;
