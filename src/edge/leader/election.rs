//! Acquires, renews and releases the leadership.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::leadership::{
    Candidate, ElectionStep, LeaderRecord, LeaderStatus, Leadership, ObservedRow, RENEW_PERIOD,
    StoreEra,
};
use crate::edge::members::{LeadershipStatus, Members};
use crate::edge::placement::{LeaderId, LoadHistory, Placer};
use crate::edge::state::{DaemonPhase, Edge, State};
use crate::edge::store::{CommitOutcome, Row, RowChange, RowPage, Table, UNNAMED_PART};

/// Key of the row that names the leader.
const LEADER_KEY: &str = "orders";
/// Period at which a candidate checks whether there is a leader.
const POLL_PERIOD: Duration = Duration::from_millis(300);

/// Acquires the leadership when there is no leader, and renews it.
pub async fn run(edge: Rc<Edge>) {
    let mut observed: Option<ObservedRow> = None;
    loop {
        let is_leader = edge.state.borrow().leadership.is_some();
        let pause = match is_leader {
            true => {
                observed = None;
                match renew_row(&edge).await {
                    true => RENEW_PERIOD,
                    false => POLL_PERIOD,
                }
            }
            false => {
                poll_row(&edge, &mut observed).await;
                POLL_PERIOD
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Checks the leader's row once, and acquires the leadership when that is allowed.
async fn poll_row(edge: &Rc<Edge>, observed: &mut Option<ObservedRow>) {
    let now = clock::now();
    let has_leader = {
        let state = edge.state.borrow();
        let leader = state.members.leader(now);
        let status = leader.and_then(|(_, m)| m.leadership.as_ref());
        status.is_some_and(|s| !s.offered)
    };
    if has_leader || edge.phase.get() != DaemonPhase::Serving {
        *observed = None;
        return;
    }
    let page = match edge.store.read_table(Table::Leadership).await {
        Ok(page) => page,
        Err(error) => {
            log::debug!(error:%; "cannot read the leader's row");
            return;
        }
    };
    let now = clock::now();
    let row = leader_row(&page);
    let version = row.map_or(0, |r| r.version);
    let record = row.and_then(decode);
    // Versions may be given out again in a new era of the store.
    let mut current = match observed.take() {
        Some(old) if old.version == version && old.record == record => old,
        _ => ObservedRow {
            version,
            record,
            unchanged_since: now,
        },
    };
    let bounds = edge.settings().bounds;
    let step = {
        let state = edge.state.borrow();
        let status = leader_status(&state.members, &mut current, now);
        let candidate = Candidate {
            host: edge.host.clone(),
            incarnation: edge.incarnation,
            rank: state.members.succession_rank(&edge.host, now),
            lease: bounds.lease(),
            fences: bounds.fences,
            era: store_era(edge),
        };
        candidate.next_step(&current, status, now)
    };
    *observed = Some(current);
    let ElectionStep::Acquire {
        version,
        record,
        orders_from,
    } = step
    else {
        return;
    };
    let history = load_history(&edge.state.borrow().members, version);
    acquire(edge, version, record, orders_from, history).await;
}

fn store_era(edge: &Edge) -> StoreEra {
    StoreEra {
        number: edge.store.era(),
        since: edge.store.era_since(),
    }
}

/// Returns the status of the leader that the row names, or of any if it names none, as last
/// heard. A row with the version that the leader last announced has been unchanged since the
/// renewal announced with it.
fn leader_status(members: &Members, row: &mut ObservedRow, now: Moment) -> LeaderStatus {
    let Some(record) = &row.record else {
        return match members.leader(now) {
            Some(_) => LeaderStatus::Active,
            None => LeaderStatus::Silent,
        };
    };
    let Some((member, status)) = members.leadership_of(&record.host, record.fence) else {
        return LeaderStatus::Silent;
    };
    if status.row == row.version {
        row.unchanged_since = row.unchanged_since.min(status.renewed_at);
    }
    if status.offered {
        return LeaderStatus::Offering(status.last_order);
    }
    match member.is_alive(now) {
        true => LeaderStatus::Active,
        false => LeaderStatus::Silent,
    }
}

/// Writes the row that names this daemon, and starts its leadership after the loads of
/// `history`.
async fn acquire(
    edge: &Edge,
    version: u64,
    record: LeaderRecord,
    orders_from: Moment,
    history: LoadHistory,
) {
    let started_at = clock::now();
    let fence = record.fence;
    let written = match write_row(edge, version, &record).await {
        RowWrite::Written(written) | RowWrite::AlreadyWritten(written) => written,
        // If the write succeeded after all, the row names this host, and the
        // next poll acquires the leadership from that row.
        RowWrite::Superseded | RowWrite::Unknown => return,
    };
    let pause_ms = orders_from.saturating_sub(clock::now()).as_millis() as u64;
    log::info!(fence, row = written, pause_ms; "leadership acquired");
    let settings = edge.settings();
    let leader = LeaderId {
        host: edge.host.clone(),
        fence,
    };
    let mut state = edge.state.borrow_mut();
    let mut placer = Placer::new(leader, &settings, history);
    if let Some(status) = last_status(&state.members) {
        placer.inherit(&status.forecasts, clock::now());
    }
    state.leadership = Some(Leadership {
        record,
        version: written,
        orders_from,
        renewed_at: started_at,
        last_order: None,
        renewal_sent: None,
    });
    state.placer = Some(placer);
    drop(state);
    edge.send_wake.notify_one();
    edge.order_wake.notify_one();
}

/// Returns the known loads from before the takeover of the row with `version`.
fn load_history(members: &Members, version: u64) -> LoadHistory {
    if version == 0 {
        return LoadHistory::None;
    }
    match last_status(members) {
        Some(status) => LoadHistory::Known(status.loads.clone()),
        None => LoadHistory::UnknownBefore(clock::now()),
    }
}

/// Returns what the last leader has reported, as far as known.
fn last_status(members: &Members) -> Option<&LeadershipStatus> {
    let statuses = members.all.values().filter_map(|m| m.leadership.as_ref());
    statuses.max_by_key(|s| s.fence)
}

/// Outcome of a write of the leader's row.
enum RowWrite {
    /// Written; the new version.
    Written(u64),
    /// An earlier attempt of the same write succeeded; the version it made.
    AlreadyWritten(u64),
    /// The row names another leadership.
    Superseded,
    /// The outcome is unknown.
    Unknown,
}

impl RowWrite {
    /// Checks whether the row already has the content to be written.
    fn from_conflict(row: Option<&Row>, record: &LeaderRecord) -> Self {
        match row {
            Some(row) if decode(row).is_some_and(|r| r.is_same_write(record)) => {
                RowWrite::AlreadyWritten(row.version)
            }
            _ => RowWrite::Superseded,
        }
    }
}

/// Writes the row on condition that it has `version`.
async fn write_row(edge: &Edge, version: u64, record: &LeaderRecord) -> RowWrite {
    let fence = record.fence;
    match edge.store.commit(&[row_write(version, record)]).await {
        Ok(CommitOutcome::Committed(written)) => RowWrite::Written(written),
        // An earlier, unanswered write of this daemon may have succeeded.
        Ok(CommitOutcome::Conflict(page)) => RowWrite::from_conflict(leader_row(&page), record),
        Err(error) => {
            log::info!(fence, error:%; "cannot write the leader's row");
            RowWrite::Unknown
        }
    }
}

/// Renews the row; returns false when that failed.
async fn renew_row(edge: &Edge) -> bool {
    let started_at = clock::now();
    let renewal = {
        let mut state = edge.state.borrow_mut();
        let leadership = state.leadership.as_mut();
        leadership.map(|l| (l.version, l.begin_renewal(started_at)))
    };
    let Some((version, record)) = renewal else {
        return false;
    };
    let fence = record.fence;
    let era = store_era(edge);
    if fence < era.min_fence() {
        return retake_row(edge, &era).await;
    }
    let written = match write_row(edge, version, &record).await {
        // The response is of a new era, in which the row may be another one's.
        _ if edge.store.era() != era.number => return false,
        written => written,
    };
    let now = clock::now();
    let mut state = edge.state.borrow_mut();
    let peers = state.peer_reach(now);
    let Some(leadership) = state
        .leadership
        .as_mut()
        .filter(|l| l.record.fence == fence)
    else {
        return false;
    };
    match written {
        RowWrite::Written(version) => {
            leadership.record_renewal(record, version, started_at);
            return true;
        }
        RowWrite::AlreadyWritten(version) => {
            leadership.confirm_renewal(record, version);
            return false;
        }
        RowWrite::Superseded => {
            log::warn!(fence; "leadership lost: the row names another leader");
            state.end_leadership();
            return false;
        }
        RowWrite::Unknown => {}
    }
    if leadership.is_offering(peers, now) {
        let age_ms = now.saturating_sub(leadership.renewed_at).as_millis() as u64;
        log::warn!(fence, age_ms; "leadership offered: the row cannot be renewed");
        if !edge.settings().bounds.fences {
            state.end_leadership();
        }
        drop(state);
        edge.send_wake.notify_one();
    }
    false
}

/// Writes the row of this leader again in a new era of the store; returns false when that
/// failed.
async fn retake_row(edge: &Edge, era: &StoreEra) -> bool {
    let page = match edge.store.read_table(Table::Leadership).await {
        Ok(page) => page,
        Err(error) => {
            log::info!(error:%; "cannot read the leader's row in the new era of the store");
            return false;
        }
    };
    let row = leader_row(&page);
    let version = row.map_or(0, |r| r.version);
    let retaken = retake(&mut edge.state.borrow_mut(), row, era, clock::now());
    let Some((record, orders_from, history)) = retaken else {
        return false;
    };
    acquire(edge, version, record, orders_from, history).await;
    true
}

/// Returns the new content of the leader's row, with the moment of its first order and the loads
/// before; ends the leadership if another daemon has taken over.
fn retake(
    state: &mut State,
    row: Option<&Row>,
    era: &StoreEra,
    now: Moment,
) -> Option<(LeaderRecord, Moment, LoadHistory)> {
    let leadership = state.leadership.as_ref()?;
    let fence = leadership.record.fence;
    let Some(record) = leadership.retake(row.and_then(decode).as_ref(), era, now) else {
        log::warn!(fence; "leadership lost: another daemon leads in the new era of the store");
        state.end_leadership();
        return None;
    };
    let loads = state.placer.as_ref()?.store_load_starts(now);
    Some((record, leadership.orders_from, LoadHistory::Known(loads)))
}

/// Releases the leadership of a daemon that has been stopping since `stopping_since`.
/// Returns false when the store cannot be reached.
pub async fn release(edge: &Edge, stopping_since: Moment) -> bool {
    let leadership = edge.state.borrow().leadership.clone();
    let Some(leadership) = leadership else {
        return true;
    };
    let now = clock::now();
    let fences = edge.settings().bounds.fences;
    let mut idle = leadership.since_last_order(fences, now);
    if fences {
        // Engines refuse late orders by their fencing number, so only orders
        // from before `stopping_since` count.
        idle = idle.max(now.saturating_sub(stopping_since));
    }
    let fence = leadership.record.fence;
    let record = LeaderRecord {
        released_ms: Some(idle.as_millis() as u64),
        ..leadership.record
    };
    match write_row(edge, leadership.version, &record).await {
        RowWrite::Written(row) | RowWrite::AlreadyWritten(row) => {
            log::info!(fence, row; "leadership released")
        }
        RowWrite::Superseded => log::info!(fence; "leadership was already taken over"),
        RowWrite::Unknown => return false,
    }
    edge.state.borrow_mut().end_leadership();
    edge.send_wake.notify_one();
    true
}

fn row_write(version: u64, record: &LeaderRecord) -> RowChange {
    RowChange {
        table: Table::Leadership,
        part: UNNAMED_PART,
        key: LEADER_KEY.into(),
        expected_version: Some(version),
        value: serde_json::to_vec(record).ok(),
    }
}

fn leader_row(page: &RowPage) -> Option<&Row> {
    page.rows.iter().find(|row| &*row.key == LEADER_KEY)
}

fn decode(row: &Row) -> Option<LeaderRecord> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(row = row.version, error:%; "cannot decode the leader's row");
            None
        }
    }
}
