//! What the crashes single out.
//!
//! A crash has as possible causes all requests that were in progress and have not been answered
//! since. Each takes an equal share of the blame, so that it concentrates on the one that stays
//! while the others are answered. Messages that were at the same crashes in the same requests are
//! one possible cause, a group: only requests with all of them look like those on which engines crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Fingerprint, Suspect, SuspectKind};
use crate::clock::Moment;
use crate::config::Name;

/// Crashes that may be the fault of a request before its next attempts count as late.
const REQUEST_CRASHES: usize = 3;
/// The same for a group that no engine had answered before.
const NEW_CRASHES: usize = 3;
/// The same for a group that engines had answered before.
const KNOWN_CRASHES: usize = 4;
/// Crashes after which a new group is held though it had no time to be answered.
const MANY_CRASHES: usize = 5;
/// Time within which all daemons know of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(1);
/// Time from the first crash within which a known group that is sound is answered.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Time around a crash in which others suggest that engines end for another reason.
const NEARBY_TIME: Duration = Duration::from_secs(10);
/// Least share of the blame, over all crashes of a group, for which it is held.
const GROUP_BLAME: f64 = 1.0;
/// Blame that may lie on others when a request is singled out.
const SHARED_BLAME: f64 = 0.5;
/// Pauses before the trials of a held group, by the number of those that crashed an engine. Others
/// may be late, too: engines that fall silent tell of a crash only once they close connections.
const GROUP_PAUSES: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(10),
];
/// Pauses before the attempts of a request that is not singled out, by the number of late ones.
const PAUSES: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(10),
    Duration::from_secs(600),
];
/// Pauses before the trials of a request that is singled out.
const HELD_PAUSES: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(1_200),
];
/// Pause before any further attempt: with these, at most three are late in an hour.
const LAST_PAUSE: Duration = Duration::from_secs(3_600);

/// Messages that crashes single out.
#[derive(Clone, Debug)]
pub struct HeldGroup {
    /// Messages; only requests with all of them are held.
    pub messages: BTreeSet<Fingerprint>,
    /// When the next trial is allowed.
    pub trial_at: Moment,
    /// Time from the last crash to that trial.
    pub pause: Duration,
}

impl HeldGroup {
    /// Returns the message by which all daemons name the group.
    pub fn name(&self) -> Option<&Fingerprint> {
        self.messages.first()
    }
}

/// What is held against one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestVerdict {
    /// Until when crashes nearby may still say that something else is the cause.
    settles_at: Moment,
    /// When its next attempt is allowed.
    trial_at: Moment,
    /// Whether the crashes single it out.
    pub singled_out: bool,
}

impl RequestVerdict {
    /// Returns when its next attempt is allowed, as far as is known by now.
    pub fn trial_at(&self, now: Moment) -> Moment {
        match now < self.settles_at {
            true => self.settles_at,
            false => self.trial_at,
        }
    }
}

/// What the crashes single out.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    /// Held groups of messages.
    pub groups: Vec<HeldGroup>,
    /// Requests that may run only as trials.
    pub requests: BTreeMap<Fingerprint, RequestVerdict>,
    /// When a group may become held though nothing else happens.
    pub stale_at: Option<Moment>,
}

/// Crashes of one possible cause.
struct Cause<'a> {
    members: Vec<&'a Fingerprint>,
    crashes: BTreeSet<&'a Name>,
    /// Crashes at trials of it.
    trials: BTreeSet<&'a Name>,
    /// Whether an engine had answered it before.
    known: bool,
    blame: f64,
}

/// The crashes, and what explains them so far.
struct Evidence<'a> {
    /// When engine instances ended.
    ends: &'a BTreeMap<Name, Moment>,
    explained: BTreeSet<&'a Name>,
    now: Moment,
}

impl Verdicts {
    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty() && self.requests.is_empty()
    }

    /// Weighs the crashes. `ends` has the times of all that are known, `is_known` tells of messages
    /// whether an engine had answered them.
    pub fn weigh(
        suspects: &BTreeMap<Fingerprint, Suspect>,
        ends: &BTreeMap<Name, Moment>,
        is_known: impl Fn(&str) -> bool,
        now: Moment,
    ) -> Self {
        let mut requests = Vec::new();
        let mut groups: BTreeMap<_, Cause<'_>> = BTreeMap::new();
        for (fingerprint, suspect) in suspects {
            let crashes: BTreeSet<_> = suspect.crashes().collect();
            if crashes.is_empty() {
                continue;
            }
            let known = suspect.kind == SuspectKind::Message && is_known(fingerprint);
            let cause = Cause {
                members: vec![fingerprint],
                crashes: crashes.clone(),
                trials: crashes
                    .intersection(&suspect.trials.iter().collect())
                    .copied()
                    .collect(),
                known,
                blame: 0.0,
            };
            if suspect.kind == SuspectKind::Request {
                requests.push(cause);
                continue;
            }
            // Messages that were at the same crashes in other requests are other causes.
            let key = (crashes, &suspect.requests);
            match groups.get_mut(&key) {
                Some(group) => {
                    group.members.push(fingerprint);
                    group.trials.extend(cause.trials);
                    group.known &= known;
                }
                None => {
                    groups.insert(key, cause);
                }
            }
        }
        let mut groups: Vec<_> = groups.into_values().collect();
        let mut evidence = Evidence {
            ends,
            explained: BTreeSet::new(),
            now,
        };
        let mut verdicts = Verdicts::default();
        // Messages of single requests that were near are many, and each at few of the crashes.
        share_blame(&mut groups, |crashes| (crashes * crashes) as f64);
        share_blame(&mut requests, |_| 1.0);
        evidence.weigh_groups(&groups, &mut verdicts);
        evidence.weigh_requests(&requests, &mut verdicts);
        verdicts
    }
}

