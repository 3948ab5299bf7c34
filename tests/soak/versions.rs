//! Checks of streams: their events, and that they go on at the software version that began them.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::engine::SOFTWARE;
use crate::http::{event_id, event_software, whole_events};
use crate::parts::{crashing_part, is_in_touch, is_rate_limited};
use crate::record::{Answer, Attempt, History, Kind, Outcome, event_count, event_text, sent_id};

/// Number of streams taken up from which their share is checked.
const MIN_TAKE_UPS: usize = 12;
/// Share of the new streams' share that goes on at least.
const MIN_SHARE: f64 = 0.5;
/// Engines of a version that serve while a stream of it is taken up.
const MIN_ENGINES: usize = 2;
/// Time before a take-up from which these engines have served.
const SETTLED: Duration = Duration::from_secs(2);

/// Returns what is wrong with the events of a stream.
pub fn disorder(history: &History, id: &str, attempt: &Attempt, answer: &Answer) -> Option<String> {
    let take_up = attempt.take_up.as_ref();
    let (first, after) = take_up.map_or((sent_id(id), 0), |t| (&*t.first, t.after));
    let events = whole_events(&answer.body);
    let ids: Vec<_> = events.iter().filter_map(|event| event_id(event)).collect();
    let last = event_count(first);
    let expected: Vec<_> = (after + 1..=last).collect();
    if answer.complete && ids != expected {
        return Some(format!("complete with the events {ids:?} of {expected:?}"));
    }
    if !expected.starts_with(&ids) {
        return Some(format!(
            "the events {ids:?} are not the first of {expected:?}"
        ));
    }
    let mut versions: BTreeSet<&str> = events.iter().filter_map(|e| event_software(e)).collect();
    let mut whole = String::new();
    for (event, id) in events.iter().zip(&ids) {
        let software = event_software(event).unwrap_or_default();
        whole.push_str(&event_text(first, *id, software));
    }
    let next = ids.last().map_or(after, |id| *id) + 1;
    let is_start = SOFTWARE.iter().any(|software| {
        let text = whole.clone() + &event_text(first, next, software);
        text.as_bytes().starts_with(&answer.body)
    });
    if !is_start {
        return Some("the events are not those of the stream".to_owned());
    }
    if take_up.is_some() {
        versions.extend(software_of(history, first));
    }
    (versions.len() > 1).then(|| format!("events of the versions {versions:?}"))
}

/// Returns the version that began the stream of an attempt.
fn software_of<'a>(history: &'a History, first: &str) -> Option<&'a str> {
    let Outcome::Answered(answer) = &history.attempts.get(first)?.outcome else {
        return None;
    };
    whole_events(&answer.body)
        .first()
        .and_then(|event| event_software(event))
}

/// Returns the first of the streams that were taken up and did not go on, if too few did although
/// engines of their versions served.
pub fn take_ups_lost(history: &History) -> Option<(String, String)> {
    let counted = |take_up: bool| {
        history.attempts.iter().filter(move |(id, a)| {
            a.kind == Kind::Stream
                && a.take_up.is_some() == take_up
                && crashing_part(id).is_none()
                && is_calm(history, a)
        })
    };
    let taken: Vec<_> = counted(true)
        .filter(|(_, a)| could_go_on(history, a))
        .collect();
    let new: Vec<_> = counted(false).collect();
    let share = |attempts: &[(&String, &Attempt)]| {
        let runs = attempts.iter().filter(|(_, a)| goes_on(a)).count();
        runs as f64 / attempts.len().max(1) as f64
    };
    let (taken_share, new_share) = (share(&taken), share(&new));
    if taken.len() < MIN_TAKE_UPS || taken_share >= MIN_SHARE * new_share {
        return None;
    }
    let (id, _) = taken.iter().find(|(_, a)| !goes_on(a))?;
    let count = taken.len();
    let text =
        format!("{taken_share:.2} of {count} streams went on, {new_share:.2} of new ones began");
    Some(((*id).clone(), text))
}

/// Returns whether nothing disturbed the daemon of an attempt, and its caller waited for it.
fn is_calm(history: &History, attempt: &Attempt) -> bool {
    let in_touch = |at| is_in_touch(history, attempt.daemon, at);
    let is_limited = is_rate_limited(history, attempt.started_at);
    let waited = !matches!(attempt.outcome, Outcome::NotSent | Outcome::Left);
    waited && !is_limited && in_touch(attempt.started_at) && in_touch(attempt.ended_at)
}

/// Returns whether engines of the version of a stream served all the while.
fn could_go_on(history: &History, attempt: &Attempt) -> bool {
    let take_up = attempt.take_up.as_ref();
    let Some(software) = take_up.and_then(|t| software_of(history, &t.first)) else {
        return false;
    };
    let from = attempt.started_at.saturating_sub(SETTLED);
    let names: BTreeSet<_> = history.services.iter().map(|s| &s.engine).collect();
    let serves = |name: &&&String| {
        let changes = history.services.iter().filter(|s| s.engine == ***name);
        let before = changes.clone().rfind(|s| s.at <= from);
        let mut within = changes.filter(|s| s.at > from && s.at <= attempt.ended_at);
        let is_version = before.is_some_and(|s| s.software.as_deref() == Some(software));
        name.starts_with("models") && is_version && within.next().is_none()
    };
    names.iter().filter(serves).count() >= MIN_ENGINES
}

/// Returns whether a caller got events, or the end of its stream.
fn goes_on(attempt: &Attempt) -> bool {
    let Outcome::Answered(answer) = &attempt.outcome else {
        return false;
    };
    answer.status == 200 && (answer.complete || !whole_events(&answer.body).is_empty())
}

/// Returns the number of streams that were taken up, and of those that went on.
pub fn summary(history: &History) -> String {
    let taken = || history.attempts.values().filter(|a| a.take_up.is_some());
    let counted = taken().filter(|a| is_calm(history, a) && could_go_on(history, a));
    format!(
        "{} streams taken up, {} went on; {} in touch with engines of their version",
        taken().count(),
        taken().filter(|a| goes_on(a)).count(),
        counted.count(),
    )
}
