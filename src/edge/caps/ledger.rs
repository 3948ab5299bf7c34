//! What this host grants of the customers' caps.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Answer, CapRules, Charge};
use crate::clock::Moment;
use crate::decide::rate_limits::TokenBucket;
use crate::edge::customers::Cap;
use crate::edge::permits::{Applicant, Rank, Returns};

/// Part of the allowance beyond a cap by which a bucket is larger than the burst, and that an
/// allocator starts with.
const START_PART: f64 = 0.125;
/// Part of the allowance that all hosts together may spend before the allocator has heard of it.
const ROOM_PART: f64 = 0.25;
/// Part of a full bucket from which on hosts may spend ahead, and the part of what it holds.
const HALF: f64 = 0.5;
/// Part of a customer's rate that callers who return may use; the rest is for new requests.
const RETURN_PART: f64 = 0.5;
/// Time from a take-over in which no request is refused: the followers are not known yet.
const RAMP_TIME: Duration = Duration::from_millis(500);
/// Time after which a charge lapses that its host does not repeat.
const CHARGE_LIFETIME: Duration = Duration::from_millis(250);
/// Time for which an answer is repeated when its charge comes again.
const ANSWER_RETENTION: Duration = Duration::from_secs(2);

/// A charge in the queue.
#[derive(Debug)]
struct Queued {
    applicant: Applicant,
    customer: Arc<str>,
    units: f64,
    rank: Rank,
    /// When it must be granted.
    give_up_at: Moment,
    /// When its host told it last.
    renewed_at: Moment,
}

/// Units of one customer.
#[derive(Debug)]
struct Bucket {
    units: TokenBucket,
    /// Units a second: the part of the followers in the customer's rate.
    rate: f64,
    /// Maximum number of units.
    capacity: f64,
    /// Units at a take-over; the part of the followers comes in as their number grows.
    start: f64,
    /// Units of them that have come in.
    started: f64,
    cap: Cap,
    filled_at: Moment,
    /// When refused callers are to return.
    returns: Returns,
}

impl Bucket {
    fn new(cap: Cap, now: Moment) -> Self {
        Bucket {
            units: TokenBucket::empty(now),
            rate: 0.0,
            capacity: 0.0,
            start: 0.0,
            started: 0.0,
            cap,
            filled_at: now,
            returns: Returns::new(now),
        }
    }

    fn set_cap(&mut self, cap: Cap, rules: &CapRules, share: f64, now: Moment) {
        self.cap = cap;
        self.rate = cap.rate * share;
        self.capacity = (cap.burst + START_PART * rules.allowance(&cap)) * share;
        self.units.set_limits(self.rate, self.capacity, now);
        let missing = self.capacity - self.units.level(now);
        let due = self.start * share - self.started;
        let added = due.min(missing).max(0.0);
        self.started += added;
        self.units.add(added, now);
        self.filled_at = now;
    }

    fn set_start(&mut self, units: f64) {
        self.start = units;
        self.started = 0.0;
    }

    /// Returns the time until `units` are there after `ahead` others. A request that costs more
    /// than the bucket of all hosts ever holds needs a full one.
    fn wait(&mut self, units: f64, ahead: f64, share: f64, now: Moment) -> Duration {
        let needed = match share > 1.0 / 2.0 {
            true => units.min(self.capacity),
            false => units,
        };
        match needed > self.capacity {
            true => Duration::MAX,
            false => self.units.wait_for(needed + ahead, now),
        }
    }

    /// Returns after which time a caller that is refused now should return: when the queue is
    /// done, and one after the other.
    fn book_return(&mut self, units: f64, queue_time: Duration, now: Moment) -> Duration {
        let step =
            Duration::try_from_secs_f64(units / (RETURN_PART * self.rate)).unwrap_or(Duration::MAX);
        self.returns.book(step, queue_time, now)
    }
}

/// The buckets of all customers with a cap, and the charges that wait.
#[derive(Debug, Default)]
pub struct Ledger {
    buckets: HashMap<Arc<str>, Bucket>,
    queue: Vec<Queued>,
    /// Recent answers, which may have been lost on their way.
    answers: HashMap<Applicant, (Moment, Answer)>,
    /// Part of all hosts that follows this one.
    share: f64,
    /// Whether this host follows itself.
    leads: bool,
    /// Until when no request is refused.
    ramp_until: Moment,
}

impl Ledger {
    /// Begins to grant. `unused` is the time for which no host has granted anything.
    pub fn take_over(&mut self, unused: Duration, rules: &CapRules, now: Moment) {
        self.leads = true;
        self.ramp_until = now + RAMP_TIME;
        for bucket in self.buckets.values_mut() {
            let gap = bucket.cap.rate * unused.as_secs_f64();
            bucket.set_start(gap + START_PART * rules.allowance(&bucket.cap));
        }
    }

    /// Ends granting; returns the units that are left, for the host that takes over.
    pub fn hand_over(&mut self, now: Moment) -> Vec<(Arc<str>, f64)> {
        self.leads = false;
        self.queue.clear();
        let mut levels = Vec::new();
        for (customer, bucket) in &mut self.buckets {
            let level = bucket.units.level(now);
            bucket.units.add(-level, now);
            levels.push((customer.clone(), level));
            bucket.set_start(0.0);
        }
        levels.sort_by(|a, b| a.0.cmp(&b.0));
        levels
    }

