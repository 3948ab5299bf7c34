//! Fencing tokens of orders.

use serde::{Deserialize, Serialize};

/// Bits of the sequence number within an epoch.
pub const SEQ_BITS: u32 = 24;

/// Fencing token of an order: `epoch << 24 | sequence`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the token `seq` of `epoch`; `None` when the epoch has used up
    /// its sequence numbers and the owner must claim the pool again.
    pub fn new(epoch: u64, seq: u64) -> Option<FencingToken> {
        (seq < 1 << SEQ_BITS).then_some(FencingToken(epoch << SEQ_BITS | seq))
    }

    /// Returns the epoch of the token.
    pub fn epoch(self) -> u64 {
        self.0 >> SEQ_BITS
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tokens_of_a_later_epoch_are_higher() {
        let last = FencingToken::new(1, (1 << SEQ_BITS) - 1).unwrap();
        assert!(FencingToken::new(2, 0).unwrap() > last);
        assert_eq!(last.epoch(), 1);
        assert_eq!(FencingToken::new(1, 1 << SEQ_BITS), None);
    }
}
