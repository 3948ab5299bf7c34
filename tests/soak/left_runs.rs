//! Check of runs that were left: a request does not go on at another engine while the engine before
//! still works on it.
//!
//! A silence of the engine before is no excuse: its daemon reaches it, and it goes on.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::record::{History, RunSpan};

/// Time for which the engine before may still work.
const END_TIME: Duration = Duration::from_millis(400);
/// Time before a moment in which a disturbance of a daemon excuses it.
const CONTACT: Duration = Duration::from_secs(1);

/// Returns the requests that went on elsewhere in one answer while the engine before worked on.
pub fn left_running(history: &History) -> Vec<(String, String)> {
    let id = |run: &RunSpan| run.id.clone();
    overlaps(history, id)
        .into_iter()
        .map(|(before, after)| (before.id.clone(), text(before, after)))
        .collect()
}

/// Returns the number of streams that callers took up again while an engine worked on the attempt
/// before. A take-up is a request of its own, so that no rule is broken.
pub fn taken_up_running(history: &History) -> usize {
    let first = |run: &RunSpan| {
        let take_up = history.attempts.get(&run.id)?.take_up.as_ref()?;
        Some(take_up.first.clone())
    };
    let found = overlaps(history, |run| first(run).unwrap_or_else(|| run.id.clone()));
    found.iter().filter(|(a, b)| a.id != b.id).count()
}

/// Returns the runs that went on while a later run of the same `group` was in progress elsewhere,
/// with the later one.
fn overlaps(history: &History, group: impl Fn(&RunSpan) -> String) -> Vec<(&RunSpan, &RunSpan)> {
    let mut groups: BTreeMap<String, Vec<&RunSpan>> = BTreeMap::new();
    for run in &history.runs {
        groups.entry(group(run)).or_default().push(run);
    }
    let mut found = Vec::new();
    for runs in groups.values_mut() {
        runs.sort_by_key(|run| run.arrived_at);
        for (i, before) in runs.iter().enumerate() {
            let later = runs[i + 1..].iter();
            let overlaps = |after: &&&RunSpan| works_on(before, after);
            let Some(after) = later.clone().find(overlaps) else {
                continue;
            };
            if !is_excused(history, before, after) {
                found.push((*before, *after));
            }
        }
    }
    found
}

/// Returns whether an engine works on a request for too long after another has begun.
fn works_on(before: &RunSpan, after: &RunSpan) -> bool {
    let limit = after.start + END_TIME;
    let end = before.end.unwrap_or(Duration::MAX);
    before.engine != after.engine && (before.start..end).contains(&limit)
}

/// Returns whether the daemon of the run before was disturbed, so that it may have been late.
fn is_excused(history: &History, before: &RunSpan, after: &RunSpan) -> bool {
    let Some(attempt) = history.attempts.get(&before.id) else {
        return true;
    };
    let from = after.start.saturating_sub(CONTACT);
    let until = after.start + END_TIME;
    let mut spans = history.spans.iter().filter(|s| s.daemon == attempt.daemon);
    spans.any(|s| s.start <= until && s.end >= from)
}

fn text(before: &RunSpan, after: &RunSpan) -> String {
    let end = before.end.unwrap_or(Duration::MAX);
    let overlap = end.saturating_sub(after.start);
    format!(
        "{} worked on it for {overlap:?} after it had begun at {} after event {}",
        before.engine, after.engine, after.after
    )
}

/// Returns the number of requests that ran at more than one engine, and of streams taken up while
/// an engine worked on them.
pub fn summary(history: &History) -> String {
    let mut engines: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in &history.runs {
        let of_request = engines.entry(&run.id).or_default();
        if !of_request.contains(&&*run.engine) {
            of_request.push(&run.engine);
        }
    }
    format!(
        "{} requests ran at several engines, {} of them at two at once; {} streams taken up at once",
        engines.values().filter(|e| e.len() > 1).count(),
        left_running(history).len(),
        taken_up_running(history)
    )
}
