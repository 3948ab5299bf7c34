//! Status of upstreams, from their own reports, the host list and failed
//! calls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::host_list::HostList;
use crate::clock::Moment;
use crate::config::Name;
use crate::outside::Hosts;

/// Settings for tracking the status of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSettings {
    /// Consecutive failed calls after which an upstream is avoided.
    pub max_failures: u32,
    /// First pause before a retry; doubles with each further failure.
    pub backoff: Duration,
    /// Maximum pause before a retry.
    pub max_backoff: Duration,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        UpstreamSettings {
            max_failures: 2,
            backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(10),
        }
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamStatus {
    /// The upstream takes work.
    Ready,
    /// Calls to the upstream failed; it is avoided until the next retry.
    Failing,
    /// The upstream or the platform reported that it is leaving; it gets no new
    /// work.
    Leaving,
    /// The upstream was listed and no longer is.
    Gone,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    instance: Option<Name>,
    leaving: bool,
    /// Whether any list has contained it.
    listed: bool,
    /// Failed calls since the last successful one.
    failures: u32,
    last_failure: Moment,
}

/// Status of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    settings: UpstreamSettings,
    upstreams: BTreeMap<Name, Upstream>,
    host_list: HostList,
}

impl Upstreams {
    /// Returns a set without upstreams.
    pub fn new(settings: UpstreamSettings) -> Self {
        Upstreams {
            settings,
            ..Upstreams::default()
        }
    }

    /// Merges the platform's list; older revisions change nothing.
    pub fn update_host_list(&mut self, hosts: &Hosts) {
        self.host_list.update(hosts);
        for (name, upstream) in &mut self.upstreams {
            upstream.listed |= self.host_list.contains(name);
        }
    }

    /// Records an upstream's own report. Leaving is kept for the instance; a new
    /// instance starts without it and without failures.
    pub fn record_report(&mut self, name: &Name, instance: &Name, leaving: bool) {
        let listed = self.host_list.contains(name);
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.listed |= listed;
        if upstream.instance.as_ref() != Some(instance) {
            upstream.instance = Some(instance.clone());
            upstream.leaving = false;
            upstream.failures = 0;
        }
        upstream.leaving |= leaving;
    }

    /// Records a call that failed at the upstream.
    pub fn record_failure(&mut self, name: &Name, now: Moment) {
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.failures = upstream.failures.saturating_add(1);
        upstream.last_failure = now;
    }

    /// Records a call that succeeded.
    pub fn record_success(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.failures = 0;
        }
    }

    /// Removes an upstream that is no longer configured.
    pub fn remove(&mut self, name: &str) {
        self.upstreams.remove(name);
    }

    /// Returns the status of `name`; an unknown upstream is ready.
    pub fn status(&self, name: &str, now: Moment) -> UpstreamStatus {
        if self.host_list.is_leaving(name) {
            return UpstreamStatus::Leaving;
        }
        let Some(upstream) = self.upstreams.get(name) else {
            return UpstreamStatus::Ready;
        };
        if upstream.listed && !self.host_list.contains(name) {
            return UpstreamStatus::Gone;
        }
        if upstream.leaving {
            return UpstreamStatus::Leaving;
        }
        if now < self.retry_time(upstream) {
            return UpstreamStatus::Failing;
        }
        UpstreamStatus::Ready
    }

    fn retry_time(&self, upstream: &Upstream) -> Moment {
        let UpstreamSettings {
            max_failures,
            backoff,
            max_backoff,
        } = self.settings;
        if upstream.failures < max_failures {
            return Moment::ZERO;
        }
        let doublings = (upstream.failures - max_failures).min(16);
        upstream.last_failure + (backoff * (1 << doublings)).min(max_backoff)
    }
}
