//! The permits for which requests of this host have applied.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::{Application, Rank, Verdict, most_urgent, spread};
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::state::Edge;

/// Time after its verdict for which a permit can be spent.
const PERMIT_LIFETIME: Duration = Duration::from_millis(400);
/// Maximum time from an application to a verdict that counts; one that arrives in a suspension of
/// the process is read much later.
const MAX_VERDICT_AGE: Duration = Duration::from_millis(400);
/// Maximum delay of a caller whose application was not answered.
const MAX_UNANSWERED_DELAY: Duration = Duration::from_secs(4);
/// Period at which an application without a verdict is repeated, as datagrams may be lost.
pub const REPEAT_PERIOD: Duration = Duration::from_millis(80);
/// Maximum number of applications that a host sends at a time.
const MAX_APPLICATIONS: usize = 16;

/// Bits for the numbers of one process.
const NUMBER_BITS: u32 = 12;

/// How it stands with an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// No verdict has come yet.
    Waiting,
    /// A request may be sent to this engine.
    Granted(Arc<str>),
    /// There is no permit in time; the caller may return after this time.
    Refused(Duration),
}

#[derive(Clone, Debug)]
enum Stage {
    Waiting,
    Granted {
        engine: Arc<str>,
        until: Moment,
    },
    /// The request is sent.
    Spent(Arc<str>),
    Refused {
        return_at: Moment,
    },
}

#[derive(Debug)]
struct Pending {
    engines: Vec<Arc<str>>,
    rank: Rank,
    /// When the request gives up.
    give_up_at: Moment,
    /// When the application was sent last.
    sent_at: Option<Moment>,
    stage: Stage,
}

impl Pending {
    /// Takes back a permit that was not spent in time.
    fn expire(&mut self, now: Moment) {
        if matches!(&self.stage, Stage::Granted { until, .. } if *until <= now) {
            self.stage = Stage::Waiting;
        }
    }
}

/// Applications of this host by number.
#[derive(Debug)]
pub struct Permits {
    pending: BTreeMap<u64, Pending>,
    /// Number of the last application.
    last_number: u64,
}

impl Default for Permits {
    fn default() -> Self {
        // Verdicts for the process before do not fit the numbers of this one.
        let start = u64::from(rand::random::<u32>()) << NUMBER_BITS;
        Permits {
            pending: BTreeMap::new(),
            last_number: start,
        }
    }
}

impl Permits {
    /// Applies for a permit to one of `engines`, for which the request waits until
    /// `give_up_at`; returns the number of the application.
    pub fn apply(&mut self, engines: Vec<Arc<str>>, rank: Rank, give_up_at: Moment) -> u64 {
        self.last_number += 1;
        let pending = Pending {
            engines,
            rank,
            give_up_at,
            sent_at: None,
            stage: Stage::Waiting,
        };
        self.pending.insert(self.last_number, pending);
        self.last_number
    }

    /// Ends an application. A permit that was not spent goes to the most urgent of those that
    /// wait for the same engine; returns whether there was one.
    pub fn withdraw(&mut self, number: u64, now: Moment) -> bool {
        let Some(ended) = self.pending.remove(&number) else {
            return false;
        };
        let Stage::Granted { engine, until } = ended.stage else {
            return false;
        };
        let waits =
            |p: &&mut Pending| matches!(p.stage, Stage::Waiting) && p.engines.contains(&engine);
        let heirs = self.pending.values_mut().filter(waits);
        let Some(heir) = heirs.min_by_key(|p| (p.rank, p.give_up_at)) else {
            return false;
        };
        let is_valid = until > now;
        if is_valid {
            heir.stage = Stage::Granted { engine, until };
        }
        is_valid
    }

    /// Returns how it stands with an application.
    pub fn state(&mut self, number: u64, now: Moment) -> PermitState {
        let Some(pending) = self.pending.get_mut(&number) else {
            return PermitState::Refused(Duration::ZERO);
        };
        pending.expire(now);
        match &pending.stage {
            Stage::Waiting if now >= pending.give_up_at => {
                PermitState::Refused(MAX_UNANSWERED_DELAY.mul_f64(spread(number)))
            }
            Stage::Waiting => PermitState::Waiting,
            Stage::Granted { engine, .. } | Stage::Spent(engine) => {
                PermitState::Granted(engine.clone())
            }
            Stage::Refused { return_at } => PermitState::Refused(return_at.saturating_sub(now)),
        }
    }

