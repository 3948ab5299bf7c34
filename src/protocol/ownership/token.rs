//! Numbers of orders.

use serde::{Deserialize, Serialize};

/// Bits of the sequence number within an epoch.
pub const SEQ_BITS: u32 = 24;

/// Number of an order and fencing token: `epoch << 24 | sequence`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The token `seq` of `epoch`; `None` when the epoch has used up its
    /// numbers and the owner must claim the pool anew.
    pub fn new(epoch: u64, seq: u64) -> Option<FencingToken> {
        (seq < 1 << SEQ_BITS).then_some(FencingToken(epoch << SEQ_BITS | seq))
    }

    /// Epoch that the token belongs to.
    pub fn epoch(self) -> u64 {
        self.0 >> SEQ_BITS
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn any_token_of_a_later_epoch_is_higher() {
        let last = FencingToken::new(1, (1 << SEQ_BITS) - 1).unwrap();
        assert!(FencingToken::new(2, 0).unwrap() > last);
        assert_eq!(last.epoch(), 1);
        assert_eq!(FencingToken::new(1, 1 << SEQ_BITS), None);
    }
}
