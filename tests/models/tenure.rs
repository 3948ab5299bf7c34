//! Two daemons that may give orders, a store and the faults between them: who
//! gives orders keeps a lease from whoever gave them before.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::tenure::{Candidate, Peers, RENEW, Record, Seen, Step, Tenure, Word};
use test_case::test_case;

use crate::check::{Model, assert_caught, assert_holds, assert_reaches};

const LEASE: Duration = Duration::from_secs(3);
/// Step of time; daemons look at the row in each, and renew it in every second.
const TICK: Duration = Duration::from_millis(500);
/// Ticks that are explored.
const TICKS: u32 = 26;
/// Ticks for which a daemon stands still.
const FROZEN: u32 = 8;

/// Ticks after which a daemon is in touch again when its trouble is over.
const TOUCH: u32 = 6;

/// A deliberate fault of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A successor gives orders at once.
    Early,
    /// A successor takes the fencing number of the tenure before.
    SameFence,
    /// A holder never asks whether it still may.
    NeverStops,
    /// A successor does not wait for the row to stand still.
    Hasty,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Row {
    version: u64,
    /// Holder, fencing number, renewal and time to wait.
    record: Option<(usize, u64, u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    fence: u64,
    version: u64,
    renewal: u64,
    from: Moment,
    renewed: Moment,
    sent: Option<Moment>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// The tenure.
    tenure: Option<Held>,
    /// Version of the row as last read, and since when it stands.
    seen: Option<(u64, Moment)>,
    /// No path to the store.
    cut: bool,
    /// Tick of its last trouble.
    healed: u32,
    /// Ticks for which it still stands still.
    frozen: u32,
    /// Its last order, and the fencing number of it.
    ordered: Option<(Moment, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u32,
    row: Row,
    daemons: [Daemon; 2],
    /// No path between the daemons.
    parted: bool,
    /// The next write is done and its answer lost.
    lossy: bool,
    /// Tick of the store's last trouble.
    shaken: u32,
    faults: u32,
    broken: Option<&'static str>,
}

struct Tenures {
    fences: bool,
    faults: u32,
    fault: Fault,
}

fn host(daemon: usize) -> Arc<str> {
    ["edge-1", "edge-2"][daemon].into()
}

impl Tenures {
    fn now(state: &State) -> Moment {
        Duration::from_secs(100) + TICK * state.tick
    }

    fn record(&self, holder: usize, fence: u64, renewal: u64, wait: u64) -> Record {
        Record {
            host: host(holder),
            life: 1,
            fence,
            renewal,
            wait,
            released: None,
        }
    }

    fn tenure(&self, state: &State, daemon: usize) -> Option<Tenure> {
        let held = state.daemons[daemon].tenure.clone()?;
        Some(Tenure {
            record: self.record(daemon, held.fence, held.renewal, 0),
            version: held.version,
            from: held.from,
            renewed: held.renewed,
            ordered: state.daemons[daemon].ordered.map(|(at, _)| at),
            sent: held.sent,
        })
    }

    fn keep(state: &mut State, daemon: usize, tenure: &Tenure) {
        state.daemons[daemon].tenure = Some(Held {
            fence: tenure.record.fence,
            version: tenure.version,
            renewal: tenure.record.renewal,
            from: tenure.from,
            renewed: tenure.renewed,
            sent: tenure.sent,
        });
    }

    fn peers(state: &State, daemon: usize) -> Peers {
        let other = &state.daemons[1 - daemon];
        let heard = !state.parted && other.frozen == 0;
        Peers {
            heard,
            served: heard && !other.cut,
        }
    }

    /// One daemon's turn.
    fn act(&self, state: &mut State, daemon: usize) {
        if state.daemons[daemon].frozen > 0 {
            state.daemons[daemon].frozen -= 1;
            return;
        }
        match self.tenure(state, daemon) {
            Some(tenure) => {
                if state.tick.is_multiple_of(2) {
                    self.renew(state, daemon, &tenure);
                }
            }
            None => self.look(state, daemon),
        }
        self.hear(state, daemon);
        self.order(state, daemon);
    }

    fn renew(&self, state: &mut State, daemon: usize, tenure: &Tenure) {
        let now = Tenures::now(state);
        let mut tenure = tenure.clone();
        let record = tenure.renew(now);
        Tenures::keep(state, daemon, &tenure);
        if state.daemons[daemon].cut {
            let peers = Tenures::peers(state, daemon);
            if tenure.offers(peers, now) && !self.fences {
                state.daemons[daemon].tenure = None;
            }
            return;
        }
        let standing = state.row.record;
        let found = standing.is_some_and(|(h, f, r, w)| self.record(h, f, r, w).same(&record));
        if found {
            tenure.found(record, state.row.version);
            Tenures::keep(state, daemon, &tenure);
            return;
        }
        if state.row.version != tenure.version {
            state.daemons[daemon].tenure = None;
            return;
        }
        state.row.version += 1;
        state.row.record = Some((daemon, record.fence, record.renewal, record.wait));
        if std::mem::take(&mut state.lossy) {
            return;
        }
        tenure.renewed(record, state.row.version, now);
        Tenures::keep(state, daemon, &tenure);
    }

    fn look(&self, state: &mut State, daemon: usize) {
        let now = Tenures::now(state);
        let other = self.tenure(state, 1 - daemon);
        let heard = Tenures::peers(state, daemon).heard;
        let offered = |t: &Tenure| t.offers(Tenures::peers(state, 1 - daemon), now);
        let word = match &other {
            Some(tenure) if heard && offered(tenure) => {
                Word::Offers(now.saturating_sub(tenure.idle(self.fences, now)))
            }
            Some(_) if heard => Word::Holds,
            _ => Word::Silent,
        };
        if word == Word::Holds || state.daemons[daemon].cut {
            state.daemons[daemon].seen = None;
            return;
        }
        let since = match state.daemons[daemon].seen {
            Some((version, since)) if version == state.row.version => since,
            _ => now,
        };
        state.daemons[daemon].seen = Some((state.row.version, since));
        let record = state.row.record;
        let seen = Seen {
            version: state.row.version,
            record: record
                .map(|(holder, fence, renewal, wait)| self.record(holder, fence, renewal, wait)),
            since: match self.fault {
                Fault::Hasty => Moment::ZERO,
                _ => since,
            },
        };
        let candidate = Candidate {
            host: host(daemon),
            life: 1,
            rank: 0,
            lease: LEASE,
            fences: self.fences,
        };
        let Step::Take { record, from, .. } = candidate.step(&seen, word, now) else {
            return;
        };
        let fence = match self.fault {
            Fault::SameFence => record.fence - 1,
            _ => record.fence,
        };
        state.row.version += 1;
        state.row.record = Some((daemon, fence, 0, record.wait));
        if std::mem::take(&mut state.lossy) {
            return;
        }
        let from = match self.fault {
            Fault::Early => now,
            _ => from,
        };
        state.daemons[daemon].tenure = Some(Held {
            fence,
            version: state.row.version,
            renewal: 0,
            from,
            renewed: now,
            sent: None,
        });
    }

    /// A holder hears of its successor.
    fn hear(&self, state: &mut State, daemon: usize) {
        let now = Tenures::now(state);
        let Some(tenure) = self.tenure(state, daemon) else {
            return;
        };
        let Some(other) = self.tenure(state, 1 - daemon) else {
            return;
        };
        let wait = other.from.saturating_sub(now);
        let heard = Tenures::peers(state, daemon).heard;
        if heard && tenure.ended_by(other.record.fence, wait, self.fences) {
            state.daemons[daemon].tenure = None;
        }
    }

    /// Gives an order when that is allowed, and judges it.
    fn order(&self, state: &mut State, daemon: usize) {
        let now = Tenures::now(state);
        let Some(tenure) = self.tenure(state, daemon) else {
            return;
        };
        let peers = Tenures::peers(state, daemon);
        let may = tenure.may_order(peers, self.fences, now);
        if !may && self.fault != Fault::NeverStops {
            return;
        }
        let fence = tenure.record.fence;
        if let Some((at, other)) = state.daemons[1 - daemon].ordered {
            if other == fence {
                state.broken = Some("fence");
            }
            // Engines refuse the older number of the two.
            let refused = self.fences && fence < other;
            if refused {
                state.daemons[daemon].tenure = None;
                return;
            }
            if now.saturating_sub(at) < LEASE {
                state.broken = Some("lease");
            }
        }
        // Behind fences only the orders of a holder in touch count.
        let calm = |since: u32| since == 0 || state.tick >= since + TOUCH;
        let me = &state.daemons[daemon];
        let touch = !me.cut && calm(me.healed) && calm(state.shaken) && !state.lossy;
        if !self.fences || touch {
            state.daemons[daemon].ordered = Some((now, fence));
        }
    }
}

impl Model for Tenures {
    type State = State;

    fn start(&self) -> State {
        State {
            tick: 0,
            row: Row {
                version: 0,
                record: None,
            },
            daemons: Default::default(),
            parted: false,
            lossy: false,
            shaken: 0,
            faults: self.faults,
            broken: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        if state.tick >= TICKS {
            return Vec::new();
        }
        let mut steps = vec![("quiet".to_owned(), state.clone())];
        if state.faults > 0 {
            let mut fault = |name: String, change: &dyn Fn(&mut State)| {
                let mut next = state.clone();
                next.faults -= 1;
                change(&mut next);
                steps.push((name, next));
            };
            fault("part".to_owned(), &|s| s.parted = !s.parted);
            fault("lose".to_owned(), &|s| {
                s.lossy = true;
                s.shaken = s.tick;
            });
            for daemon in 0..2 {
                fault(format!("cut {daemon}"), &|s| {
                    s.daemons[daemon].cut = !s.daemons[daemon].cut;
                    s.daemons[daemon].healed = s.tick;
                });
                fault(format!("freeze {daemon}"), &|s| {
                    s.daemons[daemon].frozen = FROZEN;
                    s.daemons[daemon].healed = s.tick + FROZEN;
                });
                fault(format!("kill {daemon}"), &|s| {
                    s.daemons[daemon].tenure = None;
                    s.daemons[daemon].seen = None;
                    s.daemons[daemon].healed = s.tick;
                });
            }
        }
        for (_, next) in &mut steps {
            for daemon in 0..2 {
                self.act(next, daemon);
            }
            next.tick += 1;
        }
        steps
    }

    fn broken_invariant(&self, state: &State) -> Option<&'static str> {
        state.broken
    }
}

fn model(fences: bool, fault: Fault) -> Tenures {
    Tenures {
        fences,
        faults: 2,
        fault,
    }
}

#[test_case(true; "engines that refuse old numbers")]
#[test_case(false; "engines that ignore them")]
fn holders_keep_a_lease_from_each_other(fences: bool) {
    assert!(TICK * 2 == RENEW);
    assert_holds("tenure", &model(fences, Fault::None));
}

#[test_case(Fault::Early, "lease")]
#[test_case(Fault::SameFence, "fence")]
#[test_case(Fault::NeverStops, "lease")]
#[test_case(Fault::Hasty, "lease")]
fn a_broken_variant_is_caught(fault: Fault, expected: &str) {
    assert_caught("tenure", &model(false, fault), expected);
}

#[test]
fn orders_pass_on_after_a_cut() {
    assert_reaches("a successor's order", &model(true, Fault::None), |s| {
        s.daemons[0].ordered.is_some_and(|(_, fence)| fence > 1)
            || s.daemons[1].ordered.is_some_and(|(_, fence)| fence > 1)
    });
}
