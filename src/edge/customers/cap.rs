//! Caps on the use of customers.

use crate::edge::request_headers::RequestHeaders;

/// Unit in which a cap counts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CapUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens of its prompt and its response.
    Tokens,
}

/// Cap on what a customer uses of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cap {
    /// Unit of the figures below.
    pub unit: CapUnit,
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// Units of a request that names no tokens.
    pub plain_cost: f64,
}

impl Cap {
    /// Returns the units that a request counts as.
    pub fn cost(&self, headers: &RequestHeaders) -> f64 {
        match self.unit {
            CapUnit::Requests => 1.0,
            CapUnit::Tokens => headers.token_count.map_or(self.plain_cost, |n| n as f64),
        }
    }
}
