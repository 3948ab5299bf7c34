//! Keeps the desired state, the list of engines and the list of daemons up to date
//! with the store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::clock;
use super::engine_checks;
use super::engine_list::EngineList;
use super::members::MemberRecord;
use super::state::{DaemonPhase, Edge};
use super::store::{CommitOutcome, RowChange, RowPage, StoreError, Table, UNNAMED_PART};
use super::upstream::EngineEntry;
use crate::platform::{desired, rows};

/// Minimum time for which one call waits for a new desired state.
const MIN_FEED_WAIT: Duration = Duration::from_millis(1_500);
/// Time before the end of the contact bound at which a dead connection must have been
/// detected: the time limit of a call and its repetition.
const FEED_MARGIN: Duration = Duration::from_millis(1_500);
/// Period of reading the list of engines, as a fraction of the time after which a
/// draining engine must get no new requests.
const ENGINES_PERIOD_RATIO: f64 = 0.45;
/// Fraction of the store's read rate that is used for the list of engines.
const ENGINES_READS_RATIO: f64 = 0.5;
/// Number of rows that the store returns at most in one response; more may follow.
const MAX_FEED_ROWS: usize = 500;
/// Time in which daemons read a table again in a new era of the store, for each daemon.
const REREAD_TIME_PER_DAEMON: Duration = Duration::from_millis(10);
/// Maximum of that time; well below the time after which a desired state is in force.
const MAX_REREAD_DELAY: Duration = Duration::from_millis(600);
/// Time for which a daemon that starts waits for the rows of held features and of base versions,
/// beyond the desired state: other daemons tell of the former, and no stream begins or goes on
/// without the latter.
const MAX_ROWS_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Period of reading the list of daemons; packets of a new daemon cause an earlier
/// reading.
const MEMBERS_PERIOD: Duration = Duration::from_secs(8);
/// Minimum pause between two readings of the list of daemons.
const MIN_MEMBERS_PAUSE: Duration = Duration::from_millis(500);

