//! Requests that crash engines, and what they have in common.
//!
//! When an engine ends, every request that was in progress there has features that may be the
//! cause: its path and body, and the parts of its prompt. The crashes are shared among all
//! daemons; each finds the features that explain them. Requests with such a feature are held,
//! but for a few trials, until an engine has answered one.
//!
//! The most specific explanation is preferred: a part is held only if several requests crashed
//! engines that have nothing else in common.

mod broken;
mod crash;
mod crash_set;
mod engine_ends;
mod explain;
mod feature;
mod hold;
mod index;
mod left_runs;
mod notes;
mod pace;
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
use broken::BrokenFeatures;
use crash_set::{CrashSet, MAX_CRASHES};
use index::Index;
use pace::Pace;
use sound::SoundFeatures;
use trials::CrashTimes;

/// Time after which a crash is forgotten, if no request came that is held because of it.
const RETENTION: Duration = Duration::from_secs(3_600);

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
    crashes: BTreeMap<CrashId, (u8, Crash)>,
    index: Index,
    sound: SoundFeatures,
    broken: BrokenFeatures,
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
        let seed = Crash::new(id, now, now).seed;
        let evidence = |(feature, begun)| {
            let repeated = self.broken.record(feature, seed);
            let evidence = Evidence {
                begun,
                repeated,
                ..Evidence::default()
            };
            (feature, evidence)
        };
        let features = features.into_iter().map(evidence).collect();
        let crash = Crash::with_features(id, now, features);
        self.merge(id, &crash, now)
    }

    /// Merges what is known of a crash, and adds what this daemon knows of its features.
    pub fn merge(&mut self, id: &CrashId, report: &Crash, now: Moment) -> HeldChange {
        if now.saturating_sub(report.seen_at) >= RETENTION {
            return HeldChange::default();
        }
        let is_new = !self.crashes.contains_key(id);
        if is_new {
            self.make_room();
        }
        let (slot, crash) = self.crashes.entry(id.clone()).or_insert_with(|| {
            let crash = Crash::new(id, report.at, report.seen_at);
            (self.index.take_slot(id), crash)
        });
        crash.at = crash.at.min(report.at);
        crash.seen_at = crash.seen_at.max(report.seen_at);
        self.index.remove(*slot, crash);
        let mut is_news = is_new;
        for (feature, evidence) in &report.features {
            let answered = self.sound.answered(*feature, crash.at);
            let evidence = Evidence {
                known: evidence.known || answered.before,
                cleared: evidence.cleared || answered.since,
                ..*evidence
            };
            is_news |= crash.add(*feature, evidence);
        }
        self.index.insert(*slot, crash);
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
            self.broken.forget(*feature);
            for slot in self.index.open(*feature).all.iter() {
                is_news |= self.clear(slot, *feature, now);
            }
        }
        match is_news {
            true => self.update_held(),
            false => HeldChange::default(),
        }
    }

    /// Records that a feature did not cause a crash; returns whether that is news.
    fn clear(&mut self, slot: u8, feature: Feature, now: Moment) -> bool {
        let Some(id) = self.index.id(slot).cloned() else {
            return false;
        };
        let Some((_, crash)) = self.crashes.get_mut(&id).filter(|(_, c)| c.at < now) else {
            return false;
        };
        self.index.remove(slot, crash);
        if let Some(evidence) = crash.features.get_mut(&feature) {
            evidence.cleared = true;
        }
        self.index.insert(slot, crash);
        self.news.insert(id);
        true
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
        for slot in self.index.open(feature).all.iter() {
            let id = self.index.id(slot);
            if let Some((_, crash)) = id.and_then(|id| self.crashes.get_mut(id)) {
                crash.seen_at = now;
            }
        }
    }

    /// Returns the crashes that a feature may have caused, with their ids.
    pub fn crashes_by(&self, feature: Feature) -> impl Iterator<Item = (&CrashId, &Crash)> {
        self.crashes_in(self.index.open(feature).all)
    }

    fn crashes_in(&self, slots: CrashSet) -> impl Iterator<Item = (&CrashId, &Crash)> {
        let ids = slots.iter().filter_map(|slot| self.index.id(slot));
        ids.filter_map(|id| self.crashes.get(id).map(|(_, crash)| (id, crash)))
    }

    /// Returns the time until a request whose only held feature is this one may be tried;
    /// `None` if there is no further trial.
    pub fn trial_in(&self, feature: Feature, now: Moment) -> Option<Duration> {
        let crashes = self.crash_times(feature);
        let due = self.trials.due_in(feature, &crashes, false, now)?;
        Some(due.max(self.pace_wait(feature, &crashes, now)))
    }

    /// Returns the time for which the trial of a held feature waits beside its own crashes.
    fn pace_wait(&self, feature: Feature, crashes: &CrashTimes, now: Moment) -> Duration {
        let near = self.index.open(feature).all;
        let last_crash = |slots: CrashSet| self.crashes_in(slots).map(|(_, crash)| crash.at).max();
        let own = last_crash(near).max(self.trials.last_at(feature));
        let is_other = |f: &&Feature| **f != feature && matches!(f, Feature::Request(_));
        let others = self.held.iter().filter(is_other);
        let tried = others.clone().filter_map(|f| self.trials.last_at(*f)).max();
        let pace = match feature {
            Feature::Request(_) => {
                let at_crashes = others.map(|f| self.index.open(*f).all);
                let at_crashes = at_crashes.fold(CrashSet::default(), |all, open| all.or(&open));
                let last = last_crash(at_crashes.minus(&near)).max(tried);
                Pace::of_request(near.len(), own, last)
            }
            Feature::Part(_) if !self.trials.is_late(feature, crashes, now) => {
                return Duration::ZERO;
            }
            Feature::Part(_) => {
                let last = self.crashes.values().map(|(_, crash)| crash.at).max();
                Pace::of_late_part(own, last.max(tried))
            }
        };
        pace.wait(now)
    }

    /// Returns the held features of a request, each with the time until the request may be
    /// sent as a trial of it, `None` if there is no further trial. Requests that may crash
    /// engines for another reason come later, so that the trials are those of others.
    pub fn trials_in(&self, features: &[Feature], now: Moment) -> Vec<(Feature, Option<Duration>)> {
        let held = self.held_among(features);
        if held.is_empty() {
            return Vec::new();
        }
        let is_request = |f: &&Feature| matches!(f, Feature::Request(_));
        let mut own = features.iter().filter(is_request);
        let is_suspected = own.any(|f| !held.contains(f) && !self.index.open(*f).all.is_empty());
        let is_doubtful = held.len() > 1 || is_suspected;
        // A trial beside other requests that crash engines shows nothing.
        let near = features.iter().map(|f| self.index.open(*f).all);
        let near = near.fold(CrashSet::default(), |all, open| all.or(&open));
        let last = self.crashes_in(near).map(|(_, crash)| crash.at).max();
        let due = |feature: Feature| {
            let mut crashes = self.crash_times(feature);
            crashes.last = last.unwrap_or_default();
            let due = self.trials.due_in(feature, &crashes, is_doubtful, now)?;
            Some(due.max(self.pace_wait(feature, &crashes, now)))
        };
        held.into_iter().map(|f| (f, due(f))).collect()
    }

    /// Records that a trial of a held feature begins; returns the number of those before it,
    /// and whether it is one of the few that come late.
    pub fn begin_trial(&mut self, feature: Feature, now: Moment) -> (u32, bool) {
        let crashes = self.crash_times(feature);
        let before = self.trials.count(feature);
        let is_late = self.trials.begin(feature, &crashes, now);
        (before, is_late)
    }

    fn crash_times(&self, feature: Feature) -> CrashTimes {
        let times = self.crashes_by(feature).map(|(_, crash)| crash.at);
        CrashTimes::new(feature, times.collect())
    }

    /// Forgets crashes because of which nothing has been held for long.
    pub fn expire(&mut self, now: Moment) -> HeldChange {
        let is_old = |crash: &Crash| now.saturating_sub(crash.seen_at) >= RETENTION;
        let crashes = self.crashes.iter().filter(|(_, (_, crash))| is_old(crash));
        let old: Vec<_> = crashes.map(|(id, _)| id.clone()).collect();
        old.iter().for_each(|id| self.remove(id));
        match old.is_empty() {
            true => HeldChange::default(),
            false => self.update_held(),
        }
    }

    fn remove(&mut self, id: &CrashId) {
        if let Some((slot, crash)) = self.crashes.remove(id) {
            self.index.remove(slot, &crash);
            self.index.free_slot(slot);
        }
        self.news.remove(id);
    }

    /// Removes the oldest crash when there are too many; one that explains nothing held first.
    fn make_room(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let explains = |crash: &Crash| crash.causes().any(|(f, _)| self.held.contains(&f));
        let crashes = self.crashes.iter();
        let oldest =
            crashes.min_by_key(|(id, (_, crash))| (explains(crash), id.ended, crash.seen_at));
        if let Some((id, _)) = oldest {
            let id = id.clone();
            log::warn!(engine = &*id.lifetime.engine, life = id.lifetime.incarnation;
                "crash forgotten: there are too many");
            self.remove(&id);
        }
    }

    /// Finds the features that explain the crashes.
    fn update_held(&mut self) -> HeldChange {
        let held = explain::held_features(&self.index);
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
