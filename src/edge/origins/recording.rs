//! Writes the rows of streams that do not begin at the base version.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::streams::{DueRow, RecordState, RowNeed};
use super::telling::TELL_PERIOD;
use super::{StreamId, record};
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::state::Edge;
use crate::edge::store::{CommitOutcome, Row, RowChange, RowPage, StoreError, Table};

/// Parts of the table of streams, by the first hexadecimal digit of a stream's id: the store
/// carries out the transactions of one part one after another.
pub(super) const PARTS: [&str; 16] = [
    "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f",
];
/// Maximum number of rows of a transaction, which has a condition and a write for each.
const MAX_ROWS: usize = 50;
/// Share of the store's write rate that is used for these rows.
const WRITES_RATIO: f64 = 0.5;
/// Time for which unused writes add up.
const WRITE_BURST: Duration = Duration::from_millis(500);
/// Time for which the first event of a stream is held back while its row is surely not written.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Writers of the parts of the table.
#[derive(Debug, Default)]
pub struct OriginWriters {
    /// Whether each part is being written.
    busy: [bool; PARTS.len()],
    /// When the next write is due at the earliest.
    next_at: Moment,
}

impl OriginWriters {
    /// Books a write; returns how long it has to wait. `spacing` is the mean time between two.
    fn book(&mut self, spacing: Duration, now: Moment) -> Duration {
        let at = self.next_at.max(now.saturating_sub(WRITE_BURST));
        self.next_at = at + spacing;
        at.saturating_sub(now)
    }
}

/// Returns the index of the part of a stream's row.
pub(super) fn part_index(stream: StreamId) -> usize {
    usize::from(stream.first_byte() >> 4)
}

impl Edge {
    /// Records that a stream is about to begin at a version. Its row is written at once if it
    /// needs one.
    pub fn begin_stream(
        self: &Rc<Self>,
        stream: StreamId,
        service: &Arc<str>,
        software: &Arc<str>,
    ) {
        let (store, now) = (self.store_time(), clock::now());
        let mut state = self.state.borrow_mut();
        let services = &state.origins.services;
        let need = match services.base(service) {
            Some(base) if base.software != *software => RowNeed::First,
            None => RowNeed::First,
            Some(_) if services.has_lapsed(service) => RowNeed::First,
            Some(_) if services.is_base_sure(service, store, now) => RowNeed::Base,
            Some(_) => RowNeed::Follows,
        };
        let streams = &mut state.origins.streams;
        let is_due = streams.begin(stream, service, (software, need), now);
        drop(state);
        if is_due {
            self.write_part(part_index(stream));
            if !self.store_available() {
                self.tell_others(stream);
            }
        }
    }

    /// Waits until all hosts can know that a stream begins at a version; returns whether they can.
    /// A row that is surely not written is awaited for [`RECORD_TIMEOUT`], as the request can then
    /// begin at the base version; one that may be written, until the deadline. While the store does
    /// not answer this host, others are told.
    pub async fn await_recorded(
        &self,
        stream: StreamId,
        service: &str,
        software: &str,
        deadline: Moment,
    ) -> bool {
        let mut written = self.origins_written.subscribe();
        let refused_at = clock::now() + RECORD_TIMEOUT;
        loop {
            written.borrow_and_update();
            let until = match self.settle_stream(stream, software) {
                RecordState::Recorded => {
                    self.announce_stream(stream, service);
                    return true;
                }
                RecordState::Foreign => return false,
                RecordState::Pending => refused_at.min(deadline),
                RecordState::Unsure => deadline,
            };
            let left = until.saturating_sub(clock::now());
            if left.is_zero() {
                return false;
            }
            let pause = match self.store_available() {
                true => left,
                false => {
                    self.tell_others(stream);
                    left.min(TELL_PERIOD)
                }
            };
            if matches!(timeout(pause, written.changed()).await, Ok(Err(_))) {
                return false;
            }
        }
    }

