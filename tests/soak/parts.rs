//! Parts of prompts, some of which crash engines, one request that does as a whole, and the checks
//! that they are held.
//!
//! The parts follow from the id of a request, so that callers, engines and checks agree.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::record::{Attempt, EngineStep, History, Outcome, PartCrash, Step, id_number, sent_id};

/// Part that all prompts share.
const FIRST_PART: u64 = 0x5c1e_07a2;
/// Parts that crash engines as they begin to answer.
const CRASHING_PARTS: [u64; 2] = [0x91bd_3f06, 0x91bd_3f07];
/// Stands for the request that crashes engines as a whole.
const WHOLE_REQUEST: u64 = 0;
/// End of the ids under which it is sent.
const WHOLE_SUFFIX: &str = "-w";
/// Crashes of it after which its sendings count.
const COUNTED_WHOLE: usize = 3;
/// Sound parts beside them.
const OTHER_PARTS: u64 = 7;
/// Crashes of a part after which requests with it count.
const COUNTED_CRASHES: usize = 5;
/// Requests with a part that may reach engines then, from all daemons together.
const MAX_SENT: usize = 3;
/// Bound of the daemons' settings: for how long nothing must have disturbed a daemon.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which daemons may still keep to a rate that an engine no longer names.
const RATE_MARGIN: Duration = Duration::from_secs(1);
/// Sound requests of each kind from which they are compared.
const MIN_COUNT: usize = 20;
/// Part of the sound requests that must run, compared with those before the crashes.
const MIN_SHARE: f64 = 0.5;

/// Returns the end of the id of a request with a part that crashes engines, or of the one that
/// does as a whole.
pub fn crashing_suffix(number: usize, whole: bool) -> String {
    match whole {
        true => WHOLE_SUFFIX.to_owned(),
        false => format!("-c{}", number % CRASHING_PARTS.len()),
    }
}

/// Returns whether the request crashes engines as a whole: it is the same each time.
pub fn is_whole(id: &str) -> bool {
    sent_id(id).ends_with(WHOLE_SUFFIX)
}

fn counted_crashes(part: u64) -> usize {
    match part {
        WHOLE_REQUEST => COUNTED_WHOLE,
        _ => COUNTED_CRASHES,
    }
}

/// Returns the part of a request's prompt that crashes engines, if it has one.
pub fn crashing_part(id: &str) -> Option<u64> {
    if is_whole(id) {
        return Some(WHOLE_REQUEST);
    }
    let (_, number) = sent_id(id).split_once("-c")?;
    CRASHING_PARTS.get(number.parse::<usize>().ok()?).copied()
}

/// Returns the header with the parts of a request's prompt. The crashing one stands at any place
/// but the last.
pub fn prefix_header(id: &str) -> String {
    let whole = is_whole(id);
    let number = if whole { 0 } else { id_number(id) as u64 };
    let mut parts = vec![FIRST_PART, 0xa000 + number % OTHER_PARTS];
    if let Some(part) = crashing_part(id).filter(|_| !whole) {
        parts.insert(1 + (number / OTHER_PARTS % 2) as usize, part);
    }
    parts.push(0xb_0000_0000 + number);
    let texts: Vec<_> = parts.iter().map(|part| format!("{part:x}:30")).collect();
    texts.join(",")
}

/// Returns the parts of which too many requests reached engines after they had crashed five.
pub fn sent_too_late(history: &History) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for (part, crashes) in crashes_by_part(history) {
        let Some(counted_from) = crashes
            .get(counted_crashes(part) - 1)
            .map(|at| *at + CONTACT)
        else {
            continue;
        };
        let mut late = Vec::new();
        for (id, steps) in &history.steps {
            if crashing_part(id) != Some(part) {
                continue;
            }
            let Some(attempt) = history.attempts.get(id) else {
                continue;
            };
            let counts = |s: &&EngineStep| {
                matches!(s.step, Step::Arrived(_))
                    && s.at >= counted_from
                    && is_in_touch(history, attempt.daemon, s.at)
            };
            late.extend(steps.iter().filter(counts).map(|s| (s.at, id.clone())));
        }
        late.sort();
        if let Some((at, id)) = late.get(MAX_SENT) {
            let text = format!("part {part:x}: {} requests, this one at {at:?}", late.len());
            found.push((id.clone(), text));
        }
    }
    found
}

