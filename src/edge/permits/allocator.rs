//! Grants the permits of the hosts that follow this one.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Application, Rank, Returns, Verdict};
use crate::clock::Moment;
use crate::decide::rate_limits::TokenBucket;

/// Time for which unused permits accumulate.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Minimum number of permits that accumulate: one, and a part of the next, as permits are not
/// granted the moment that they are there.
const MIN_BURST: f64 = 1.25;
/// Time that a request must have left when its permit is there: the way of the verdict.
const VERDICT_TIME: Duration = Duration::from_millis(20);
/// Part of the time that a request can wait, beyond which no wait is planned for it: those
/// before it may be granted late.
const PLANNED_SHARE: f64 = 0.85;
/// Time after which an application lapses that its host does not repeat.
const APPLICATION_LIFETIME: Duration = Duration::from_millis(250);
/// Time for which a verdict is repeated when its application comes again.
const VERDICT_RETENTION: Duration = Duration::from_millis(500);

/// Who applies.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Applicant {
    /// Host.
    pub host: Arc<str>,
    /// Number of the application there.
    pub number: u64,
}

/// An application in the queue.
#[derive(Debug)]
struct Queued {
    applicant: Applicant,
    engines: Vec<Arc<str>>,
    rank: Rank,
    /// When its permit must be there.
    give_up_at: Moment,
    /// Whether it has been found that it can wait for its permit.
    admitted: bool,
    /// When its host applied last.
    renewed_at: Moment,
}

/// Permits for one engine.
#[derive(Debug)]
struct Bucket {
    /// Permits that can be granted now.
    permits: TokenBucket,
    /// Permits a second: the share of the followers in the engine's rate.
    rate: f64,
    filled_at: Moment,
    /// When refused callers are to return.
    returns: Returns,
}

impl Bucket {
    fn new(now: Moment) -> Self {
        // Another allocator may have granted permits until now.
        Bucket {
            permits: TokenBucket::empty(now),
            rate: 0.0,
            filled_at: now,
            returns: Returns::new(now),
        }
    }

    fn set_rate(&mut self, rate: f64, now: Moment) {
        let capacity = match rate > 0.0 {
            true => (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST),
            // Another allocator grants them now, or nobody may.
            false => 0.0,
        };
        self.permits.set_limits(rate, capacity, now);
        self.rate = rate;
        self.filled_at = now;
    }

    /// Returns after which time a caller that is refused now should return: when the queue is
    /// done, and one after the other.
    fn book_return(&mut self, queue_time: Duration, now: Moment) -> Duration {
        let step = Duration::try_from_secs_f64(1.0 / self.rate).unwrap_or(Duration::MAX);
        self.returns.book(step, queue_time, now)
    }
}

/// The permits that this host grants.
#[derive(Debug, Default)]
pub struct Allocator {
    buckets: HashMap<Arc<str>, Bucket>,
    queue: Vec<Queued>,
    /// Recent verdicts, which may have been lost on their way.
    verdicts: HashMap<Applicant, (Moment, Verdict)>,
}

impl Allocator {
    /// Updates the permits of the engines that have named a rate. `share` is the part of all
    /// hosts that follows this one.
    pub fn fill<'a>(
        &mut self,
        rates: impl Iterator<Item = (&'a Arc<str>, f64)>,
        share: f64,
        now: Moment,
    ) {
        for (id, rate) in rates {
            let bucket = self.buckets.entry(id.clone());
            let bucket = bucket.or_insert_with(|| Bucket::new(now));
            bucket.set_rate(rate * share, now);
        }
        self.buckets.retain(|_, bucket| bucket.filled_at == now);
    }

    /// Replaces the applications of a host; those that are not among `applications` have been
    /// withdrawn.
    pub fn apply(&mut self, host: &Arc<str>, applications: Vec<Application>, now: Moment) {
        let is_listed = |number| applications.iter().any(|a| a.number == number);
        self.queue
            .retain(|q| q.applicant.host != *host || is_listed(q.applicant.number));
        for application in applications {
            let applicant = Applicant {
                host: host.clone(),
                number: application.number,
            };
            let known = self.queue.iter_mut().find(|q| q.applicant == applicant);
            if let Some(queued) = known {
                queued.renewed_at = now;
                continue;
            }
            self.queue.push(Queued {
                applicant,
                engines: application.engines,
                rank: application.rank,
                give_up_at: now + application.patience.saturating_sub(VERDICT_TIME),
                admitted: false,
                renewed_at: now,
            });
        }
    }

    /// Returns whether applications wait for permits.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the time until the next application may get its permit.
    pub fn next_permit_in(&mut self, now: Moment) -> Option<Duration> {
        let engines: HashSet<_> = self.queue.iter().flat_map(|q| &q.engines).collect();
        let buckets = self
            .buckets
            .iter_mut()
            .filter(|(id, _)| engines.contains(id));
        buckets.map(|(_, b)| b.permits.wait(now)).min()
    }

    /// Decides on the applications: grants the permits that are there, and refuses those that
    /// would wait too long for theirs. [`Allocator::fill`] comes first.
    pub fn decide(&mut self, now: Moment) -> Vec<(Applicant, Verdict)> {
        self.verdicts
            .retain(|_, (at, _)| now.saturating_sub(*at) < VERDICT_RETENTION);
        self.queue
            .retain(|q| now.saturating_sub(q.renewed_at) < APPLICATION_LIFETIME);
        self.queue.sort_by_key(|q| (q.rank, q.give_up_at));
        let mut ahead: HashMap<Arc<str>, u32> = HashMap::new();
        let mut verdicts = Vec::new();
        let mut waiting = Vec::new();
        for mut queued in std::mem::take(&mut self.queue) {
            let known = self.verdicts.get(&queued.applicant);
            let verdict = match known {
                Some((_, verdict)) => Some(verdict.clone()),
                None => self.verdict(&queued, &mut ahead, now),
            };
            match verdict {
                Some(verdict) => verdicts.push((queued.applicant, verdict)),
                None => {
                    queued.admitted = true;
                    waiting.push(queued);
                }
            }
        }
        self.queue = waiting;
        for (applicant, verdict) in &verdicts {
            let at = (now, verdict.clone());
            self.verdicts.entry(applicant.clone()).or_insert(at);
        }
        verdicts
    }

    /// Decides on one application; `ahead` counts those that come before it by engine. `None` if
    /// it waits.
    fn verdict(
        &mut self,
        queued: &Queued,
        ahead: &mut HashMap<Arc<str>, u32>,
        now: Moment,
    ) -> Option<Verdict> {
        let mut best: Option<(Duration, &Arc<str>)> = None;
        for id in &queued.engines {
            let Some(bucket) = self.buckets.get_mut(id) else {
                // It names no rate any more.
                return Some(Verdict::Granted(id.clone()));
            };
            let wait = bucket
                .permits
                .wait_behind(ahead.get(id).copied().unwrap_or(0), now);
            if best.is_none_or(|(shortest, _)| wait < shortest) {
                best = Some((wait, id));
            }
        }
        let (wait, id) = best?;
        let bucket = self.buckets.get_mut(id)?;
        if wait.is_zero() && now < queued.give_up_at {
            bucket.permits.force_take(now);
            return Some(Verdict::Granted(id.clone()));
        }
        let left = queued.give_up_at.saturating_sub(now);
        let longest = match queued.admitted {
            true => left,
            false => left.mul_f64(PLANNED_SHARE),
        };
        if wait >= longest {
            return Some(Verdict::Refused(bucket.book_return(wait, now)));
        }
        *ahead.entry(id.clone()).or_default() += 1;
        None
    }
}