    fn settle_stream(&self, stream: StreamId, software: &str) -> RecordState {
        let holders = self.holders_needed();
        let mut state = self.state.borrow_mut();
        state.origins.streams.settle(stream, software, holders)
    }

    /// Writes all rows that are due.
    pub(super) fn write_origins(self: &Rc<Self>) {
        for part in 0..PARTS.len() {
            self.write_part(part);
        }
    }

    /// Starts to write the rows of a part that are due, unless that is in progress.
    pub(super) fn write_part(self: &Rc<Self>, part: usize) {
        let busy = &mut self.state.borrow_mut().origin_writers.busy[part];
        if !std::mem::replace(busy, true) {
            tokio::task::spawn_local(write_rows(self.clone(), part));
        }
    }

    /// Returns the mean time between two writes of this daemon.
    fn write_spacing(&self) -> Duration {
        let daemons = self.state.borrow().members.share_count(clock::now());
        let share = self.settings().store.writes_per_s * WRITES_RATIO / daemons as f64;
        Duration::try_from_secs_f64(1.0 / share).unwrap_or(RETRY_PAUSE)
    }
}

/// Writes the rows of a part until none is due.
async fn write_rows(edge: Rc<Edge>, part: usize) {
    loop {
        let spacing = edge.write_spacing();
        let rows = {
            let mut state = edge.state.borrow_mut();
            let is_wanted = |id| part_index(id) == part;
            let rows = state.origins.streams.take_due(is_wanted, MAX_ROWS);
            if rows.is_empty() {
                state.origin_writers.busy[part] = false;
                return;
            }
            rows
        };
        let wait = {
            let mut state = edge.state.borrow_mut();
            state.origin_writers.book(spacing, clock::now())
        };
        sleep(wait).await;
        if let Err(error) = commit_rows(&edge, part, rows).await {
            log::info!(part = PARTS[part], error:%; "rows of streams not written");
            sleep(RETRY_PAUSE).await;
        }
        edge.origins_written.send_modify(|n| *n += 1);
    }
}

async fn commit_rows(edge: &Edge, part: usize, rows: Vec<DueRow>) -> Result<(), StoreError> {
    let change = |row: &DueRow| RowChange {
        table: Table::Origins,
        part: PARTS[part],
        key: row.stream.to_string().into(),
        expected_version: Some(row.expected_version),
        value: record::encode(&row.software),
    };
    let changes: Vec<_> = rows.iter().map(change).collect();
    let count = rows.len() as u64;
    let outcome = edge.store.commit(&changes).await;
    let mut state = edge.state.borrow_mut();
    let streams = &mut state.origins.streams;
    let (name, outcome) = match outcome {
        Ok(CommitOutcome::Committed(version)) => {
            streams.record_written(&rows, version);
            ("written", Ok(()))
        }
        Ok(CommitOutcome::Conflict(page)) => {
            streams.record_conflict(&rows, &decode(&page));
            ("conflict", Ok(()))
        }
        Err(error @ StoreError::Refused(_)) => {
            streams.record_refused(rows);
            ("refused", Err(error))
        }
        // Outcomes that are not known stay so until the next write.
        Err(error) => ("unanswered", Err(error)),
    };
    drop(state);
    edge.metrics.record_origin_rows(name, count);
    outcome
}

/// Returns the streams of rows with the version of the software and that of the row.
fn decode(page: &RowPage) -> HashMap<StreamId, (Arc<str>, u64)> {
    let rows = page.rows.iter().filter_map(|row| {
        let stream = row.key.parse().ok()?;
        Some((stream, (decode_row(row)?, row.version)))
    });
    rows.collect()
}

/// Returns the version that a stream's row names.
pub(super) fn decode_row(row: &Row) -> Option<Arc<str>> {
    let value = row.value.as_ref()?;
    match record::decode(value) {
        Ok(software) => Some(software),
        Err(error) => {
            log::warn!(stream = &*row.key, error:%; "row of a stream ignored");
            None
        }
    }
}
