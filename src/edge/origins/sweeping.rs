//! Deletes the rows of streams that can no longer be taken up.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use super::recording::PARTS;
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::state::Edge;
use crate::edge::store::{CommitOutcome, Row, RowChange, RowPage, StoreError, Table};

/// Period of deleting rows.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);
/// Age at which a row is deleted; longer than a stream lasts.
const MAX_ROW_AGE: Duration = Duration::from_secs(120);
/// Maximum number of rows that one transaction deletes.
const MAX_DELETIONS: usize = 100;
/// Number of sweeps without a row after which none is made until streams have rows again.
const IDLE_SWEEPS: u32 = 3;

/// Versions of the store at the times of earlier sweeps.
#[derive(Clone, Debug, Default)]
pub struct SweepMarks {
    marks: VecDeque<Mark>,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Moment,
    era: u64,
    version: u64,
}

impl SweepMarks {
    /// Records the version that the store had, in an era; forgets those of other eras.
    pub fn record(&mut self, era: u64, version: u64, now: Moment) {
        self.marks.retain(|mark| mark.era == era);
        if let Some(oldest) = self.marks.iter().rposition(|mark| mark.is_old(now)) {
            self.marks.drain(..oldest);
        }
        self.marks.push_back(Mark {
            at: now,
            era,
            version,
        });
    }

    /// Returns the deletions of the rows on a page that were last written [`MAX_ROW_AGE`] ago or
    /// earlier. A row that is written again in the meantime is kept.
    pub fn deletions(&self, part: &'static str, page: &RowPage, now: Moment) -> Vec<RowChange> {
        let is_old = |mark: &&Mark| mark.era == page.era && mark.is_old(now);
        let Some(oldest) = self.marks.iter().rfind(is_old) else {
            return Vec::new();
        };
        let old = page.rows.iter().filter(|row| row.version <= oldest.version);
        let deletion = |row: &Row| RowChange {
            table: Table::Origins,
            part,
            key: row.key.clone(),
            expected_version: Some(row.version),
            value: None,
        };
        old.map(deletion).collect()
    }
}

impl Mark {
    fn is_old(&self, now: Moment) -> bool {
        now.saturating_sub(self.at) >= MAX_ROW_AGE
    }
}

/// Deletes old rows while streams have rows; one host does so for all.
pub async fn sweep(edge: Rc<Edge>) {
    let mut marks = SweepMarks::default();
    let mut empty_sweeps = 0;
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        if edge.may_have_rows() {
            empty_sweeps = 0;
        }
        if !edge.is_allocator() || empty_sweeps >= IDLE_SWEEPS {
            continue;
        }
        match sweep_parts(&edge, &mut marks).await {
            Ok(0) => empty_sweeps += 1,
            Ok(_) => empty_sweeps = 0,
            Err(error) => log::info!(error:%; "old rows of streams not deleted"),
        }
    }
}

/// Deletes the old rows of all parts; returns how many rows there were.
async fn sweep_parts(edge: &Edge, marks: &mut SweepMarks) -> Result<usize, StoreError> {
    let now = clock::now();
    let mut count = 0;
    let mut first = None;
    for part in PARTS {
        let page = edge.store.read_part(Table::Origins, part).await?;
        first.get_or_insert((page.era, page.version));
        count += page.rows.len();
        for batch in marks.deletions(part, &page, now).chunks(MAX_DELETIONS) {
            if let CommitOutcome::Conflict(_) = edge.store.commit(batch).await? {
                log::info!(part; "rows of streams kept: one was written again");
            }
        }
    }
    if let Some((era, version)) = first {
        marks.record(era, version, now);
    }
    Ok(count)
}

impl Edge {
    /// Returns whether streams may have begun lately that have rows.
    fn may_have_rows(&self) -> bool {
        let state = self.state.borrow();
        state.origins.services.any_has_several(clock::now())
    }
}
