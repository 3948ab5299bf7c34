//! Model of two candidates for the leadership, the store, and faults between them.
//! Orders of a new leader must come at least one lease after those of its
//! predecessor.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::leadership::{
    Candidate, ElectionStep, LeaderRecord, LeaderStatus, Leadership, ObservedRow, PeerReach,
    RENEW_PERIOD, StoreEra,
};
use test_case::test_case;

use crate::check::{Model, assert_caught, assert_holds, assert_reaches};

const LEASE: Duration = Duration::from_secs(3);
/// Time step; daemons poll the row in each step and renew it in every second step.
const TICK: Duration = Duration::from_millis(500);
/// Number of ticks explored.
const TICKS: u32 = 26;
/// Maximum number of writes that the store loses when it goes back.
const MAX_LOST_WRITES: usize = 3;
/// Ticks for which a frozen daemon does nothing.
const FROZEN_TICKS: u32 = 8;

/// Ticks after the end of a fault after which a daemon counts as connected again.
const RECONNECT_TICKS: u32 = 6;

/// A deliberate error in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProtocolError {
    None,
    /// A successor sends orders at once.
    Early,
    /// A successor reuses the fencing number of its predecessor.
    SameFence,
    /// A leader never checks whether it may still send orders.
    NeverStops,
    /// A successor does not wait until the row is unchanged for long enough.
    NoWait,
    /// The era of the store is not looked at.
    NoEra,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Row {
    version: u64,
    /// Leader, fencing number, renewal and time to wait, ms.
    record: Option<(usize, u64, u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLeadership {
    fence: u64,
    version: u64,
    renewal: u64,
    orders_from: Moment,
    renewed_at: Moment,
    renewal_sent: Option<Moment>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// Its leadership, if it is the leader.
    leadership: Option<HeldLeadership>,
    /// The row as last read, and since when it is unchanged.
    seen: Option<(Row, Moment)>,
    /// Era of the store as last seen, and since when.
    era: (u64, Option<Moment>),
    /// Whether it cannot reach the store.
    cut: bool,
    /// Tick of its last fault.
    fault_tick: u32,
    /// Ticks for which it remains frozen.
    frozen: u32,
    /// Time and fencing number of its last order.
    last_order: Option<(Moment, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u32,
    row: Row,
    /// Earlier contents of the row, to which the store may go back.
    past: Vec<Row>,
    /// Era of the store.
    era: u64,
    daemons: [Daemon; 2],
    /// Whether the daemons cannot reach each other.
    partitioned: bool,
    /// Whether the answer of the next successful write gets lost.
    lossy: bool,
    /// Tick of the store's last fault.
    store_fault: u32,
    faults: u32,
    violation: Option<&'static str>,
}

struct LeadershipModel {
    fences: bool,
    faults: u32,
    error: ProtocolError,
}

fn host(daemon: usize) -> Arc<str> {
    ["edge-1", "edge-2"][daemon].into()
}

impl LeadershipModel {
    fn now(state: &State) -> Moment {
        Duration::from_secs(100) + TICK * state.tick
    }

    fn record(&self, leader: usize, fence: u64, renewal: u64, wait: u64) -> LeaderRecord {
        LeaderRecord {
            host: host(leader),
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

    fn set_leadership(state: &mut State, daemon: usize, leadership: &Leadership) {
        state.daemons[daemon].leadership = Some(HeldLeadership {
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
        let heard = !state.partitioned && other.frozen == 0;
        PeerReach {
            heard,
            served: heard && !other.cut,
        }
    }

    /// Returns the era as a daemon knows it; it sees a new one when it reaches the store.
    fn store_era(&self, state: &mut State, daemon: usize) -> StoreEra {
        let now = LeadershipModel::now(state);
        let known = &mut state.daemons[daemon];
        if !known.cut && self.error != ProtocolError::NoEra && known.era.0 < state.era {
            known.era = (state.era, Some(now));
        }
        StoreEra {
            number: known.era.0,
            since: known.era.1,
        }
    }

    /// Writes the row, and keeps what it was.
    fn write_row(state: &mut State, record: (usize, u64, u64, u64)) {
        let before = state.row.clone();
        if state.past.len() == MAX_LOST_WRITES {
            state.past.remove(0);
        }
        state.past.push(before);
        state.row.version += 1;
        state.row.record = Some(record);
    }

    /// Runs one step of a daemon.
    fn step(&self, state: &mut State, daemon: usize) {
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
            None => self.poll_row(state, daemon),
        }
        self.end_superseded(state, daemon);
        self.send_order(state, daemon);
    }

    fn renew(&self, state: &mut State, daemon: usize, leadership: &Leadership) {
        let now = LeadershipModel::now(state);
        let era = self.store_era(state, daemon);
        if leadership.is_earlier(&era) {
            self.retake(state, daemon, leadership, &era);
            return;
        }
        let mut leadership = leadership.clone();
        let record = leadership.begin_renewal(now);
        LeadershipModel::set_leadership(state, daemon, &leadership);
        if state.daemons[daemon].cut {
            let peers = LeadershipModel::peers(state, daemon);
            if leadership.is_offering(peers, now) && !self.fences {
                state.daemons[daemon].leadership = None;
            }
            return;
        }
        let current = state.row.record;
        let found =
            current.is_some_and(|(h, f, r, w)| self.record(h, f, r, w).is_same_write(&record));
        if found {
            leadership.confirm_renewal(record, state.row.version);
            LeadershipModel::set_leadership(state, daemon, &leadership);
            return;
        }
        if state.row.version != leadership.version {
            state.daemons[daemon].leadership = None;
            return;
        }
        let written = (daemon, record.fence, record.renewal, record.wait_ms);
        LeadershipModel::write_row(state, written);
        if std::mem::take(&mut state.lossy) {
            return;
        }
        leadership.record_renewal(record, state.row.version, now);
        LeadershipModel::set_leadership(state, daemon, &leadership);
    }

    /// Writes the row of a leader again in a new era of the store.
    fn retake(&self, state: &mut State, daemon: usize, leadership: &Leadership, era: &StoreEra) {
        if state.daemons[daemon].cut {
            return;
        }
        let now = LeadershipModel::now(state);
        let row = state.row.record;
        let row = row.map(|(leader, f, r, w)| self.record(leader, f, r, w));
        let Some(record) = leadership.retake(row.as_ref(), era, now) else {
            state.daemons[daemon].leadership = None;
            return;
        };
        LeadershipModel::write_row(state, (daemon, record.fence, 0, record.wait_ms));
        if std::mem::take(&mut state.lossy) {
            return;
        }
        state.daemons[daemon].leadership = Some(HeldLeadership {
            fence: record.fence,
            version: state.row.version,
            renewal: 0,
            orders_from: leadership.orders_from,
            renewed_at: now,
            renewal_sent: None,
        });
    }

    fn poll_row(&self, state: &mut State, daemon: usize) {
        let now = LeadershipModel::now(state);
        let other = self.leadership(state, 1 - daemon);
        let heard = LeadershipModel::peers(state, daemon).heard;
        let offered =
            |t: &Leadership| t.is_offering(LeadershipModel::peers(state, 1 - daemon), now);
        let status = match &other {
            Some(leadership) if heard && offered(leadership) => LeaderStatus::Offering(
                now.saturating_sub(leadership.since_last_order(self.fences, now)),
            ),
            Some(_) if heard => LeaderStatus::Active,
            _ => LeaderStatus::Silent,
        };
        if status == LeaderStatus::Active || state.daemons[daemon].cut {
            state.daemons[daemon].seen = None;
            return;
        }
        let era = self.store_era(state, daemon);
        let since = match &state.daemons[daemon].seen {
            Some((row, since)) if *row == state.row => *since,
            _ => now,
        };
        state.daemons[daemon].seen = Some((state.row.clone(), since));
        let record = state.row.record;
        let seen = ObservedRow {
            version: state.row.version,
            record: record
                .map(|(leader, fence, renewal, wait)| self.record(leader, fence, renewal, wait)),
            unchanged_since: match self.error {
                ProtocolError::NoWait => Moment::ZERO,
                _ => since,
            },
        };
        let candidate = Candidate {
            host: host(daemon),
            incarnation: 1,
            rank: 0,
            lease: LEASE,
            fences: self.fences,
            era,
        };
        let ElectionStep::Acquire {
            record,
            orders_from,
            ..
        } = candidate.next_step(&seen, status, now)
        else {
            return;
        };
        let fence = match self.error {
            ProtocolError::SameFence => record.fence - 1,
            _ => record.fence,
        };
        LeadershipModel::write_row(state, (daemon, fence, 0, record.wait_ms));
        if std::mem::take(&mut state.lossy) {
            return;
        }
        let orders_from = match self.error {
            ProtocolError::Early => now,
            _ => orders_from,
        };
        state.daemons[daemon].leadership = Some(HeldLeadership {
            fence,
            version: state.row.version,
            renewal: 0,
            orders_from,
            renewed_at: now,
            renewal_sent: None,
        });
    }

    /// Ends the leadership of a daemon that hears its successor.
    fn end_superseded(&self, state: &mut State, daemon: usize) {
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

    /// Sends an order when that is allowed, and checks it against the invariants.
    fn send_order(&self, state: &mut State, daemon: usize) {
        let now = LeadershipModel::now(state);
        let Some(leadership) = self.leadership(state, daemon) else {
            return;
        };
        let peers = LeadershipModel::peers(state, daemon);
        let may = leadership.may_order(peers, self.fences, now);
        if !may && self.error != ProtocolError::NeverStops {
            return;
        }
        let fence = leadership.record.fence;
        if let Some((at, other)) = state.daemons[1 - daemon].last_order {
            if other == fence {
                state.violation = Some("fence");
            }
            // With fences, engines refuse the older fencing number.
            let refused = self.fences && fence < other;
            if refused {
                state.daemons[daemon].leadership = None;
                return;
            }
            if now.saturating_sub(at) < LEASE {
                state.violation = Some("lease");
            }
        }
        // With fences, only orders of a leader connected to the store count.
        let is_over = |since: u32| since == 0 || state.tick >= since + RECONNECT_TICKS;
        let sender = &state.daemons[daemon];
        let connected =
            !sender.cut && is_over(sender.fault_tick) && is_over(state.store_fault) && !state.lossy;
        if !self.fences || connected {
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
            past: Vec::new(),
            era: 0,
            daemons: Default::default(),
            partitioned: false,
            lossy: false,
            store_fault: 0,
            faults: self.faults,
            violation: None,
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
            fault("partition".to_owned(), &|s| s.partitioned = !s.partitioned);
            fault("lose answer".to_owned(), &|s| {
                s.lossy = true;
                s.store_fault = s.tick;
            });
            for lost in 1..=state.past.len() {
                fault(format!("go back by {lost} writes"), &|s| {
                    let at = s.past.len() - lost;
                    s.row = s.past[at].clone();
                    s.past.truncate(at);
                    s.era += 1;
                    s.store_fault = s.tick;
                });
            }
            for daemon in 0..2 {
                fault(format!("cut {daemon}"), &|s| {
                    s.daemons[daemon].cut = !s.daemons[daemon].cut;
                    s.daemons[daemon].fault_tick = s.tick;
                });
                fault(format!("freeze {daemon}"), &|s| {
                    s.daemons[daemon].frozen = FROZEN_TICKS;
                    s.daemons[daemon].fault_tick = s.tick + FROZEN_TICKS;
                });
                fault(format!("kill {daemon}"), &|s| {
                    s.daemons[daemon].leadership = None;
                    s.daemons[daemon].seen = None;
                    s.daemons[daemon].fault_tick = s.tick;
                });
            }
        }
        for (_, next) in &mut steps {
            for daemon in 0..2 {
                self.step(next, daemon);
            }
            next.tick += 1;
        }
        steps
    }

    fn broken_invariant(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}

fn model(fences: bool, error: ProtocolError) -> LeadershipModel {
    LeadershipModel {
        fences,
        faults: 2,
        error,
    }
}

#[test_case(true; "engines that refuse old fencing numbers")]
#[test_case(false; "engines that ignore them")]
fn orders_of_two_leaders_are_a_lease_apart(fences: bool) {
    assert!(TICK * 2 == RENEW_PERIOD);
    assert_holds("leadership", &model(fences, ProtocolError::None));
}

#[test_case(ProtocolError::Early, "lease")]
#[test_case(ProtocolError::SameFence, "fence")]
#[test_case(ProtocolError::NeverStops, "lease")]
#[test_case(ProtocolError::NoWait, "lease")]
#[test_case(ProtocolError::NoEra, "fence")]
fn each_protocol_error_is_detected(error: ProtocolError, expected: &str) {
    assert_caught("leadership", &model(false, error), expected);
}

#[test]
fn a_successor_sends_orders_after_a_cut() {
    assert_reaches(
        "a successor's order",
        &model(true, ProtocolError::None),
        |s| {
            s.daemons[0].last_order.is_some_and(|(_, fence)| fence > 1)
                || s.daemons[1].last_order.is_some_and(|(_, fence)| fence > 1)
        },
    );
}
