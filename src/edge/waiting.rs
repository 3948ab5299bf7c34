//! Requests of this daemon that wait for a model or an adapter, and those of all daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::clock;
use super::placement::{ModelTarget, WaitingRequests};
use super::state::{Edge, PEER_STATE_MAX_AGE, PeerState, State};
use crate::clock::Moment;

/// Time for which a target stays listed after its last waiting request was
/// refused, so that the load starts and a later attempt finds the model.
const WAIT_RETENTION: Duration = Duration::from_millis(800);

/// Requests of this daemon that wait for one target.
#[derive(Clone, Debug, Default)]
pub struct WaitingTarget {
    /// Requests as reported to other daemons.
    pub requests: WaitingRequests,
    /// Last change.
    pub changed_at: Moment,
    /// When the last of the callers that were refused comes back.
    pub retry_at: Moment,
    /// Whether `missing_at` has been reported.
    pub missing_reported: bool,
}

impl Edge {
    /// Registers a waiting request for `target` until the returned guard is dropped.
    pub fn add_waiting(self: &Rc<Self>, target: ModelTarget, priority: u8) -> WaitGuard {
        let first = self
            .state
            .borrow_mut()
            .add_waiting(&target, priority, clock::now());
        if first {
            self.send_wake.notify_one();
            self.order_wake.notify_one();
        }
        WaitGuard {
            edge: self.clone(),
            target,
        }
    }

    /// Records the engines that hold `target` but want no requests of this host, so that the
    /// leader has it loaded elsewhere.
    pub fn record_paused(&self, target: &ModelTarget, paused: BTreeSet<Arc<str>>) {
        if self.state.borrow_mut().record_paused(target, paused) {
            self.send_wake.notify_one();
            self.order_wake.notify_one();
        }
    }

    /// Registers that a refused caller will come back for `target` at `retry_at`.
    pub fn expect_retry(&self, target: ModelTarget, priority: u8, retry_at: Moment) {
        let now = clock::now();
        let first = self
            .state
            .borrow_mut()
            .expect_retry(target, priority, retry_at, now);
        if first {
            self.send_wake.notify_one();
            self.order_wake.notify_one();
        }
    }
}

impl State {
    /// Adds a waiting request for `target`; returns whether it is the first.
    pub fn add_waiting(&mut self, target: &ModelTarget, priority: u8, now: Moment) -> bool {
        let wait = self.waiting.entry(target.clone()).or_default();
        let first = wait.requests.count == 0;
        wait.requests.priority = match first {
            true => priority,
            false => wait.requests.priority.min(priority),
        };
        wait.requests.count += 1;
        wait.changed_at = now;
        first
    }

    /// Keeps `target` listed until a refused caller has come back for it at `retry_at`;
    /// returns whether it was not listed.
    pub fn expect_retry(
        &mut self,
        target: ModelTarget,
        priority: u8,
        retry_at: Moment,
        now: Moment,
    ) -> bool {
        let first = !self.waiting.contains_key(&target);
        self.add_waiting(&target, priority, now);
        self.remove_waiting(&target, now);
        if let Some(wait) = self.waiting.get_mut(&target) {
            wait.retry_at = wait.retry_at.max(retry_at);
        }
        first
    }

    /// Records the engines that hold `target`, for which requests wait here, but want no
    /// requests of this host; returns whether that is news.
    pub fn record_paused(&mut self, target: &ModelTarget, paused: BTreeSet<Arc<str>>) -> bool {
        let Some(wait) = self.waiting.get_mut(target) else {
            return false;
        };
        let is_news = wait.requests.paused != paused;
        wait.requests.paused = paused;
        is_news
    }

    /// Removes a waiting request for `target`.
    pub fn remove_waiting(&mut self, target: &ModelTarget, now: Moment) {
        if let Some(wait) = self.waiting.get_mut(target) {
            wait.requests.count = wait.requests.count.saturating_sub(1);
            wait.changed_at = now;
        }
    }

    /// Drops targets without waiting requests after [`WAIT_RETENTION`].
    pub fn drop_idle_waits(&mut self, now: Moment) {
        self.waiting.retain(|_, wait| {
            let last = wait.changed_at.max(wait.retry_at);
            wait.requests.count > 0 || now.saturating_sub(last) < WAIT_RETENTION
        });
    }

    /// Returns the number of requests of all daemons that wait for `target`.
    pub fn waiting_for(&self, target: &ModelTarget, now: Moment) -> u32 {
        let own = self.waiting.get(target).map_or(0, |w| w.requests.count);
        let fresh = |o: &&PeerState| now.saturating_sub(o.waiting_at) < PEER_STATE_MAX_AGE;
        let others = self.peer_states.values().filter(fresh);
        let others = others.flat_map(|o| o.waiting.iter().filter(|(t, _)| t == target));
        own + others.map(|(_, w)| w.count).sum::<u32>()
    }

    /// Returns the waiting requests of all daemons by target.
    pub fn total_waiting(&self, now: Moment) -> BTreeMap<ModelTarget, WaitingRequests> {
        let mut all: BTreeMap<ModelTarget, WaitingRequests> = BTreeMap::new();
        let own = self.waiting.iter().map(|(t, wait)| (t, &wait.requests));
        let fresh = |o: &&PeerState| now.saturating_sub(o.waiting_at) < PEER_STATE_MAX_AGE;
        let others = self.peer_states.values().filter(fresh);
        let others = others.flat_map(|o| o.waiting.iter().map(|(t, w)| (t, w)));
        for (target, requests) in own.chain(others) {
            let sum = all
                .entry(target.clone())
                .or_insert_with(|| WaitingRequests {
                    priority: requests.priority,
                    ..WaitingRequests::default()
                });
            sum.count += requests.count;
            sum.priority = sum.priority.min(requests.priority);
            sum.paused.extend(requests.paused.iter().cloned());
            if requests.missing_at.is_some() {
                sum.missing_at = requests.missing_at.clone();
            }
        }
        all
    }
}

/// Guard of a waiting request; dropping it removes the request.
#[derive(Debug)]
pub struct WaitGuard {
    edge: Rc<Edge>,
    target: ModelTarget,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.edge.state.borrow_mut();
        state.remove_waiting(&self.target, clock::now());
    }
}