/// Shares the blame for each crash among its possible causes, by their weights for a number of
/// crashes, and sorts them by their crashes.
fn share_blame(causes: &mut [Cause<'_>], weight: impl Fn(usize) -> f64) {
    let mut sums: BTreeMap<&Name, f64> = BTreeMap::new();
    for cause in causes.iter() {
        for crash in &cause.crashes {
            *sums.entry(crash).or_default() += weight(cause.crashes.len());
        }
    }
    for cause in causes.iter_mut() {
        let weight = weight(cause.crashes.len());
        cause.blame = cause.crashes.iter().map(|c| weight / sums[c]).sum();
    }
    causes.sort_by(|a, b| {
        let by_count = b.crashes.len().cmp(&a.crashes.len());
        by_count.then(b.blame.total_cmp(&a.blame))
    });
}

impl<'a> Evidence<'a> {
    fn end_of(&self, instance: &Name) -> Moment {
        self.ends.get(instance).copied().unwrap_or_default()
    }

    /// Returns when the crashes of a cause happened.
    fn all_times(&self, cause: &Cause<'a>) -> Vec<Moment> {
        let mut times: Vec<_> = cause.crashes.iter().map(|c| self.end_of(c)).collect();
        times.sort();
        times
    }

    /// Returns when the crashes of a cause happened, those that nothing else explains.
    fn times(&self, cause: &Cause<'a>) -> Vec<Moment> {
        let open = cause.crashes.difference(&self.explained);
        let mut times: Vec<_> = open.map(|c| self.end_of(c)).collect();
        times.sort();
        times
    }

    fn weigh_groups(&mut self, groups: &[Cause<'a>], verdicts: &mut Verdicts) {
        for group in groups {
            // Two groups may be at the same crashes, and each at others too.
            let times = self.all_times(group);
            let counted = match group.known {
                true => KNOWN_CRASHES,
                false => NEW_CRASHES,
            };
            if times.len() < counted || group.blame < GROUP_BLAME {
                continue;
            }
            let answer_time = match group.known {
                true => ANSWER_TIME,
                false if times.len() >= MANY_CRASHES => Duration::ZERO,
                false => CONTACT_TIME,
            };
            let held_at = times[0] + answer_time;
            if self.now < held_at {
                let stale_at = verdicts.stale_at.get_or_insert(held_at);
                *stale_at = held_at.min(*stale_at);
                continue;
            }
            self.explained.extend(&group.crashes);
            let pause = pause(&GROUP_PAUSES, group.trials.len());
            verdicts.groups.push(HeldGroup {
                messages: group.members.iter().map(|m| (*m).clone()).collect(),
                trial_at: times[times.len() - 1] + pause,
                pause,
            });
        }
    }

    fn weigh_requests(&mut self, requests: &[Cause<'a>], verdicts: &mut Verdicts) {
        let mut singled_out = BTreeSet::new();
        // What one explains may single out another.
        let repeated = requests.iter().take_while(|cause| cause.crashes.len() > 1);
        let repeated = repeated.count();
        loop {
            let found = requests[..repeated].iter().position(|cause| {
                !singled_out.contains(cause.members[0]) && self.is_singled_out(cause)
            });
            let Some(found) = found else {
                break;
            };
            let cause = &requests[found];
            let verdict = self.request_verdict(cause, true);
            verdicts.requests.insert(cause.members[0].clone(), verdict);
            singled_out.insert(cause.members[0]);
            self.explained.extend(&cause.crashes);
        }
        for cause in requests {
            let is_once = cause.crashes.len() == 1;
            let is_explained = is_once && cause.crashes.is_subset(&self.explained);
            if is_explained || singled_out.contains(cause.members[0]) {
                continue;
            }
            let verdict = self.request_verdict(cause, false);
            verdicts.requests.insert(cause.members[0].clone(), verdict);
        }
    }

    /// Returns when the next attempt of a request is allowed. All its crashes count, also those that
    /// something else explains.
    fn request_verdict(&self, cause: &Cause<'a>, singled_out: bool) -> RequestVerdict {
        let times = self.all_times(cause);
        let unexplained = cause.crashes.difference(&self.explained).count();
        let late = late(&times);
        let pause = match singled_out {
            true => pause(&HELD_PAUSES, late),
            false if unexplained <= 1 && late == 0 => Duration::ZERO,
            false => pause(&PAUSES, late),
        };
        let last_end = times.last().copied().unwrap_or_default();
        RequestVerdict {
            settles_at: last_end + CONTACT_TIME.min(pause),
            trial_at: last_end + pause,
            singled_out,
        }
    }

    /// Returns whether a request was at crashes that have hardly another cause, while engines
    /// did not end for other reasons.
    fn is_singled_out(&self, cause: &Cause<'a>) -> bool {
        let times = self.times(cause);
        let count = times.len();
        if count < 2 || cause.blame < cause.crashes.len() as f64 - SHARED_BLAME {
            return false;
        }
        let is_near = |at: &Moment| times.iter().any(|t| at.abs_diff(*t) < NEARBY_TIME);
        let foreign = self.ends.iter().filter(|(name, at)| {
            !cause.crashes.contains(name) && !self.explained.contains(name) && is_near(at)
        });
        foreign.count() < count - 1
    }
}

/// Returns the number of crashes of which all daemons could know that they were too many.
fn late(times: &[Moment]) -> usize {
    let Some(last) = times.get(REQUEST_CRASHES - 1) else {
        return 0;
    };
    times.iter().filter(|t| **t > *last + CONTACT_TIME).count()
}

fn pause(pauses: &[Duration], late: usize) -> Duration {
    pauses.get(late).copied().unwrap_or(LAST_PAUSE)
}
