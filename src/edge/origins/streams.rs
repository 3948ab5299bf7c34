//! Streams that began at this host or that others told of, and which of their rows are due in the
//! store.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::StreamId;
use crate::clock::Moment;

/// Time for which a stream is remembered; longer than it can be taken up again.
const RETENTION: Duration = Duration::from_secs(90);
/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 16_384;

/// A row of a stream, as far as this daemon knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum StoredRow {
    /// There is none.
    #[default]
    Absent,
    /// It may have been written: a write was not answered.
    Unsure,
    /// It names a version of the software.
    Present { software: Arc<str>, version: u64 },
    /// Another daemon has written it, for a stream of the same name.
    Foreign,
}

/// Whether a stream needs a row at the version at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowNeed {
    /// Not at the base version.
    Base,
    /// At the base version, while a missing row does not tell that it began there: the row follows.
    Follows,
    /// Before its caller gets events, unless other hosts hold its version.
    First,
}

/// Whether a stream that begins is known to all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// It is, or needs no row.
    Recorded,
    /// Its row is not written yet.
    Pending,
    /// Its row may be written.
    Unsure,
    /// Its name is that of another stream, at another version.
    Foreign,
}

#[derive(Debug)]
struct Stream {
    service: Arc<str>,
    /// Version at which it begins.
    software: Arc<str>,
    began_at: Moment,
    /// Whether its caller got events, so that its version is settled.
    begun: bool,
    /// Whether it needs a row, even though it may begin at the base version.
    needs_row: bool,
    /// Whether a row is written for which its caller does not wait.
    row_follows: bool,
    /// Whether its caller gets events only once the row is written: one of another version may be
    /// written yet.
    awaits_row: bool,
    row: StoredRow,
    /// Host at which it began, if not this one.
    teller: Option<Arc<str>>,
    /// Other hosts that hold its version and write its row.
    holders: BTreeSet<Arc<str>>,
    /// Whether other hosts were told of it and may write its row.
    is_told: bool,
    /// Whether they were told that it has begun.
    is_announced: bool,
}

impl RecordState {
    /// Returns whether its row has to be written.
    fn is_due(self) -> bool {
        matches!(self, RecordState::Pending | RecordState::Unsure)
    }
}

impl Stream {
    fn new(service: &Arc<str>, software: &Arc<str>, now: Moment) -> Self {
        Stream {
            service: service.clone(),
            software: software.clone(),
            began_at: now,
            begun: false,
            needs_row: false,
            row_follows: false,
            awaits_row: false,
            row: StoredRow::Absent,
            teller: None,
            holders: BTreeSet::new(),
            is_told: false,
            is_announced: false,
        }
    }

    fn told(&self, id: StreamId, unwritten: bool) -> Told {
        Told {
            stream: id,
            service: self.service.clone(),
            software: self.software.clone(),
            unwritten,
        }
    }

    fn record_state(&self) -> RecordState {
        match &self.row {
            StoredRow::Foreign => RecordState::Foreign,
            StoredRow::Present { software, .. } if *software == self.software => {
                RecordState::Recorded
            }
            StoredRow::Absent if !self.needs_row && !self.row_follows => RecordState::Recorded,
            StoredRow::Unsure => RecordState::Unsure,
            StoredRow::Absent | StoredRow::Present { .. } => RecordState::Pending,
        }
    }
}

/// A row to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueRow {
    /// Stream.
    pub stream: StreamId,
    /// Version of the software that it is to name.
    pub software: Arc<str>,
    /// Version that the row must have now; 0 if it must not exist.
    pub expected_version: u64,
    /// What was known of the row before.
    before: StoredRow,
}

/// What another host has told of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Stream.
    pub stream: StreamId,
    /// Service.
    pub service: Arc<str>,
    /// Version at which it begins.
    pub software: Arc<str>,
    /// Whether its row is to be written here.
    pub unwritten: bool,
}

