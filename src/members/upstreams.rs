//! Standing of upstreams: their own word, the host list and failed calls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::listing::Listing;
use crate::clock::Moment;
use crate::config::Name;
use crate::outside::Hosts;

/// Settings of the standing of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSettings {
    /// Failed calls in a row after which an upstream is avoided.
    pub failures: u32,
    /// First pause before it is tried again; doubles with each failure.
    pub pause: Duration,
    /// Longest pause.
    pub longest: Duration,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        UpstreamSettings {
            failures: 2,
            pause: Duration::from_millis(500),
            longest: Duration::from_secs(10),
        }
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
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
    failed: Moment,
}

/// Standing of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    settings: UpstreamSettings,
    upstreams: BTreeMap<Name, Upstream>,
    listing: Listing,
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
    pub fn listed(&mut self, hosts: &Hosts) {
        self.listing.update(hosts);
        for (name, upstream) in &mut self.upstreams {
            upstream.listed |= self.listing.contains(name);
        }
    }

    /// Takes in an upstream's own report. "Leaving" sticks to the instance; a
    /// new instance starts afresh.
    pub fn reported(&mut self, name: &Name, instance: &Name, leaving: bool) {
        let listed = self.listing.contains(name);
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
    pub fn failed(&mut self, name: &Name, now: Moment) {
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.failures = upstream.failures.saturating_add(1);
        upstream.failed = now;
    }

    /// Takes in a call that succeeded.
    pub fn succeeded(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.failures = 0;
        }
    }

    /// Forgets an upstream that left the configuration.
    pub fn remove(&mut self, name: &str) {
        self.upstreams.remove(name);
    }

    /// Standing of `name`; an upstream that nothing is known of is ready.
    pub fn standing(&self, name: &str, now: Moment) -> Standing {
        if self.listing.is_leaving(name) {
            return Standing::Leaving;
        }
        let Some(upstream) = self.upstreams.get(name) else {
            return Standing::Ready;
        };
        if upstream.listed && !self.listing.contains(name) {
            return Standing::Gone;
        }
        if upstream.leaving {
            return Standing::Leaving;
        }
        if now < self.next_try(upstream) {
            return Standing::Failing;
        }
        Standing::Ready
    }

    fn next_try(&self, upstream: &Upstream) -> Moment {
        let UpstreamSettings {
            failures,
            pause,
            longest,
        } = self.settings;
        if upstream.failures < failures {
            return Moment::ZERO;
        }
        let doublings = (upstream.failures - failures).min(16);
        upstream.failed + (pause * (1 << doublings)).min(longest)
    }
}
