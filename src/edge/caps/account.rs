//! The charges of this host.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::{Answer, Charge};
use crate::clock::Moment;
use crate::edge::permits::{REPEAT_PERIOD, Rank, spread};

/// Time after its grant for which a charge covers a request that has not been sent.
const GRANT_LIFETIME: Duration = Duration::from_millis(400);
/// Maximum time from a charge to an answer that counts; one that arrives in a suspension of the
/// process is read much later.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(400);
/// Maximum delay of a caller whose charge was not answered.
const MAX_UNANSWERED_DELAY: Duration = Duration::from_secs(4);
/// Time for which units that were spent ahead are told: an allocator that is not there is replaced
/// within that time.
const SPENT_LIFETIME: Duration = Duration::from_secs(5);
/// Time for which units that go back are told; it ends before the allocator forgets that it has
/// heard of them.
const RETURN_LIFETIME: Duration = Duration::from_secs(1);
/// Time for which a room counts.
const ROOM_LIFETIME: Duration = Duration::from_secs(3);
/// Maximum number of charges in a datagram.
const MAX_CHARGES: usize = 32;
/// Bits for the numbers of one process.
const NUMBER_BITS: u32 = 12;

/// How it stands with a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeState {
    /// No answer has come yet.
    Waiting,
    /// The request may be sent.
    Granted,
    /// Its grant is too old for a request that has not been sent.
    Lapsed,
    /// The request may not be sent; its caller may return after this time.
    Refused(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Waiting,
    /// Spent ahead, and not acknowledged.
    Spent,
    Granted,
    Refused {
        return_at: Moment,
    },
}

#[derive(Debug)]
struct Open {
    customer: Arc<str>,
    units: f64,
    rank: Rank,
    /// When it must be decided if it has been answered.
    wait_until: Moment,
    /// When the request gives up without an answer.
    give_up_at: Moment,
    /// When its stage began.
    since: Moment,
    /// When it was sent last.
    sent_at: Option<Moment>,
    stage: Stage,
    /// Whether its request has ended.
    ended: bool,
}

impl Open {
    fn is_told(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::Spent)
    }

    fn due_in(&self, now: Moment) -> Duration {
        let wait = |at: Moment| (at + REPEAT_PERIOD).saturating_sub(now);
        self.sent_at.map_or(Duration::ZERO, wait)
    }

    fn is_over(&self, now: Moment) -> bool {
        let lifetime = match self.units < 0.0 {
            true => RETURN_LIFETIME,
            false => SPENT_LIFETIME,
        };
        self.ended && now.saturating_sub(self.since) >= lifetime
    }
}

/// Charges of this host by number, and what it may spend ahead.
#[derive(Debug)]
pub struct Accounts {
    open: BTreeMap<u64, Open>,
    rooms: HashMap<Arc<str>, (f64, Moment)>,
    /// Number of the last charge.
    last_number: u64,
}

impl Default for Accounts {
    fn default() -> Self {
        // Answers for the process before do not fit the numbers of this one.
        Accounts {
            open: BTreeMap::new(),
            rooms: HashMap::new(),
            last_number: u64::from(rand::random::<u32>()) << NUMBER_BITS,
        }
    }
}

impl Accounts {
    /// Charges a customer for a request that can wait until `wait_until`, and until `give_up_at`
    /// while no allocator answers; returns the number of the charge.
    pub fn charge(
        &mut self,
        customer: &Arc<str>,
        units: f64,
        rank: Rank,
        (wait_until, give_up_at): (Moment, Moment),
        now: Moment,
    ) -> u64 {
        let room = match self.rooms.get(customer) {
            Some((room, at)) if now.saturating_sub(*at) < ROOM_LIFETIME => *room,
            _ => 0.0,
        };
        let is_told = |o: &&Open| o.customer == *customer && o.stage == Stage::Spent;
        let unheard: f64 = self.open.values().filter(is_told).map(|o| o.units).sum();
        let stage = match unheard.max(0.0) + units <= room {
            true => Stage::Spent,
            false => Stage::Waiting,
        };
        self.insert(Open {
            customer: customer.clone(),
            units,
            rank,
            wait_until,
            give_up_at,
            since: now,
            sent_at: None,
            stage,
            ended: false,
        })
    }

    fn insert(&mut self, open: Open) -> u64 {
        self.last_number += 1;
        self.open.insert(self.last_number, open);
        self.last_number
    }