/// Streams that began at this host or that others told of.
#[derive(Debug, Default)]
pub struct Streams {
    streams: HashMap<StreamId, Stream>,
    expired_at: Moment,
}

impl Streams {
    /// Records that a stream is about to begin at a version. Returns whether its row has to be
    /// written.
    pub fn begin(
        &mut self,
        id: StreamId,
        service: &Arc<str>,
        (software, need): (&Arc<str>, RowNeed),
        now: Moment,
    ) -> bool {
        self.expire(now);
        let new = || Stream::new(service, software, now);
        let stream = self.streams.entry(id).or_insert_with(new);
        if !stream.begun {
            if stream.software != *software {
                // A write for the other version may still take effect, here or at another host.
                stream.awaits_row = true;
                stream.holders.clear();
                if stream.is_told && stream.row == StoredRow::Absent {
                    stream.row = StoredRow::Unsure;
                }
            }
            stream.software = software.clone();
            stream.needs_row = need == RowNeed::First || stream.is_told;
            stream.row_follows = need == RowNeed::Follows;
        }
        stream.record_state().is_due()
    }

    /// Returns what other hosts are to be told of a stream that has begun here, once.
    pub fn announce(&mut self, id: StreamId) -> Option<Told> {
        let stream = self.streams.get_mut(&id)?;
        let is_due = stream.begun && stream.teller.is_none();
        if !is_due || std::mem::replace(&mut stream.is_announced, true) {
            return None;
        }
        Some(stream.told(id, false))
    }

    /// Returns what other hosts are to be told of a stream that begins here and has no row yet.
    pub fn tell(&mut self, id: StreamId) -> Option<Told> {
        let stream = self.streams.get_mut(&id)?;
        if stream.begun || !stream.record_state().is_due() {
            return None;
        }
        stream.is_told = true;
        Some(stream.told(id, true))
    }

    /// Records what another host has told of a stream. Returns the version at which it begins as
    /// far as this host knows, and whether its row has to be written.
    pub fn record_told(&mut self, told: &Told, teller: &Arc<str>, now: Moment) -> (Arc<str>, bool) {
        self.expire(now);
        let new = || Stream {
            begun: true,
            teller: Some(teller.clone()),
            ..Stream::new(&told.service, &told.software, now)
        };
        let stream = self.streams.entry(told.stream).or_insert_with(new);
        if stream.teller.as_ref() == Some(teller) {
            stream.software = told.software.clone();
            stream.needs_row |= told.unwritten;
        }
        (stream.software.clone(), stream.record_state().is_due())
    }