/// Keeps the desired state up to date.
pub async fn watch_desired(edge: Rc<Edge>) {
    let mut eras = edge.store.eras();
    // Version and era after which changes are missing.
    let mut after = None;
    // Row that could not be decoded when it was last read.
    let mut faulty = None;
    loop {
        let reading = async {
            match after {
                None => edge.store.read_table(Table::Desired).await,
                Some((version, _)) => {
                    let wait = feed_wait(&edge);
                    edge.store.read_changes(Table::Desired, version, wait).await
                }
            }
        };
        let outcome = tokio::select! {
            biased;
            outcome = reading => outcome,
            Ok(()) = eras.changed() => {
                after = None;
                tokio::time::sleep(reread_delay(&edge)).await;
                continue;
            }
        };
        match outcome {
            // Changes after a version of another history.
            Ok(page) if after.is_some_and(|(_, era)| era != page.era) => {
                eras.mark_unchanged();
                after = None;
                tokio::time::sleep(reread_delay(&edge)).await;
            }
            Ok(page) => {
                eras.mark_unchanged();
                apply_desired(&edge, &page, &mut faulty);
                after = Some((page.version, page.era));
            }
            Err(StoreError::HistoryExpired) => {
                let version = after.map_or(0, |(version, _)| version);
                log::info!(after = version; "store history expired, reading the whole table");
                after = None;
            }
            Err(error) => {
                log::debug!(error:%; "desired state not read");
                // A full reading finds the changes missed in the meantime.
                after = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns how long to wait before a table is read again in a new era of the store: the
/// daemons take turns at random.
fn reread_delay(edge: &Edge) -> Duration {
    let daemons = edge.state.borrow().members.share_count(clock::now());
    let longest = (REREAD_TIME_PER_DAEMON * daemons as u32).min(MAX_REREAD_DELAY);
    longest.mul_f64(rand::random())
}

/// Returns how long one call waits for a new desired state. A dead connection is detected
/// after this plus the time limit of a call.
fn feed_wait(edge: &Edge) -> Duration {
    let contact = Duration::from_millis(edge.settings().bounds.contact_ms);
    contact.saturating_sub(FEED_MARGIN).max(MIN_FEED_WAIT)
}

/// Puts a newer desired state into force. One that cannot be decoded is logged once and changes
/// nothing: `faulty` is its row.
fn apply_desired(edge: &Edge, page: &RowPage, faulty: &mut Option<u64>) {
    for row in &page.rows {
        if &*row.key != rows::DESIRED_KEY || !row.unnamed_part {
            continue;
        }
        let Some(value) = &row.value else {
            continue;
        };
        let desired = match desired::decode(value) {
            Ok(desired) => desired,
            Err(error) => {
                if faulty.replace(row.version) != Some(row.version) {
                    let known = edge.state.borrow().desired.version;
                    log::error!(row = row.version, known, error:%;
                        "desired state cannot be decoded");
                    edge.metrics.record_invalid_config();
                }
                continue;
            }
        };
        let known = edge.state.borrow().desired.version;
        if desired.version <= known {
            continue;
        }
        let routes: usize = desired.routes.values().map(Vec::len).sum();
        let version = desired.version;
        let customers = desired.customers.iter().count();
        log::info!(version, known, row = row.version, routes, customers;
            "desired state in force");
        edge.metrics.set_config_version(version);
        edge.state.borrow_mut().desired = Rc::new(desired);
        edge.origin_wake.notify_one();
        edge.notify_waiting();
        edge.order_wake.notify_one();
    }
}

/// Keeps the list of engines up to date, and makes the daemon ready once both the
/// list and the desired state are known.
pub async fn watch_engines(edge: Rc<Edge>) {
    let mut list = EngineList::default();
    loop {
        let period = engines_period(&edge);
        let started = clock::now();
        match read_engines(&edge, &mut list).await {
            Ok(()) => {
                apply_engines(&edge, &list);
                if edge.phase.get() == DaemonPhase::Starting {
                    become_ready(&edge).await;
                }
            }
            Err(error) => {
                log::debug!(error:%; "list of engines not read");
                list.invalidate();
            }
        }
        let spent = clock::now().saturating_sub(started);
        let pause = period.saturating_sub(spent).max(RETRY_PAUSE);
        tokio::time::sleep(pause).await;
    }
}

/// Reads the changes of the list of engines, or the whole list when the changes are not
/// known.
async fn read_engines(edge: &Edge, list: &mut EngineList) -> Result<(), StoreError> {
    loop {
        let page = match list.version() {
            None => edge.store.read_table(Table::Engines).await?,
            Some(version) => {
                let changes = edge
                    .store
                    .read_changes(Table::Engines, version, Duration::ZERO);
                match changes.await {
                    Err(StoreError::HistoryExpired) => {
                        log::info!(after = version; "history of the engines expired, reading the whole list");
                        list.invalidate();
                        continue;
                    }
                    page => page?,
                }
            }
        };
        if list.version().is_some() && page.era != list.era() {
            list.invalidate();
            tokio::time::sleep(reread_delay(edge)).await;
            continue;
        }
        let is_full = page.rows.len() >= MAX_FEED_ROWS;
        let is_whole = list.version().is_none();
        let unreadable = match is_whole {
            true => list.replace(page),
            false => list.apply(page),
        };
        for entry in unreadable {
            log::warn!(engine = &*entry.key, row = entry.row, error = &*entry.error;
                "entry ignored");
        }
        if is_whole || !is_full {
            return Ok(());
        }
    }
}

/// Returns the period of reading the list of engines: short enough for draining
/// engines, and within this daemon's share of the store's read rate.
fn engines_period(edge: &Edge) -> Duration {
    let settings = edge.settings();
    let daemons = edge.state.borrow().members.share_count(clock::now());
    let share = settings.store.reads_per_s * ENGINES_READS_RATIO / daemons as f64;
    let minimum = Duration::try_from_secs_f64(1.0 / share).unwrap_or(RETRY_PAUSE);
    let target = Duration::from_millis(settings.bounds.drain_ms).mul_f64(ENGINES_PERIOD_RATIO);
    target.max(minimum)
}

/// Waits for the desired state, and for a while for the held features and the base versions, then
/// marks the daemon as ready.
async fn become_ready(edge: &Edge) {
    let mut changes = edge.changed.subscribe();
    while edge.state.borrow().desired.version == 0 {
        if changes.changed().await.is_err() {
            return;
        }
    }
    let rows_known = async {
        while !(edge.holds_known.get() && edge.origins_known.get())
            && changes.changed().await.is_ok()
        {}
    };
    if timeout(MAX_ROWS_WAIT, rows_known).await.is_err() {
        log::warn!("ready without the rows of held features or base versions");
    }
    if edge.phase.get() == DaemonPhase::Starting {
        edge.phase.set(DaemonPhase::Serving);
        log::info!(host = &*edge.host; "ready");
        edge.send_wake.notify_one();
    }
}

fn apply_engines(edge: &Rc<Edge>, list: &EngineList) {
    let now = clock::now();
    let restored_at = edge.store.availability().restored_at;
    let mut state = edge.state.borrow_mut();
    let services = &state.desired.services;
    let mut entries: Vec<EngineEntry> = Vec::new();
    let mut unreadable: BTreeSet<Arc<str>> = list.unreadable().cloned().collect();
    for entry in list.entries() {
        // Entries of services that the desired state does not list are not applied; like
        // unreadable ones, they do not remove an engine.
        match services.is_empty() || services.contains_key(&entry.service) {
            true => entries.push(entry.clone()),
            false => {
                unreadable.insert(entry.id.clone());
            }
        }
    }
    state.fleet.begin_era(list.era());
    state.origins.services.record_list(now);
    let changes = state
        .fleet
        .update_entries(entries, &unreadable, restored_at, now);
    let version = list.version().unwrap_or_default();
    for (engine, change) in &changes {
        let change: &'static str = change.into();
        let life = state.fleet.incarnation(engine);
        let entry = state.fleet.engines.get(engine).map(|e| &e.entry);
        let software = entry.map_or("", |e| &e.software);
        log::info!(engine = &**engine, change, life, software, list = version; "engine changed");
    }
    drop(state);
    edge.compare_left();
    edge.origin_wake.notify_one();
    engine_checks::start_due(edge);
    edge.notify_waiting();
    if !changes.is_empty() {
        edge.order_wake.notify_one();
    }
}

/// Keeps this daemon's row and the list of the others up to date.
pub async fn watch_members(edge: Rc<Edge>) {
    let mut row_written = false;
    let mut eras = edge.store.eras();
    loop {
        if eras.has_changed().unwrap_or(false) {
            eras.mark_unchanged();
            edge.metrics.record_store_era();
            tokio::time::sleep(reread_delay(&edge)).await;
            // The row may be lost.
            row_written = false;
        }
        if !row_written {
            row_written = write_member_row(&edge).await;
        }
        match edge.store.read_table(Table::Members).await {
            Ok(page) => apply_members(&edge, page),
            Err(error) => {
                log::debug!(error:%; "list of members not read");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        tokio::time::sleep(MIN_MEMBERS_PAUSE).await;
        tokio::select! {
            () = tokio::time::sleep(MEMBERS_PERIOD) => {}
            () = edge.unknown_peer.notified() => {}
            _ = eras.changed() => {
                eras.mark_changed();
            }
        }
    }
}

/// Writes this daemon's row, and finds out whether a process before it left one; returns whether
/// that succeeded.
async fn write_member_row(edge: &Edge) -> bool {
    match commit_member_row(edge, Some(0)).await {
        Some(CommitOutcome::Conflict(page)) => {
            let rows = page.rows.iter().filter(|row| row.key == edge.host);
            let records = rows.filter_map(|row| row.value.as_deref());
            let records = records.filter_map(|v| serde_json::from_slice::<MemberRecord>(v).ok());
            for record in records.filter(|r| r.incarnation != edge.incarnation) {
                let life = record.incarnation;
                log::info!(life; "a process before this one ran at this host");
                edge.has_predecessor.set(true);
            }
            commit_member_row(edge, None).await.is_some()
        }
        outcome => outcome.is_some(),
    }
}

/// Writes this daemon's row if it has the expected version; `None` if the store did not answer.
async fn commit_member_row(edge: &Edge, expected_version: Option<u64>) -> Option<CommitOutcome> {
    let settings = edge.settings();
    let record = MemberRecord {
        incarnation: edge.incarnation,
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        domain: settings.domain.clone(),
    };
    let change = RowChange {
        table: Table::Members,
        part: UNNAMED_PART,
        key: edge.host.clone(),
        expected_version,
        value: serde_json::to_vec(&record).ok(),
    };
    let outcome = edge.store.commit(&[change]).await;
    outcome
        .inspect_err(|error| log::debug!(error:%; "member row not written"))
        .ok()
}

/// Deletes this daemon's row at shutdown.
pub async fn remove_member_row(edge: &Edge) {
    let change = RowChange {
        table: Table::Members,
        part: UNNAMED_PART,
        key: edge.host.clone(),
        expected_version: None,
        value: None,
    };
    if let Err(error) = edge.store.commit(&[change]).await {
        log::info!(error:%; "member row not deleted");
    }
}

fn apply_members(edge: &Edge, page: RowPage) {
    let mut records = Vec::new();
    for row in page.rows {
        let Some(value) = &row.value else {
            continue;
        };
        match serde_json::from_slice(value) {
            Ok(record) => records.push((row.key, record)),
            Err(error) => {
                log::warn!(member = &*row.key, error:%; "member row ignored");
            }
        }
    }
    let mut state = edge.state.borrow_mut();
    let before = state.members.all.len();
    let was_known = state.members.is_known;
    state
        .members
        .update_records(records, &edge.host, clock::now());
    let after = state.members.all.len();
    drop(state);
    if before != after {
        log::info!(before, after; "list of members changed");
    }
    if before != after || !was_known {
        edge.send_wake.notify_one();
    }
}