/// Returns how few sound requests ran while requests with crashing parts came.
pub fn sound_share_lost(history: &History) -> Option<(String, String)> {
    let by_part = crashes_by_part(history);
    let first = *by_part.values().flatten().min()?;
    let counted = by_part
        .iter()
        .filter_map(|(part, c)| c.iter().take(counted_crashes(*part)).next_back());
    let from = *counted.max()? + 2 * CONTACT;
    let crashing = history
        .attempts
        .iter()
        .filter(|(id, _)| crashing_part(id).is_some());
    let until = crashing.map(|(_, a)| a.started_at).max()?;
    let sound = || {
        let streams = history.attempts.iter().filter(|(_, a)| a.kind.is_stream());
        streams.filter(|(id, a)| {
            let in_touch = is_in_touch(history, a.daemon, a.started_at);
            let counts = in_touch && !is_rate_limited(history, a.started_at);
            crashing_part(id).is_none() && counts && !matches!(a.outcome, Outcome::NotSent)
        })
    };
    let share = |from: Duration, until: Duration| {
        let sent: Vec<_> = sound()
            .filter(|(_, a)| (from..until).contains(&a.started_at))
            .collect();
        let ran = sent.iter().filter(|(id, _)| history.runs(id) > 0).count();
        (sent.len(), ran as f64 / sent.len().max(1) as f64)
    };
    let (calm_count, calm) = share(Duration::ZERO, first);
    let (count, later) = share(from, until);
    if calm_count < MIN_COUNT || count < MIN_COUNT || later >= MIN_SHARE * calm {
        return None;
    }
    let text =
        format!("{later:.2} of {count} sound requests ran, {calm:.2} of {calm_count} before");
    let (id, _) = sound().find(|(_, a)| a.started_at >= from)?;
    Some((id.clone(), text))
}

/// Returns when engines crashed on each part, in order.
fn crashes_by_part(history: &History) -> BTreeMap<u64, Vec<Duration>> {
    let mut by_part: BTreeMap<u64, Vec<Duration>> = BTreeMap::new();
    for PartCrash { part, at } in &history.part_crashes {
        by_part.entry(*part).or_default().push(*at);
    }
    by_part.values_mut().for_each(|crashes| crashes.sort());
    by_part
}

/// Returns whether nothing disturbed a daemon or the store just before a moment.
pub fn is_in_touch(history: &History, daemon: usize, at: Duration) -> bool {
    let from = at.saturating_sub(CONTACT);
    let overlaps = |start: Duration, end: Duration| start <= at && end >= from;
    let mut spans = history.spans.iter().filter(|s| s.daemon == daemon);
    !spans.any(|s| overlaps(s.start, s.end))
        && !history
            .store_spans
            .iter()
            .any(|(start, end)| overlaps(*start, *end))
}

/// Returns whether an engine of models takes requests at a rate only: sound requests beyond it
/// are refused for that reason.
pub fn is_rate_limited(history: &History, at: Duration) -> bool {
    let of_models = history
        .rates
        .iter()
        .filter(|s| s.engine.starts_with("models"));
    let mut spans = of_models.map(|s| s.start..s.end + RATE_MARGIN);
    spans.any(|span| span.contains(&at))
}

/// Returns the number of requests with crashing parts, and of crashes on them.
pub fn summary(history: &History) -> String {
    let with_part = |a: &(&String, &Attempt)| crashing_part(a.0).is_some();
    let requests = history.attempts.iter().filter(with_part).count();
    let crashes = history.part_crashes.len();
    format!("{requests} requests with crashing parts, {crashes} crashes on them")
}