    /// Takes the units that the allocator before has left; fewer than none are a debt.
    pub fn receive(&mut self, customer: &str, level: f64, now: Moment) {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        if !level.is_finite() {
            return;
        }
        match level < 0.0 {
            true => bucket.units.add(level, now),
            false => bucket.start += level.min(bucket.cap.burst),
        }
        self.ramp_until = now + RAMP_TIME;
    }

    /// Updates the caps of all customers. `share` is the part of all hosts that follows this one.
    pub fn fill<'a>(
        &mut self,
        caps: impl Iterator<Item = (&'a Arc<str>, Cap)>,
        rules: &CapRules,
        share: f64,
        now: Moment,
    ) {
        // Its followers come back to a host that was cut off.
        if share > self.share && self.share <= 1.0 / 2.0 {
            self.ramp_until = now + RAMP_TIME;
        }
        self.share = share;
        for (customer, cap) in caps {
            let bucket = self.buckets.entry(customer.clone());
            let bucket = bucket.or_insert_with(|| {
                let mut bucket = Bucket::new(cap, now);
                bucket.set_start(START_PART * rules.allowance(&cap));
                bucket
            });
            bucket.set_cap(cap, rules, share, now);
            if now >= self.ramp_until {
                bucket.set_start(0.0);
            }
        }
        self.buckets.retain(|_, bucket| bucket.filled_at == now);
    }

    /// Takes the charges of a host.
    pub fn apply(&mut self, host: &Arc<str>, charges: Vec<Charge>, now: Moment) {
        for charge in charges {
            let applicant = Applicant {
                host: host.clone(),
                number: charge.number,
            };
            if let Some(queued) = self.queue.iter_mut().find(|q| q.applicant == applicant) {
                queued.renewed_at = now;
                continue;
            }
            if charge.spent && !self.answers.contains_key(&applicant) {
                if let Some(bucket) = self.buckets.get_mut(&charge.customer) {
                    bucket.units.add(-charge.units, now);
                }
                let answer = (now, Answer::Granted);
                self.answers.insert(applicant.clone(), answer);
            }
            self.queue.push(Queued {
                applicant,
                customer: charge.customer,
                units: charge.units,
                rank: charge.rank,
                give_up_at: now + charge.patience,
                renewed_at: now,
            });
        }
    }

    /// Returns whether charges wait.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the time until a charge may get its answer.
    pub fn due_in(&mut self, now: Moment) -> Option<Duration> {
        let (buckets, share) = (&mut self.buckets, self.share);
        let queue = self.queue.iter();
        let waits = queue.filter_map(|q| {
            let bucket = buckets.get_mut(&q.customer)?;
            let until_refused = q.give_up_at.max(self.ramp_until).saturating_sub(now);
            Some(bucket.wait(q.units, 0.0, share, now).min(until_refused))
        });
        waits.min()
    }

    /// Returns the units of a customer that each of `hosts` hosts may spend ahead.
    pub fn room(&mut self, customer: &str, rules: &CapRules, hosts: usize, now: Moment) -> f64 {
        let share = self.share;
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return 0.0;
        };
        let level = bucket.units.level(now);
        if level <= HALF * bucket.capacity || share <= 0.0 {
            return 0.0;
        }
        let allowed = ROOM_PART * rules.allowance(&bucket.cap) * share;
        (HALF * level).min(allowed) / (hosts as f64 * share).max(1.0)
    }

    /// Answers the charges: grants those whose units are there, and refuses those that would wait
    /// too long. [`Ledger::fill`] comes first.
    pub fn decide(&mut self, now: Moment) -> Vec<(Applicant, Arc<str>, Answer)> {
        self.answers
            .retain(|_, (at, _)| now.saturating_sub(*at) < ANSWER_RETENTION);
        self.queue
            .retain(|q| now.saturating_sub(q.renewed_at) < CHARGE_LIFETIME);
        self.queue.sort_by_key(|q| (q.rank, q.give_up_at));
        let mut ahead: HashMap<Arc<str>, f64> = HashMap::new();
        let mut answered = Vec::new();
        let mut waiting = Vec::new();
        for queued in std::mem::take(&mut self.queue) {
            let known = self.answers.get(&queued.applicant).map(|(_, a)| *a);
            match known.or_else(|| self.answer(&queued, &mut ahead, now)) {
                Some(answer) => {
                    let applicant = queued.applicant.clone();
                    self.answers.entry(applicant).or_insert((now, answer));
                    answered.push((queued.applicant, queued.customer, answer));
                }
                None => waiting.push(queued),
            }
        }
        self.queue = waiting;
        answered
    }

    /// Decides on one charge; `ahead` sums those that come before it by customer. `None` if it
    /// waits.
    fn answer(
        &mut self,
        queued: &Queued,
        ahead: &mut HashMap<Arc<str>, f64>,
        now: Moment,
    ) -> Option<Answer> {
        // A customer without a bucket has no cap in the version of this host.
        let Some(bucket) = self.buckets.get_mut(&queued.customer) else {
            return Some(Answer::Granted);
        };
        let before = ahead.entry(queued.customer.clone()).or_default();
        let wait = bucket.wait(queued.units, *before, self.share, now);
        if wait.is_zero() {
            bucket.units.add(-queued.units, now);
            return Some(Answer::Granted);
        }
        let left = queued.give_up_at.saturating_sub(now);
        // Hosts that turn to another allocator repeat their charges there.
        if wait >= left && now >= self.ramp_until && self.leads {
            return Some(Answer::Refused(bucket.book_return(queued.units, wait, now)));
        }
        *before += queued.units;
        None
    }
}
