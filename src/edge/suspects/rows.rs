//! Rows of held features in the store: they outlast the daemons, and count the trials of all.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::{Feature, HoldRecord, Suspects};
use crate::edge::clock;
use crate::edge::state::Edge;
use crate::edge::store::{CommitOutcome, RowChange, RowPage, StoreError, Table, UNNAMED_PART};

/// Pause before rows are written again that were not.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Period of forgetting old crashes, and of comparing the rows with what is held.
const CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Rows by feature, with their versions.
type Rows = BTreeMap<Feature, (u64, HoldRecord)>;

/// Outcome of claiming a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Claim {
    /// One request may be sent.
    Granted,
    /// Another daemon has taken it.
    Taken,
    /// The store did not answer.
    Failed,
}

/// Keeps the rows up to date. They are read at the start, in each new era of the store, and by
/// a daemon that begins to write them: the one that grants permits.
pub async fn keep_rows(edge: Rc<Edge>) {
    let mut eras = edge.store.eras();
    let mut written: Option<Rows> = None;
    let mut was_writer = false;
    loop {
        let is_writer = edge.is_allocator();
        if eras.has_changed().unwrap_or(false) || is_writer && !was_writer {
            eras.mark_unchanged();
            written = None;
        }
        was_writer = is_writer;
        let outcome = match written.take() {
            None => read_rows(&edge).await,
            Some(rows) if is_writer => write_rows(&edge, rows).await,
            Some(rows) => Ok(rows),
        };
        let pause = match outcome {
            Ok(rows) => {
                let is_done = !is_writer || is_up_to_date(&edge, &rows);
                written = Some(rows);
                if is_done { CHECK_PERIOD } else { RETRY_PAUSE }
            }
            Err(error) => {
                log::debug!(error:%; "rows of held features not read or written");
                RETRY_PAUSE
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = edge.hold_wake.notified() => {}
            _ = eras.changed() => eras.mark_changed(),
        }
        let change = edge.state.borrow_mut().suspects.expire(clock::now());
        edge.record_held_change(&change);
    }
}

/// Returns whether the rows are those of the held features, with their crashes.
fn is_up_to_date(edge: &Edge, rows: &Rows) -> bool {
    let state = edge.state.borrow();
    let suspects = &state.suspects;
    suspects.held().eq(rows.keys().copied())
        && rows.iter().all(|(f, (_, r))| !lacks(suspects, *f, r))
}

/// Returns whether a row has fewer crashes than it should.
fn lacks(suspects: &Suspects, feature: Feature, row: &HoldRecord) -> bool {
    row.crashes.len() < suspects.hold_record(feature).crashes.len()
}

/// Reads and applies all rows.
async fn read_rows(edge: &Edge) -> Result<Rows, StoreError> {
    let rows = decode(&edge.store.read_table(Table::Held).await?);
    for (feature, (_, record)) in &rows {
        apply(edge, *feature, record);
    }
    edge.release_features();
    edge.holds_known.set(true);
    edge.notify_waiting();
    Ok(rows)
}

fn apply(edge: &Edge, feature: Feature, record: &HoldRecord) {
    let mut state = edge.state.borrow_mut();
    let change = state.suspects.restore(feature, record, clock::now());
    drop(state);
    edge.record_held_change(&change);
}

fn decode(page: &RowPage) -> Rows {
    let mut records = Rows::new();
    for row in &page.rows {
        let (Some(value), true) = (&row.value, row.unnamed_part) else {
            continue;
        };
        let feature = match row.key.parse::<Feature>() {
            Ok(feature) => feature,
            Err(error) => {
                log::warn!(error:%; "row of a held feature ignored");
                continue;
            }
        };
        match serde_json::from_slice(value) {
            Ok(record) => {
                records.insert(feature, (row.version, record));
            }
            Err(error) => log::warn!(feature:%, error:%; "row of a held feature ignored"),
        }
    }
    records
}

fn row_change(feature: Feature, version: Option<u64>, record: Option<&HoldRecord>) -> RowChange {
    RowChange {
        table: Table::Held,
        part: UNNAMED_PART,
        key: Arc::from(feature.to_string()),
        expected_version: version,
        value: record.and_then(|r| serde_json::to_vec(r).ok()),
    }
}

/// Writes the rows that are missing or lack crashes, and deletes those of released features;
/// returns the rows that there are.
async fn write_rows(edge: &Edge, mut rows: Rows) -> Result<Rows, StoreError> {
    let held: Vec<_> = edge.state.borrow().suspects.held().collect();
    for feature in &held {
        let (version, is_due, record) = {
            let suspects = &edge.state.borrow().suspects;
            let known = rows.get(feature);
            let is_due = known.is_none_or(|(_, row)| lacks(suspects, *feature, row));
            let version = known.map_or(0, |(version, _)| *version);
            (version, is_due, suspects.hold_record(*feature))
        };
        if !is_due {
            continue;
        }
        let change = row_change(*feature, Some(version), Some(&record));
        match edge.store.commit(&[change]).await? {
            CommitOutcome::Committed(version) => {
                let crashes = record.crashes.len();
                log::info!(feature:%, crashes; "row of a held feature written");
                rows.insert(*feature, (version, record));
            }
            CommitOutcome::Conflict(page) => {
                rows.remove(feature);
                for (feature, (version, record)) in decode(&page) {
                    apply(edge, feature, &record);
                    rows.insert(feature, (version, record));
                }
            }
        }
    }
    let released: Vec<_> = rows.keys().filter(|f| !held.contains(f)).copied().collect();
    for feature in released {
        let change = row_change(feature, None, None);
        edge.store.commit(&[change]).await?;
        rows.remove(&feature);
        log::info!(feature:%; "row of a held feature deleted");
    }
    Ok(rows)
}

/// Takes the next trial of a held feature for one request of this daemon.
pub async fn claim_trial(edge: &Edge, feature: Feature) -> Claim {
    // Other requests of this daemon wait for the trial after this one.
    let (before, is_late, record) = {
        let mut state = edge.state.borrow_mut();
        let suspects = &mut state.suspects;
        let (before, is_late) = suspects.begin_trial(feature, clock::now());
        (before, is_late, suspects.hold_record(feature))
    };
    let mut version = 0;
    loop {
        let change = row_change(feature, Some(version), Some(&record));
        match edge.store.commit(&[change]).await {
            Ok(CommitOutcome::Committed(_)) => return Claim::Granted,
            Ok(CommitOutcome::Conflict(page)) => {
                let rows = decode(&page);
                let row = rows.get(&feature).map(|(_, row)| row);
                let trials = row.map_or(0, |row| row.trials);
                let found = page.rows.first().map_or(0, |row| row.version);
                if trials > before || found == version {
                    let mut state = edge.state.borrow_mut();
                    let now = clock::now();
                    let known = &mut state.suspects.trials;
                    known.record(feature, trials, now);
                    known.record_late(feature, row.map_or(0, |row| row.late));
                    return Claim::Taken;
                }
                version = found;
            }
            Err(error) => {
                log::info!(feature:%, error:%; "trial not claimed");
                if matches!(error, StoreError::Refused(_)) {
                    edge.state
                        .borrow_mut()
                        .suspects
                        .trials
                        .withdraw(feature, is_late);
                }
                return Claim::Failed;
            }
        }
    }
}
