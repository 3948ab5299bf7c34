//! Two daemons that may give orders, a store and the faults between them: who
//! gives orders keeps a lease from whoever gave them before.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::leadership::{
    Candidate, ElectionStep, LeaderRecord, LeaderStatus, Leadership, ObservedRow, PeerReach,
    RENEW_PERIOD,
};
use test_case::test_case;

use crate::check::{Model, caught, holds, reaches};

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
    orders_from: Moment,
    renewed_at: Moment,
    renewal_sent: Option<Moment>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// The tenure.
    leadership: Option<Held>,
    /// Version of the row as last read, and since when it stands.
    seen: Option<(u64, Moment)>,
    /// No path to the store.
    cut: bool,
    /// Tick of its last trouble.
    healed: u32,
    /// Ticks for which it still stands still.
    frozen: u32,
    /// Its last order, and the fencing number of it.
    last_order: Option<(Moment, u64)>,
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

struct LeadershipModel {
    fences: bool,
    faults: u32,
    fault: Fault,
}

fn host(daemon: usize) -> Arc<str> {
    ["edge-1", "edge-2"][daemon].into()
}

impl LeadershipModel {
    fn now(state: &State) -> Moment {
        Duration::from_secs(100) + TICK * state.tick
    }

    fn record(&self, holder: usize, fence: u64, renewal: u64, wait: u64) -> LeaderRecord {
        LeaderRecord {
            host: host(holder),
            incarnation: 1,
            fence,
            renewal,
            wait_ms: wait,
            released_ms: None,
        }
    }

    fn leadership(&self, state: &State, daemon: usize) -> Option<Leadership> {
        let held = state.daemons[daemon].leadership.clone()?;
        Some(Leadership {
            record: self.record(daemon, held.fence, held.renewal, 0),
            version: held.version,
            orders_from: held.orders_from,
            renewed_at: held.renewed_at,
            last_order: state.daemons[daemon].last_order.map(|(at, _)| at),
            renewal_sent: held.renewal_sent,
        })
    }

    fn keep(state: &mut State, daemon: usize, leadership: &Leadership) {
        state.daemons[daemon].leadership = Some(Held {
            fence: leadership.record.fence,
            version: leadership.version,
            renewal: leadership.record.renewal,
            orders_from: leadership.orders_from,
            renewed_at: leadership.renewed_at,
            renewal_sent: leadership.renewal_sent,
        });
    }

