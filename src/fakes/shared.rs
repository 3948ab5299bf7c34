//! State that a stand-in's threads and its user share.

use std::sync::{Arc, Mutex, MutexGuard};

/// Shared state; users read a copy, so that they can hold no lock.
#[derive(Debug, Default)]
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared(self.0.clone())
    }
}

impl<T> Shared<T> {
    /// Changes the state.
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.lock())
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl<T: Clone> Shared<T> {
    /// The state at this moment.
    pub fn get(&self) -> T {
        self.lock().clone()
    }
}
