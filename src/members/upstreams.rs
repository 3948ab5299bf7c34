//! Standing of upstreams: their own word, the host list and failed calls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::host_list::HostList;
use crate::clock::Moment;
use crate::config::Name;
use crate::outside::Hosts;

/// Settings of the standing of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSettings {
    /// Failed calls in a row after which an upstream is avoided.
    pub max_failures: u32,
    /// First pause before it is tried again; doubles with each failure.
    pub backoff: Duration,
    /// Longest pause.
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
    /// It takes work.
    Ready,
    /// It is to be avoided until its next try: calls to it failed.
    Failing,
    /// It or the platform says that it is leaving; it gets no new work.
    Leaving,
    /// It was listed once and is not any more.
    Gone,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    instance: Option<Name>,
    leaving: bool,
    listed: bool,
    failures: u32,
    last_failure: Moment,
}

/// Standing of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    settings: UpstreamSettings,
    upstreams: BTreeMap<Name, Upstream>,
    host_list: HostList,
}

impl Upstreams {
    /// Knows no upstream yet.
    pub fn new(settings: UpstreamSettings) -> Self {
        Upstreams {
            settings,
            ..Upstreams::default()
        }
    }

    /// Takes in the platform's list; older revisions change nothing.
    pub fn update_host_list(&mut self, hosts: &Hosts) {
        self.host_list.update(hosts);
        for (name, upstream) in &mut self.upstreams {
            upstream.listed |= self.host_list.contains(name);
        }
    }

    /// Takes in an upstream's own report. "Leaving" sticks to the instance; a
    /// new instance starts afresh.
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

    /// Takes in a call that failed at the upstream.
    pub fn record_failure(&mut self, name: &Name, now: Moment) {
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.failures = upstream.failures.saturating_add(1);
        upstream.last_failure = now;
    }

    /// Takes in a call that succeeded.
    pub fn record_success(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.failures = 0;
        }
    }

    /// Forgets an upstream that left the configuration.
    pub fn remove(&mut self, name: &str) {
        self.upstreams.remove(name);
    }

    /// Standing of `name`; an upstream that nothing is known of is ready.
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
