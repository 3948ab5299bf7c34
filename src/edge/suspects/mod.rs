//! Requests that crash engines, and what they have in common.
//!
//! When an engine ends, every request that was in progress there has features that may be the
//! cause: its path and body, and the parts of its prompt. The crashes are shared among all
//! daemons; each finds the features that explain them. Requests with such a feature are held,
//! but for a few trials, until an engine has answered one.
//!
//! A crash that a held feature explains counts against no other. Features that engines have
//! answered before count only where a crash has no other explanation.

mod crash;
mod engine_ends;
mod feature;
mod hold;
mod left_runs;
mod notes;
mod progress;
mod recording;
mod rows;
mod sound;
mod trials;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use crash::{Crash, CrashId, Evidence};
pub use engine_ends::PendingEnds;
pub use feature::{Feature, InvalidFeature, features, fingerprint};
pub use hold::HoldRecord;
pub use left_runs::{Left, LeftRuns, Listed, RunFeatures};
pub use progress::Progress;
pub use recording::Hold;
pub use rows::keep_rows;
pub use trials::Trials;

use crate::clock::Moment;
use sound::SoundFeatures;

/// Points of a crash against a feature that no engine had answered before.
const NEW_POINTS: u32 = 5;
/// Points of a crash against a feature that engines had answered before.
const KNOWN_POINTS: u32 = 2;
/// Points from which a feature is held: two crashes if it is new, else five.
const HELD_POINTS: u32 = 10;
/// Crashes that only one held feature explains from which it is tried no more.
const CERTAIN_CRASHES: usize = 3;
/// Time after which a crash is forgotten, if no request came that is held because of it.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;

/// A change of the held features.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldChange {
    /// Features that are held from now on.
    pub held: Vec<Feature>,
    /// Features that are no longer held.
    pub released: Vec<Feature>,
}

impl HeldChange {
    /// Returns whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.released.is_empty()
    }
}

/// Crashes of engines, and the features that explain them.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<CrashId, Crash>,
    sound: SoundFeatures,
    held: BTreeSet<Feature>,
    /// Trials of held features.
    pub trials: Trials,
    /// Crashes not yet reported to other daemons.
    news: BTreeSet<CrashId>,
}

impl Suspects {
    /// Records a crash while requests with these features were in progress; `begun` tells of each whether its answer had just begun.
    pub fn record_crash(
        &mut self,
        id: &CrashId,
        features: impl IntoIterator<Item = (Feature, bool)>,
        now: Moment,
    ) -> HeldChange {
        let mut crash = Crash::new(id, now, now);
        for (feature, begun) in features {
            let evidence = Evidence {
                begun,
                ..Evidence::default()
            };
            crash.add(feature, evidence);
        }
        self.merge(id, &crash, now)
    }

    /// Merges what is known of a crash, and adds what this daemon knows of its features.
    pub fn merge(&mut self, id: &CrashId, report: &Crash, now: Moment) -> HeldChange {
        if now.saturating_sub(report.seen_at) >= RETENTION {
            return HeldChange::default();
        }
        if !self.crashes.contains_key(id) {
            self.make_room();
        }
        let mut is_news = !self.crashes.contains_key(id);
        let crash = self
            .crashes
            .entry(id.clone())
            .or_insert_with(|| Crash::new(id, report.at, report.seen_at));
        crash.at = crash.at.min(report.at);
        crash.seen_at = crash.seen_at.max(report.seen_at);
        for (feature, evidence) in &report.features {
            let answered = self.sound.answered(*feature, crash.at);
            let evidence = Evidence {
                known: evidence.known || answered.before,
                cleared: evidence.cleared || answered.since,
                ..*evidence
            };
            is_news |= crash.add(*feature, evidence);
        }
        if !is_news {
            return HeldChange::default();
        }
        self.news.insert(id.clone());
        self.update_held()
    }

    /// Records that an engine has answered a request with these features.
    pub fn record_answered(&mut self, features: &[Feature], now: Moment) -> HeldChange {
        let mut is_news = false;
        for feature in features {
            self.sound.record(*feature, now);
        }
        for (id, crash) in &mut self.crashes {
            for feature in features {
                let Some(evidence) = crash.features.get_mut(feature) else {
                    continue;
                };
                if !evidence.cleared && crash.at < now {
                    evidence.cleared = true;
                    is_news = true;
                    self.news.insert(id.clone());
                }
            }
        }
        match is_news {
            true => self.update_held(),
            false => HeldChange::default(),
        }
    }