    /// Spends the permit to send a request to `engine`; returns whether there is one. The same
    /// request may be sent again as long as no byte of it was.
    pub fn spend(&mut self, number: u64, engine: &str, now: Moment) -> bool {
        let Some(pending) = self.pending.get_mut(&number) else {
            return false;
        };
        pending.expire(now);
        let granted = match &pending.stage {
            Stage::Granted { engine, .. } | Stage::Spent(engine) => engine.clone(),
            Stage::Waiting | Stage::Refused { .. } => return false,
        };
        if &*granted != engine {
            return false;
        }
        pending.stage = Stage::Spent(granted);
        true
    }

    /// Returns whether applications wait for a verdict.
    pub fn is_waiting(&self) -> bool {
        self.pending
            .values()
            .any(|p| matches!(p.stage, Stage::Waiting))
    }

    /// Returns all applications without a verdict, if one of them is to be sent now.
    pub fn take_due(&mut self, now: Moment) -> Vec<Application> {
        let (mut due, mut is_due) = (Vec::new(), false);
        for (number, pending) in &mut self.pending {
            pending.expire(now);
            if !matches!(pending.stage, Stage::Waiting) {
                continue;
            }
            let is_recent = |at: Moment| now.saturating_sub(at) < REPEAT_PERIOD;
            is_due |= !pending.sent_at.is_some_and(is_recent);
            due.push(Application {
                number: *number,
                engines: pending.engines.clone(),
                rank: pending.rank,
                patience: pending.give_up_at.saturating_sub(now),
            });
        }
        if !is_due {
            return Vec::new();
        }
        let due = most_urgent(due, MAX_APPLICATIONS);
        for application in &due {
            if let Some(pending) = self.pending.get_mut(&application.number) {
                pending.sent_at = Some(now);
            }
        }
        due
    }

    /// Records a verdict; returns whether it counts.
    pub fn record(&mut self, number: u64, verdict: Verdict, now: Moment) -> bool {
        let Some(pending) = self.pending.get_mut(&number) else {
            return false;
        };
        let is_recent = |at: Moment| now.saturating_sub(at) <= MAX_VERDICT_AGE;
        let waits = matches!(pending.stage, Stage::Waiting);
        if !waits || !pending.sent_at.is_some_and(is_recent) {
            return false;
        }
        pending.stage = match verdict {
            Verdict::Granted(engine) => Stage::Granted {
                engine,
                until: now + PERMIT_LIFETIME,
            },
            Verdict::Refused(delay) => Stage::Refused {
                return_at: now.saturating_add(delay),
            },
        };
        true
    }
}

/// An application of a request; dropping it withdraws the application.
#[derive(Debug)]
pub struct PermitGuard {
    edge: Rc<Edge>,
    number: u64,
}

impl PermitGuard {
    /// Applies for a permit to one of `engines`, for which the request waits until
    /// `give_up_at`.
    pub fn apply(edge: &Rc<Edge>, engines: Vec<Arc<str>>, rank: Rank, give_up_at: Moment) -> Self {
        let mut state = edge.state.borrow_mut();
        let number = state.permits.apply(engines, rank, give_up_at);
        drop(state);
        edge.send_wake.notify_one();
        PermitGuard {
            edge: edge.clone(),
            number,
        }
    }

    /// Returns how it stands with the application.
    pub fn state(&self, now: Moment) -> PermitState {
        self.edge.state.borrow_mut().permits.state(self.number, now)
    }

    /// Spends the permit to send a request to `engine`; returns whether there is one.
    pub fn spend(&self, engine: &str) -> bool {
        let mut state = self.edge.state.borrow_mut();
        state.permits.spend(self.number, engine, clock::now())
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let mut state = self.edge.state.borrow_mut();
        let is_passed_on = state.permits.withdraw(self.number, clock::now());
        drop(state);
        if is_passed_on {
            self.edge.notify_waiting();
        }
    }
}