    /// Records that another host holds the version of a stream that begins here.
    pub fn record_holder(&mut self, id: StreamId, host: &Arc<str>, software: &str) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if stream.teller.is_none() && *stream.software == *software {
            stream.holders.insert(host.clone());
        }
    }

    /// Returns whether all hosts can know that a stream begins at a version: by its row, or from
    /// `holders` hosts. From then on no other request of its name changes that.
    pub fn settle(&mut self, id: StreamId, software: &str, holders: usize) -> RecordState {
        let Some(stream) = self.streams.get_mut(&id) else {
            return RecordState::Foreign;
        };
        if *stream.software != *software {
            return RecordState::Foreign;
        }
        let state = match stream.record_state() {
            RecordState::Pending | RecordState::Unsure
                if !stream.awaits_row && (!stream.needs_row || stream.holders.len() >= holders) =>
            {
                RecordState::Recorded
            }
            state => state,
        };
        stream.begun |= state == RecordState::Recorded;
        state
    }

    /// Returns the version at which a stream began, and whether that is certain: it began here, and
    /// its row is written. Else another host may have written it for a stream of the same name.
    pub fn origin(&self, id: StreamId) -> Option<(Arc<str>, bool)> {
        let stream = self.streams.get(&id).filter(|s| s.begun)?;
        let has_row = matches!(stream.row, StoredRow::Present { .. });
        Some((stream.software.clone(), has_row && stream.teller.is_none()))
    }

    /// Requires rows of the streams of a service that did not begin at its new base version.
    pub fn change_base(&mut self, service: &str, base: &str) {
        let own = self.streams.values_mut().filter(|s| s.teller.is_none());
        for stream in own.filter(|s| &*s.service == service) {
            stream.needs_row |= &*stream.software != base;
        }
    }

    /// Records that rows may have been lost: the store has come back from an older copy. Where a
    /// service has several versions, all streams get rows, as a missing one tells nothing now;
    /// those that other hosts told of, where the host is not alive to write them.
    pub fn begin_era(
        &mut self,
        is_several: impl Fn(&str) -> bool,
        is_alive: impl Fn(&str) -> bool,
    ) {
        for stream in self.streams.values_mut() {
            let is_lost = match &stream.teller {
                Some(teller) => !is_alive(teller) && is_several(&stream.service),
                None => stream.begun && is_several(&stream.service),
            };
            let had_row = stream.row != StoredRow::Absent;
            if had_row {
                stream.row = StoredRow::Unsure;
            }
            stream.needs_row |= had_row;
            stream.row_follows |= is_lost;
        }
    }

    /// Returns rows of streams of which `is_wanted` holds that are to be written now, at most so
    /// many. Until their outcome is recorded it is not known whether they were written.
    pub fn take_due(&mut self, is_wanted: impl Fn(StreamId) -> bool, most: usize) -> Vec<DueRow> {
        let due = self
            .streams
            .iter_mut()
            .filter(|(id, stream)| stream.record_state().is_due() && is_wanted(**id));
        let mut rows = Vec::new();
        for (id, stream) in due.take(most) {
            let before = std::mem::replace(&mut stream.row, StoredRow::Unsure);
            rows.push(DueRow {
                stream: *id,
                software: stream.software.clone(),
                expected_version: match before {
                    StoredRow::Present { version, .. } => version,
                    StoredRow::Absent | StoredRow::Unsure | StoredRow::Foreign => 0,
                },
                before,
            });
        }
        rows
    }

    /// Records that rows were written, with this version.
    pub fn record_written(&mut self, rows: &[DueRow], version: u64) {
        for row in rows {
            let software = row.software.clone();
            self.set_row(row.stream, StoredRow::Present { software, version });
        }
    }

    /// Records that rows were surely not written.
    pub fn record_refused(&mut self, rows: Vec<DueRow>) {
        for row in rows {
            self.set_row(row.stream, row.before);
        }
    }

    /// Records the rows that were found, with the version of the software and their own, instead
    /// of those that were expected.
    pub fn record_conflict(&mut self, rows: &[DueRow], found: &HashMap<StreamId, (Arc<str>, u64)>) {
        for row in rows {
            let stored = match (found.get(&row.stream), &row.before) {
                (None, _) => StoredRow::Absent,
                (Some((software, _)), StoredRow::Absent) if *software != row.software => {
                    StoredRow::Foreign
                }
                (Some((software, version)), _) => StoredRow::Present {
                    software: software.clone(),
                    version: *version,
                },
            };
            self.set_row(row.stream, stored);
        }
    }

    fn set_row(&mut self, id: StreamId, row: StoredRow) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.row = row;
        }
    }

    /// Forgets streams that can no longer be taken up, and the oldest beyond the maximum number.
    fn expire(&mut self, now: Moment) {
        let is_full = self.streams.len() >= MAX_STREAMS;
        if !is_full && now.saturating_sub(self.expired_at) < RETENTION / 8 {
            return;
        }
        self.expired_at = now;
        self.streams
            .retain(|_, s| now.saturating_sub(s.began_at) < RETENTION);
        if self.streams.len() < MAX_STREAMS {
            return;
        }
        let mut times: Vec<_> = self.streams.values().map(|s| s.began_at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.streams.retain(|_, s| s.began_at > median);
    }
}
