//! Tests of the edge daemon: decisions, platform adapter and request forwarding.

mod budget;
mod fakes;
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
mod translation;
mod way;
