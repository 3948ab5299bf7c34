//! A set of crashes, by their slots.

/// Number of slots.
pub const MAX_CRASHES: usize = 256;

/// A set of slots below [`MAX_CRASHES`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashSet([u64; MAX_CRASHES / 64]);

impl CrashSet {
    /// Adds a slot.
    pub fn insert(&mut self, slot: u8) {
        self.0[usize::from(slot / 64)] |= 1 << (slot % 64);
    }

    /// Removes a slot.
    pub fn remove(&mut self, slot: u8) {
        self.0[usize::from(slot / 64)] &= !(1 << (slot % 64));
    }

    /// Returns the number of slots in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0 == [0; MAX_CRASHES / 64]
    }

    /// Returns the slots that are in both sets.
    pub fn and(&self, other: &CrashSet) -> CrashSet {
        self.zip(other, |a, b| a & b)
    }

    /// Returns the slots that are in at least one of the sets.
    pub fn or(&self, other: &CrashSet) -> CrashSet {
        self.zip(other, |a, b| a | b)
    }

    /// Returns the slots that are not in the other set.
    pub fn minus(&self, other: &CrashSet) -> CrashSet {
        self.zip(other, |a, b| a & !b)
    }

    /// Returns the slots in order.
    pub fn iter(&self) -> impl Iterator<Item = u8> + use<> {
        let words = self.0.into_iter().enumerate();
        words.flat_map(|(i, word)| {
            let rest = std::iter::successors(Some(word), |w| Some(w & w.wrapping_sub(1)));
            rest.take_while(|w| *w != 0)
                .map(move |w| (i * 64) as u8 + w.trailing_zeros() as u8)
        })
    }

    fn zip(&self, other: &CrashSet, combine: impl Fn(u64, u64) -> u64) -> CrashSet {
        CrashSet(std::array::from_fn(|i| combine(self.0[i], other.0[i])))
    }
}
