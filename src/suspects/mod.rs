//! Requests that crash upstreams.
//!
//! Every request in progress at an engine that dies gets a strike for that
//! engine instance. One strike: the next attempt runs alone, as a trial. Two:
//! the request is held until an operator releases it. Strikes and releases are
//! sets that only grow, so they merge to the same state in any order and any
//! number of times.

mod fingerprint;
mod flights;
mod trials;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::peer::wire::Strike;

pub use fingerprint::{Fingerprint, fingerprint};
pub use flights::Flights;
pub use trials::{Candidate, Trial, TrialAsk, Trials};

/// Strikes after which a request is held.
pub const HELD_STRIKES: usize = 2;

/// Settings of the record of strikes.
#[derive(Clone, Copy, Debug)]
pub struct SuspectSettings {
    /// Most fingerprints that are remembered.
    pub most: usize,
    /// Most engine instances that are remembered for one fingerprint.
    pub instances: usize,
    /// Time after its last strike after which a request that is not held is
    /// forgotten.
    pub keep: Duration,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        SuspectSettings {
            most: 10_000,
            instances: 16,
            keep: Duration::from_secs(3_600),
        }
    }
}

/// How the next attempt of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Attempt {
    /// As any other.
    Free,
    /// Only as a trial, apart from other suspects.
    Alone,
    /// Not at all.
    Held,
}

/// A held request, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Model of the request.
    pub model: Name,
    /// Engine instances that died under it.
    pub instances: Vec<Name>,
    /// When the last strike came.
    pub at: Moment,
}

#[derive(Clone, Debug)]
struct Suspect {
    model: Name,
    struck: BTreeSet<Name>,
    released: BTreeSet<Name>,
    at: Moment,
}

impl Suspect {
    fn strikes(&self) -> impl Iterator<Item = &Name> {
        self.struck.difference(&self.released)
    }

    fn set(&mut self, released: bool) -> &mut BTreeSet<Name> {
        match released {
            true => &mut self.released,
            false => &mut self.struck,
        }
    }

    /// Takes an instance into one of the sets; drops what was released once
    /// that set has `most`. A peer that still has it makes the request held
    /// again, never free.
    fn add(&mut self, instance: &str, released: bool, most: usize) -> bool {
        if self.set(released).contains(instance) {
            return false;
        }
        if self.set(released).len() >= most {
            self.struck = self.strikes().cloned().collect();
            self.released.clear();
        }
        // A set that is still full holds strikes, far more than it needs.
        self.set(released).len() < most && self.set(released).insert(instance.into())
    }

    fn attempt(&self) -> Attempt {
        match self.strikes().count() {
            0 => Attempt::Free,
            n if n < HELD_STRIKES => Attempt::Alone,
            _ => Attempt::Held,
        }
    }
}

/// Strikes of all requests, as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    settings: SuspectSettings,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Knows no strike yet.
    pub fn new(settings: SuspectSettings) -> Self {
        Suspects {
            settings,
            suspects: BTreeMap::new(),
        }
    }

    /// How the next attempt of `print` may run.
    pub fn attempt(&self, print: &str) -> Attempt {
        let suspect = self.suspects.get(print);
        suspect.map_or(Attempt::Free, Suspect::attempt)
    }

    /// Records that `instance` died while it ran the request; answers the
    /// message for all peers.
    pub fn strike(
        &mut self,
        print: &Fingerprint,
        model: &str,
        instance: &str,
        now: Moment,
    ) -> Strike {
        let strike = Strike {
            fingerprint: print.to_string(),
            instances: vec![instance.into()],
            released: false,
            model: model.into(),
        };
        self.merge(&strike, now);
        strike
    }

    /// Takes in a message of a peer; answers whether it was new.
    pub fn merge(&mut self, strike: &Strike, now: Moment) -> bool {
        let print: Fingerprint = strike.fingerprint.as_str().into();
        if !self.suspects.contains_key(&print) {
            self.make_room();
        }
        let suspect = self.suspects.entry(print).or_insert_with(|| Suspect {
            model: strike.model.as_str().into(),
            struck: BTreeSet::new(),
            released: BTreeSet::new(),
            at: now,
        });
        let mut changed = false;
        for instance in &strike.instances {
            changed |= suspect.add(instance, strike.released, self.settings.instances);
        }
        if changed {
            suspect.at = now;
        }
        changed
    }

    /// Takes back all strikes of a request, because it completed in a trial or
    /// by an operator's decision; answers the message for all peers, or `None`
    /// if there is no strike.
    pub fn release(&mut self, print: &str, now: Moment) -> Option<Strike> {
        let suspect = self.suspects.get(print)?;
        let instances: Vec<_> = suspect.strikes().map(|name| name.to_string()).collect();
        if instances.is_empty() {
            return None;
        }
        let strike = Strike {
            fingerprint: print.into(),
            instances,
            released: true,
            model: suspect.model.to_string(),
        };
        self.merge(&strike, now);
        Some(strike)
    }

    /// The held requests.
    pub fn held(&self) -> Vec<HeldRequest> {
        let all = self.suspects.iter();
        let held = all.filter(|(_, s)| s.attempt() == Attempt::Held);
        held.map(|(print, s)| HeldRequest {
            fingerprint: print.clone(),
            model: s.model.clone(),
            instances: s.strikes().cloned().collect(),
            at: s.at,
        })
        .collect()
    }

    /// Messages that bring a newly linked peer up to date.
    pub fn messages(&self) -> Vec<Strike> {
        let mut messages = Vec::new();
        for (print, suspect) in &self.suspects {
            for (set, released) in [(&suspect.struck, false), (&suspect.released, true)] {
                if set.is_empty() {
                    continue;
                }
                messages.push(Strike {
                    fingerprint: print.to_string(),
                    instances: set.iter().map(|name| name.to_string()).collect(),
                    released,
                    model: suspect.model.to_string(),
                });
            }
        }
        messages
    }

    /// Forgets old requests that are not held.
    pub fn expire(&mut self, now: Moment) {
        let keep = self.settings.keep;
        self.suspects
            .retain(|_, s| s.attempt() == Attempt::Held || now.saturating_sub(s.at) < keep);
    }

    /// Forgets the oldest request when full; a held one only when all are.
    fn make_room(&mut self) {
        if self.suspects.len() < self.settings.most {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, s)| (s.attempt() == Attempt::Held, s.at));
        if let Some((print, _)) = oldest {
            let print = print.clone();
            log::warn!("forgot the strikes of request {print}: too many requests have some");
            self.suspects.remove(&print);
        }
    }
}