    /// Returns the held features among these.
    pub fn held_among(&self, features: &[Feature]) -> Vec<Feature> {
        let held = features.iter().filter(|f| self.held.contains(f));
        held.copied().collect()
    }

    /// Returns all held features.
    pub fn held(&self) -> impl Iterator<Item = Feature> {
        self.held.iter().copied()
    }

    /// Records that a request came that is held because of this feature.
    pub fn record_seen(&mut self, feature: Feature, now: Moment) {
        for crash in self.crashes.values_mut() {
            if crash.may_be_caused_by(feature) {
                crash.seen_at = now;
            }
        }
    }

    /// Returns the crashes that a feature explains, with their ids.
    pub fn crashes_by(&self, feature: Feature) -> impl Iterator<Item = (&CrashId, &Crash)> {
        let crashes = self.crashes.iter();
        crashes.filter(move |(_, crash)| crash.may_be_caused_by(feature))
    }

    /// Returns the time until a request whose only held feature is this one may be tried;
    /// `None` if it is certain that engines crash on it.
    pub fn trial_in(&self, feature: Feature, now: Moment) -> Option<Duration> {
        if self.is_certain(feature) {
            return None;
        }
        let ends = self.crashes_by(feature).map(|(_, crash)| crash.at);
        let last_end = ends.max().unwrap_or_default();
        Some(self.trials.due_in(feature, last_end, now))
    }

    /// Returns whether so many crashes have no other held feature as an explanation that no
    /// trial is needed.
    fn is_certain(&self, feature: Feature) -> bool {
        let is_other = |f: Feature| f != feature && self.held.contains(&f);
        let alone = |crash: &Crash| !crash.causes().any(|(f, _)| is_other(f));
        let crashes = self.crashes_by(feature).filter(|(_, crash)| alone(crash));
        crashes.count() >= CERTAIN_CRASHES
    }

    /// Forgets crashes because of which nothing has been held for long.
    pub fn expire(&mut self, now: Moment) -> HeldChange {
        let before = self.crashes.len();
        self.crashes
            .retain(|_, crash| now.saturating_sub(crash.seen_at) < RETENTION);
        if self.crashes.len() == before {
            return HeldChange::default();
        }
        self.update_held()
    }

    /// Removes the oldest crash when there are too many; one that explains nothing held first.
    fn make_room(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let explains = |crash: &Crash| crash.causes().any(|(f, _)| self.held.contains(&f));
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(id, crash)| (explains(crash), id.ended, crash.seen_at));
        if let Some((id, _)) = oldest {
            let id = id.clone();
            log::warn!(engine = &*id.lifetime.engine, life = id.lifetime.incarnation;
                "crash forgotten: there are too many");
            self.crashes.remove(&id);
            self.news.remove(&id);
        }
    }

    /// Finds the features that explain the crashes: again and again those with most points
    /// among the crashes that are not explained yet.
    fn update_held(&mut self) -> HeldChange {
        let mut held = BTreeSet::new();
        let mut open: Vec<Vec<_>> = self
            .crashes
            .values()
            .map(|c| c.causes().collect())
            .collect();
        loop {
            let mut points: BTreeMap<Feature, u32> = BTreeMap::new();
            for (feature, evidence) in open.iter().flatten() {
                *points.entry(*feature).or_default() += match evidence.known {
                    true => KNOWN_POINTS,
                    false => NEW_POINTS,
                };
            }
            let most = points.values().copied().max().unwrap_or(0);
            if most < HELD_POINTS {
                break;
            }
            held.extend(points.iter().filter(|(_, p)| **p == most).map(|(f, _)| *f));
            open.retain(|causes| !causes.iter().any(|(f, _)| held.contains(f)));
        }
        let change = HeldChange {
            held: held.difference(&self.held).copied().collect(),
            released: self.held.difference(&held).copied().collect(),
        };
        self.held = held;
        for feature in &change.released {
            self.trials.forget(*feature);
        }
        change
    }
}