    /// Ends the charge of a request; its units go back if it has provably not run.
    pub fn end(&mut self, number: u64, may_have_run: bool, now: Moment) {
        let Some(mut open) = self.open.remove(&number) else {
            return;
        };
        let is_unheard = open.stage == Stage::Spent;
        match (open.stage, may_have_run) {
            (Stage::Waiting | Stage::Refused { .. }, _) | (Stage::Granted, true) => {}
            (Stage::Spent, false) if open.sent_at.is_none() => {}
            (Stage::Spent | Stage::Granted, _) => {
                if !may_have_run {
                    self.insert(Open {
                        customer: open.customer.clone(),
                        units: -open.units,
                        since: now,
                        sent_at: None,
                        stage: Stage::Spent,
                        ended: true,
                        ..open
                    });
                }
                if is_unheard {
                    open.ended = true;
                    self.open.insert(number, open);
                }
            }
        }
    }

    /// Returns how it stands with the charge of a request that has not been sent.
    pub fn state(&self, number: u64, now: Moment) -> ChargeState {
        let Some(open) = self.open.get(&number) else {
            return ChargeState::Refused(Duration::ZERO);
        };
        match open.stage {
            Stage::Waiting if now >= open.give_up_at => {
                ChargeState::Refused(MAX_UNANSWERED_DELAY.mul_f64(spread(number)))
            }
            Stage::Waiting => ChargeState::Waiting,
            Stage::Refused { return_at } => ChargeState::Refused(return_at.saturating_sub(now)),
            Stage::Spent | Stage::Granted if now.saturating_sub(open.since) < GRANT_LIFETIME => {
                ChargeState::Granted
            }
            Stage::Spent | Stage::Granted => ChargeState::Lapsed,
        }
    }

    /// Returns whether there are no charges.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Tells all charges again: another host is the allocator.
    pub fn tell_again(&mut self) {
        self.rooms.clear();
        for open in self.open.values_mut() {
            open.sent_at = None;
        }
    }

    /// Returns the charges that are to be told now, most urgent first.
    pub fn take_due(&mut self, now: Moment) -> Vec<Charge> {
        self.open.retain(|_, o| !o.is_over(now));
        let due = self.open.iter().filter(|(_, o)| o.is_told());
        let due = due.filter(|(_, o)| o.due_in(now).is_zero());
        let mut due: Vec<_> = due
            .map(|(number, open)| Charge {
                number: *number,
                customer: open.customer.clone(),
                units: open.units,
                rank: open.rank,
                patience: open.wait_until.saturating_sub(now),
                spent: open.stage == Stage::Spent,
            })
            .collect();
        due.sort_by_key(|c| (!c.spent, c.rank, c.patience, c.number));
        due.truncate(MAX_CHARGES);
        for charge in &due {
            if let Some(open) = self.open.get_mut(&charge.number) {
                open.sent_at = Some(now);
            }
        }
        due
    }

    /// Returns the time until a charge is to be told.
    pub fn due_in(&self, now: Moment) -> Option<Duration> {
        let told = self.open.values().filter(|o| o.is_told());
        told.map(|o| o.due_in(now)).min()
    }

    /// Records the allocator's answer to a charge; returns whether its request can go on or is
    /// refused.
    pub fn record(&mut self, number: u64, answer: Answer, now: Moment) -> bool {
        let Some(open) = self.open.get_mut(&number) else {
            return false;
        };
        match open.stage {
            Stage::Spent if open.ended => {
                self.open.remove(&number);
                return false;
            }
            Stage::Spent => {
                open.stage = Stage::Granted;
                return false;
            }
            Stage::Granted | Stage::Refused { .. } => return false,
            Stage::Waiting => {}
        }
        let is_recent = |at: Moment| now.saturating_sub(at) <= MAX_ANSWER_AGE;
        if !open.sent_at.is_some_and(is_recent) {
            return false;
        }
        open.since = now;
        open.stage = match answer {
            Answer::Granted => Stage::Granted,
            Answer::Refused(delay) => Stage::Refused {
                return_at: now.saturating_add(delay),
            },
        };
        true
    }

    /// Sets the units of a customer that this host may spend before the allocator has heard of
    /// them.
    pub fn set_room(&mut self, customer: &str, units: f64, now: Moment) {
        self.rooms.insert(customer.into(), (units, now));
    }
}