    fn peers(state: &State, daemon: usize) -> PeerReach {
        let other = &state.daemons[1 - daemon];
        let heard = !state.parted && other.frozen == 0;
        PeerReach {
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
        match self.leadership(state, daemon) {
            Some(leadership) => {
                if state.tick.is_multiple_of(2) {
                    self.renew(state, daemon, &leadership);
                }
            }
            None => self.look(state, daemon),
        }
        self.hear(state, daemon);
        self.order(state, daemon);
    }

    fn renew(&self, state: &mut State, daemon: usize, leadership: &Leadership) {
        let now = LeadershipModel::now(state);
        let mut leadership = leadership.clone();
        let record = leadership.begin_renewal(now);
        LeadershipModel::keep(state, daemon, &leadership);
        if state.daemons[daemon].cut {
            let peers = LeadershipModel::peers(state, daemon);
            if leadership.is_offering(peers, now) && !self.fences {
                state.daemons[daemon].leadership = None;
            }
            return;
        }
        let standing = state.row.record;
        let found = standing.is_some_and(|(h, f, r, w)| self.record(h, f, r, w).same(&record));
        if found {
            leadership.confirm_renewal(record, state.row.version);
            LeadershipModel::keep(state, daemon, &leadership);
            return;
        }
        if state.row.version != leadership.version {
            state.daemons[daemon].leadership = None;
            return;
        }
        state.row.version += 1;
        state.row.record = Some((daemon, record.fence, record.renewal, record.wait_ms));
        if std::mem::take(&mut state.lossy) {
            return;
        }
        leadership.record_renewal(record, state.row.version, now);
        LeadershipModel::keep(state, daemon, &leadership);
    }

    fn look(&self, state: &mut State, daemon: usize) {
        let now = LeadershipModel::now(state);
        let other = self.leadership(state, 1 - daemon);
        let heard = LeadershipModel::peers(state, daemon).heard;
        let offered =
            |t: &Leadership| t.is_offering(LeadershipModel::peers(state, 1 - daemon), now);
        let word = match &other {
            Some(leadership) if heard && offered(leadership) => LeaderStatus::Offering(
                now.saturating_sub(leadership.since_last_order(self.fences, now)),
            ),
            Some(_) if heard => LeaderStatus::Active,
            _ => LeaderStatus::Silent,
        };
        if word == LeaderStatus::Active || state.daemons[daemon].cut {
            state.daemons[daemon].seen = None;
            return;
        }
        let since = match state.daemons[daemon].seen {
            Some((version, since)) if version == state.row.version => since,
            _ => now,
        };
        state.daemons[daemon].seen = Some((state.row.version, since));
        let record = state.row.record;
        let seen = ObservedRow {
            version: state.row.version,
            record: record
                .map(|(holder, fence, renewal, wait)| self.record(holder, fence, renewal, wait)),
            unchanged_since: match self.fault {
                Fault::Hasty => Moment::ZERO,
                _ => since,
            },
        };
        let candidate = Candidate {
            host: host(daemon),
            incarnation: 1,
            rank: 0,
            lease: LEASE,
            fences: self.fences,
        };
        let ElectionStep::Acquire {
            record,
            orders_from,
            ..
        } = candidate.step(&seen, word, now)
        else {
            return;
        };
        let fence = match self.fault {
            Fault::SameFence => record.fence - 1,
            _ => record.fence,
        };
        state.row.version += 1;
        state.row.record = Some((daemon, fence, 0, record.wait_ms));
        if std::mem::take(&mut state.lossy) {
            return;
        }
        let orders_from = match self.fault {
            Fault::Early => now,
            _ => orders_from,
        };
        state.daemons[daemon].leadership = Some(Held {
            fence,
            version: state.row.version,
            renewal: 0,
            orders_from,
            renewed_at: now,
            renewal_sent: None,
        });
    }

    /// A holder hears of its successor.
    fn hear(&self, state: &mut State, daemon: usize) {
        let now = LeadershipModel::now(state);
        let Some(leadership) = self.leadership(state, daemon) else {
            return;
        };
        let Some(other) = self.leadership(state, 1 - daemon) else {
            return;
        };
        let wait = other.orders_from.saturating_sub(now);
        let heard = LeadershipModel::peers(state, daemon).heard;
        if heard && leadership.superseded_by(other.record.fence, wait, self.fences) {
            state.daemons[daemon].leadership = None;
        }
    }

    /// Gives an order when that is allowed, and judges it.
    fn order(&self, state: &mut State, daemon: usize) {
        let now = LeadershipModel::now(state);
        let Some(leadership) = self.leadership(state, daemon) else {
            return;
        };
        let peers = LeadershipModel::peers(state, daemon);
        let may = leadership.may_order(peers, self.fences, now);
        if !may && self.fault != Fault::NeverStops {
            return;
        }
        let fence = leadership.record.fence;
        if let Some((at, other)) = state.daemons[1 - daemon].last_order {
            if other == fence {
                state.broken = Some("fence");
            }
            // Engines refuse the older number of the two.
            let refused = self.fences && fence < other;
            if refused {
                state.daemons[daemon].leadership = None;
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
            state.daemons[daemon].last_order = Some((now, fence));
        }
    }
}

impl Model for LeadershipModel {
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
                    s.daemons[daemon].leadership = None;
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

    fn broken(&self, state: &State) -> Option<&'static str> {
        state.broken
    }
}

fn model(fences: bool, fault: Fault) -> LeadershipModel {
    LeadershipModel {
        fences,
        faults: 2,
        fault,
    }
}

#[test_case(true; "engines that refuse old numbers")]
#[test_case(false; "engines that ignore them")]
fn holders_keep_a_lease_from_each_other(fences: bool) {
    assert!(TICK * 2 == RENEW_PERIOD);
    holds("tenure", &model(fences, Fault::None));
}

#[test_case(Fault::Early, "lease")]
#[test_case(Fault::SameFence, "fence")]
#[test_case(Fault::NeverStops, "lease")]
#[test_case(Fault::Hasty, "lease")]
fn a_broken_variant_is_caught(fault: Fault, expected: &str) {
    caught("tenure", &model(false, fault), expected);
}

#[test]
fn orders_pass_on_after_a_cut() {
    reaches("a successor's order", &model(true, Fault::None), |s| {
        s.daemons[0].last_order.is_some_and(|(_, fence)| fence > 1)
            || s.daemons[1].last_order.is_some_and(|(_, fence)| fence > 1)
    });
}
