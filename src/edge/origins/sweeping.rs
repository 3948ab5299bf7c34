//! Deletes the rows of streams that can no longer be taken up.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use super::recording::PARTS;
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::state::Edge;
use crate::edge::store::{RowChange, RowPage, StoreError, Table};

/// Period of deleting rows.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);
/// Age at which a row is deleted; longer than a stream lasts.
const MAX_ROW_AGE: Duration = Duration::from_secs(120);
/// Maximum number of rows that one transaction deletes.
const MAX_DELETIONS: usize = 100;
/// Number of sweeps without a row after which none is made until streams have rows again.
const IDLE_SWEEPS: u32 = 3;

/// Deletes old rows while streams have rows; one host does so for all.
pub async fn sweep(edge: Rc<Edge>) {
    let mut eras = edge.store.eras();
    // Newest versions of the store at earlier times.
    let mut marks: VecDeque<(Moment, u64)> = VecDeque::new();
    let mut empty_sweeps = 0;
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        if eras.has_changed().unwrap_or(false) {
            eras.mark_unchanged();
            marks.clear();
        }
        if edge.may_have_rows() {
            empty_sweeps = 0;
        }
        if !edge.is_allocator() || empty_sweeps >= IDLE_SWEEPS {
            continue;
        }
        let now = clock::now();
        let is_old = |(at, _): &&(Moment, u64)| now.saturating_sub(*at) >= MAX_ROW_AGE;
        let oldest = marks.iter().rfind(is_old).map(|(_, v)| *v);
        match sweep_parts(&edge, oldest.unwrap_or(0)).await {
            Ok(swept) => {
                empty_sweeps = match swept.rows {
                    0 => empty_sweeps + 1,
                    _ => 0,
                };
                marks.push_back((now, swept.version));
                marks.retain(|mark| Some(mark.1) >= oldest);
            }
            Err(error) => log::info!(error:%; "old rows of streams not deleted"),
        }
    }
}

/// What a sweep has found.
#[derive(Clone, Copy, Debug, Default)]
struct Swept {
    /// Rows that there were.
    rows: usize,
    /// Version of the store when it began.
    version: u64,
}

/// Deletes the rows of all parts that were last written at `oldest` or before.
async fn sweep_parts(edge: &Edge, oldest: u64) -> Result<Swept, StoreError> {
    let mut swept = Swept::default();
    for part in PARTS {
        let page = edge.store.read_part(Table::Origins, part).await?;
        if swept.version == 0 {
            swept.version = page.version;
        }
        swept.rows += page.rows.len();
        delete_rows(edge, part, &page, oldest).await?;
    }
    Ok(swept)
}

async fn delete_rows(
    edge: &Edge,
    part: &'static str,
    page: &RowPage,
    oldest: u64,
) -> Result<(), StoreError> {
    let old = page.rows.iter().filter(|row| row.version <= oldest);
    let changes: Vec<_> = old
        .map(|row| RowChange {
            table: Table::Origins,
            part,
            key: row.key.clone(),
            expected_version: None,
            value: None,
        })
        .collect();
    for batch in changes.chunks(MAX_DELETIONS) {
        edge.store.commit(batch).await?;
    }
    Ok(())
}

impl Edge {
    /// Returns whether streams may have begun lately that have rows.
    fn may_have_rows(&self) -> bool {
        let state = self.state.borrow();
        state.origins.services.any_has_several(clock::now())
    }
}
