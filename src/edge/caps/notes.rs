//! Notes on caps in the datagrams between daemons.

use prost::Message;

/// A charge to a customer's cap.
#[derive(Clone, PartialEq, Message)]
pub struct ChargeNote {
    /// Number at its host.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Units; negative if they are given back.
    #[prost(double, tag = "3")]
    pub units: f64,
    /// Rank of the request; the lowest comes first.
    #[prost(uint32, tag = "4")]
    pub rank: u32,
    /// Time for which the request can wait, ms.
    #[prost(uint64, tag = "5")]
    pub patience_ms: u64,
    /// Whether the sender has spent the units.
    #[prost(bool, tag = "6")]
    pub spent: bool,
}

/// An answer to a charge.
#[derive(Clone, PartialEq, Message)]
pub struct CapAnswer {
    /// Number of the charge at its host.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Time after which a refused caller may return, ms; absent if the charge is granted.
    #[prost(uint64, optional, tag = "2")]
    pub return_ms: Option<u64>,
}

/// Units of a customer.
#[derive(Clone, PartialEq, Message)]
pub struct CapLevel {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Units that the recipient may spend before the sender has heard of them.
    #[prost(double, tag = "2")]
    pub room: f64,
    /// Units that the sender leaves to the recipient, which grants them from now on.
    #[prost(double, optional, tag = "3")]
    pub left: Option<f64>,
}
