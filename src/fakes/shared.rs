//! State that is shared by the threads of a fake and its user.

use std::sync::{Arc, Mutex, MutexGuard};

/// State behind a mutex. Users read a copy, so that they cannot hold the lock.
#[derive(Debug, Default)]
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared(self.0.clone())
    }
}

impl<T> Shared<T> {
    /// Runs `change` on the state under the lock and returns its result.
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.lock())
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().expect("not poisoned")
    }
}

impl<T: Clone> Shared<T> {
    /// Returns a copy of the current state.
    pub fn get(&self) -> T {
        self.lock().clone()
    }
}
