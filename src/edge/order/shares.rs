//! Fair shares of customers in the work that is let go, within one rank.
//!
//! Each customer with requests that wait has an account of the work that was let go for it. One that
//! had nothing waiting begins at the lowest account of those that have, so that it gets its share
//! from then on and nothing for the time before.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Work of one customer in a round: some three prompts of a usual size. Within a round the
/// objectives decide, between rounds the shares.
const ROUND: Duration = Duration::from_millis(200);
/// Least work of a request, so that requests without a prompt count too: half of what routing
/// takes for a slot of a plain service.
const MIN_WORK: Duration = Duration::from_millis(25);

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    let_go: Duration,
    waiting: u32,
}

/// Accounts of the customers whose requests wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares(BTreeMap<Arc<str>, Account>);

impl Shares {
    /// Returns whether nothing waits.
    pub(super) fn is_idle(&self) -> bool {
        self.0.values().all(|a| a.waiting == 0)
    }

    /// Adds a request that waits.
    pub(super) fn add(&mut self, customer: &Arc<str>) {
        let let_go = self.let_go(customer);
        let account = self.0.entry(customer.clone()).or_default();
        account.let_go = let_go;
        account.waiting += 1;
    }

    /// Removes a request; its work counts if it was let go.
    pub(super) fn remove(&mut self, customer: &str, let_go: Option<Duration>) {
        if let Some(account) = self.0.get_mut(customer) {
            account.waiting = account.waiting.saturating_sub(1);
            account.let_go += let_go.map_or(Duration::ZERO, |work| work.max(MIN_WORK));
        }
        let lowest = self.lowest();
        self.0.retain(|_, a| a.waiting > 0 || a.let_go > lowest);
    }

    /// Returns the round in which a customer's next request is let go.
    pub(super) fn round(&self, customer: &str) -> u64 {
        (self.let_go(customer).as_millis() / ROUND.as_millis()) as u64
    }

    fn let_go(&self, customer: &str) -> Duration {
        match self.0.get(customer) {
            Some(account) if account.waiting > 0 => account.let_go,
            Some(account) => account.let_go.max(self.lowest()),
            None => self.lowest(),
        }
    }

    /// Returns the lowest account of those that have requests waiting.
    fn lowest(&self) -> Duration {
        let waiting = self.0.values().filter(|a| a.waiting > 0);
        waiting.map(|a| a.let_go).min().unwrap_or_default()
    }
}
