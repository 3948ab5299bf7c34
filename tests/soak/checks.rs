//! The promises to callers, checked from the records of callers and engines.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::bookings;
use crate::callers::PROMISES;
use crate::customers;
use crate::disturbances::{GRACE, MIN_ROUTE_TIMEOUT};
use crate::engine_faults::EngineFault;
use crate::left_runs;
use crate::parts;
use crate::record::{
    Answer, Attempt, DesiredWrite, EngineStep, History, Outcome, RateSpan, Step, answer_body,
    sent_id,
};
use crate::versions;

/// Time after the last byte of a request within which a daemon may close a connection
/// without having read the request.
const LOSS_SLACK: Duration = Duration::from_millis(500);
/// Time around a stop of a daemon in which its requests may be lost.
const CONTACT: Duration = Duration::from_secs(1);

/// Time from the confirmation of a desired state after which requests are handled by it, and from
/// the end of a disturbance: the platform's bound.
pub const CONFIG_TIME: Duration = Duration::from_secs(2);

/// Share of its time after which a request may fail for want of time.
const EARLY_SHARE: f64 = 0.7;

/// Time after which a daemon that has passed on that an engine leaves sends it no request
/// that came later; the drain time of the daemons' settings.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// Time after an engine's response that asks for a pause at which the pause begins.
const PAUSE_DELAY: Duration = Duration::from_millis(500);
/// Time after a daemon has passed on a rate from which its requests count.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Window in which the requests at a rate are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Requests of one daemon that may reach an engine in a pause.
const MAX_IN_PAUSE: usize = 2;

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was refused with a promise ran.
    Refused,
    /// A request that may run once only ran more than once, or one went on at another engine
    /// while the engine before still worked on it.
    Twice,
    /// A response is not the engine's response to this request.
    Mixed,
    /// The events of a stream are not in order, not all there, or of two software versions.
    Order,
    /// A request got no complete response without a reason, sound requests did not run while
    /// others crashed engines, or streams did not go on that could.
    Lost,
    /// A request was given up while its engine was silent for a while only.
    GivenUp,
    /// A request was changed.
    Changed,
    /// A proper request was refused as improper.
    Denied,
    /// A request reached an engine after its daemon had passed on that the engine leaves.
    Drain,
    /// Requests reached an engine from a daemon that it had asked for a pause, or engines
    /// although their prompts have a part that crashes engines.
    Budget,
    /// A request was handled as only an older desired state allows.
    Config,
    /// Two daemons gave orders under one fencing number.
    One,
    /// More requests reached an engine than the rate that it had named.
    Limit,
    /// A request ran without a customer's key, or an engine saw a key or a wrong customer.
    Key,
    /// More requests of a customer ran than its cap allows, or a small one was starved.
    Cap,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub id: String,
    pub text: String,
}

/// Returns all violations.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, attempt) in &history.attempts {
        let mut add = |rule, text: String| {
            let id = id.clone();
            found.push(Violation { rule, id, text });
        };
        let runs = history.runs(id);
        if attempt.kind.runs_once() && runs > 1 {
            add(Rule::Twice, format!("{runs} runs"));
        }
        if history
            .steps(id)
            .iter()
            .any(|s| s.step == Step::Began(false))
        {
            add(Rule::Changed, "an engine got another body".to_owned());
        }
        if let Outcome::Answered(answer) = &attempt.outcome {
            if attempt.kind.runs_once() && PROMISES.contains(&answer.status) && runs > 0 {
                let text = format!("answered {}, {runs} runs", answer.status);
                add(Rule::Refused, text);
            }
            if let Some(text) = mixed(history, id, attempt, answer) {
                add(Rule::Mixed, text);
            }
            if (200..300).contains(&answer.status)
                && attempt.kind.is_stream()
                && let Some(text) = versions::disorder(history, id, attempt, answer)
            {
                add(Rule::Order, text);
            }
            let is_missing = answer.status == 404 && attempt.extra_route.is_some();
            let is_refused = (400..500).contains(&answer.status);
            let is_denied = answer.status == 401 && customers::may_be_denied(history, id, attempt);
            if is_refused && !is_missing && !is_denied && !PROMISES.contains(&answer.status) {
                add(Rule::Denied, format!("answered {}", answer.status));
            }
        }
        if let Some(text) = customers::wrong_keys(history, id, attempt) {
            add(Rule::Key, text);
        }
        if let Some(text) = outdated(history, attempt) {
            add(Rule::Config, text);
        }
        if let Some(text) = lost(history, id, attempt) {
            add(Rule::Lost, text);
        }
        if let Some(text) = given_up(history, id, attempt) {
            add(Rule::GivenUp, text);
        }
        if let Some(text) = sent_to_leaving(history, attempt) {
            add(Rule::Drain, text);
        }
        if let Some(text) = sent_in_pause(history, id, attempt) {
            add(Rule::Budget, text);
        }
    }
    for (id, text) in bookings::run_by_several_tries(history) {
        let rule = Rule::Twice;
        found.push(Violation { rule, id, text });
    }
    for (id, text) in bookings::refused_after_run(history) {
        let rule = Rule::Refused;
        found.push(Violation { rule, id, text });
    }
    for (id, text) in left_runs::left_running(history) {
        let rule = Rule::Twice;
        found.push(Violation { rule, id, text });
    }
    if let Some((id, text)) = shared_fence(history) {
        let rule = Rule::One;
        found.push(Violation { rule, id, text });
    }
    if let Some((id, text)) = versions::take_ups_lost(history) {
        let rule = Rule::Lost;
        found.push(Violation { rule, id, text });
    }
    for (id, text) in parts::sent_too_late(history) {
        let rule = Rule::Budget;
        found.push(Violation { rule, id, text });
    }
    if let Some((id, text)) = parts::sound_share_lost(history) {
        let rule = Rule::Lost;
        found.push(Violation { rule, id, text });
    }
    for span in &history.rates {
        if let Some((id, text)) = beyond_rate(history, span) {
            let rule = Rule::Limit;
            found.push(Violation { rule, id, text });
        }
    }
    for (rule, text) in customers::wrong_shares(history) {
        let id = String::new();
        found.push(Violation { rule, id, text });
    }
    found
}

/// Returns how a request for an additional route was handled as only a desired state allows that
/// is no longer in force.
fn outdated(history: &History, attempt: &Attempt) -> Option<String> {
    let (route, Outcome::Answered(answer)) = (attempt.extra_route?, &attempt.outcome) else {
        return None;
    };
    let from = attempt.started_at.saturating_sub(CONFIG_TIME);
    let disturbs = |(start, end): &(Duration, Duration)| {
        *start <= attempt.ended_at && *end + CONFIG_TIME >= attempt.started_at
    };
    let is_excused = history.store_spans.iter().any(disturbs)
        || is_interrupted(history, attempt.daemon, from, attempt.ended_at);
    if is_excused {
        return None;
    }
    let before = history.desired.iter().rfind(|d| d.at <= from);
    let later = history.desired.iter().filter(|d| d.at > from);
    let mut known = later.filter(|d| d.at <= attempt.ended_at).chain(before);
    let is_there = |d: &DesiredWrite| route < d.extra_routes;
    let text = match answer.status {
        404 if known.all(is_there) => "refused, though the route is there",
        200 if !known.any(is_there) => "served, though the route is gone",
        _ => return None,
    };
    Some(format!("{text}: {route}"))
}

/// Returns the fencing number under which two daemons gave orders, by the engine that got one.
fn shared_fence(history: &History) -> Option<(String, String)> {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for order in &history.orders {
        let holder = *holders.entry(order.fence).or_insert(&order.holder);
        if holder != order.holder {
            let text = format!("{holder} and {} under {}", order.holder, order.fence);
            return Some((order.engine.clone(), text));
        }
    }
    None
}

/// Returns the request that was too many for an engine that had named a rate, from all daemons
/// that it had told.
fn beyond_rate(history: &History, span: &RateSpan) -> Option<(String, String)> {
    let mut times = Vec::new();
    let mut daemons: Vec<_> = history.attempts.values().map(|a| a.daemon).collect();
    daemons.sort();
    daemons.dedup();
    for daemon in daemons {
        let told = told_at(history, span, daemon);
        for (id, step) in arrivals(history, &span.engine, daemon) {
            let is_told = |at: &Duration| {
                *at + TOLD_TIME <= step.at && !is_interrupted(history, daemon, *at, step.at)
            };
            let counts = (span.start + CONTACT..span.end).contains(&step.at);
            if counts && told.iter().any(is_told) {
                times.push((step.at, id));
            }
        }
    }
    times.sort();
    let allowed = 1.5 * span.rate * RATE_WINDOW.as_secs_f64() + 5.0;
    for (i, (end, id)) in times.iter().enumerate() {
        let from = end.saturating_sub(RATE_WINDOW);
        let count = times[..=i].iter().filter(|(at, _)| *at >= from).count();
        if count as f64 > allowed {
            let engine = &span.engine;
            let text = format!("{engine} got {count} in 4 s at a rate of {}", span.rate);
            return Some(((*id).to_owned(), text));
        }
    }
    None
}

/// Returns when a daemon passed on responses in which an engine named the rate.
fn told_at(history: &History, span: &RateSpan, daemon: usize) -> Vec<Duration> {
    let mut told = Vec::new();
    for attempt in history.attempts.values().filter(|a| a.daemon == daemon) {
        let Outcome::Answered(answer) = &attempt.outcome else {
            continue;
        };
        let engine = answer.stamp.split_once('.').map(|(engine, _)| engine);
        let is_named = answer.rate == Some(span.rate) && engine == Some(&*span.engine);
        if is_named && (span.start..span.end).contains(&answer.head_at) {
            told.push(answer.head_at);
        }
    }
    told
}

/// Returns which request reached an engine after the response to this one had told its
/// caller that the engine leaves.
fn sent_to_leaving(history: &History, attempt: &Attempt) -> Option<String> {
    let Outcome::Answered(answer) = &attempt.outcome else {
        return None;
    };
    let (engine, _) = answer.stamp.split_once('.').filter(|_| answer.leaving)?;
    for (later, step) in arrivals(history, engine, attempt.daemon) {
        let sent_at = history.attempts[later].started_at;
        let is_late = sent_at > answer.head_at + DRAIN_TIME;
        let misdirected = |s: &EngineStep| s.engine == engine && s.step == Step::Answered(421);
        if history.steps(later).iter().any(misdirected) {
            continue;
        }
        let excused = is_interrupted(history, attempt.daemon, answer.head_at, step.at);
        if is_late && !excused {
            let after = step.at - answer.head_at;
            return Some(format!("{engine} got {later} {after:?} after it had left"));
        }
    }
    None
}

/// Returns how many requests reached an engine in a pause that it asked for in its response to
/// this one, if they are too many.
fn sent_in_pause(history: &History, id: &str, attempt: &Attempt) -> Option<String> {
    for asked in history.steps(id) {
        let Step::Paused(pause) = asked.step else {
            continue;
        };
        let (start, end) = (asked.at + PAUSE_DELAY, asked.at + pause);
        let within = arrivals(history, &asked.engine, attempt.daemon)
            .filter(|(_, step)| (start..end).contains(&step.at))
            .count();
        if within > MAX_IN_PAUSE && !is_interrupted(history, attempt.daemon, asked.at, end) {
            return Some(format!(
                "{within} requests at {} in {pause:?}",
                asked.engine
            ));
        }
    }
    None
}

/// Returns the requests that reached a lifetime of an engine from a daemon.
fn arrivals<'a>(
    history: &'a History,
    engine: &'a str,
    daemon: usize,
) -> impl Iterator<Item = (&'a str, &'a EngineStep)> {
    let of_daemon = move |id: &str| history.attempts.get(id).is_some_and(|a| a.daemon == daemon);
    let steps = history.steps.iter().filter(move |(id, _)| of_daemon(id));
    let steps = steps.flat_map(|(id, steps)| steps.iter().map(move |s| (id.as_str(), s)));
    let arrived = |s: &EngineStep| matches!(s.step, Step::Arrived(_));
    steps.filter(move |(_, s)| s.engine == engine && arrived(s))
}

/// Returns whether a daemon was stopped, killed or shut down between two moments.
fn is_interrupted(history: &History, daemon: usize, from: Duration, until: Duration) -> bool {
    let mut spans = history.spans.iter().filter(|s| s.daemon == daemon);
    spans.any(|s| s.start <= until && s.end >= from)
}

/// Returns why a response is not the engine's response to this request.
fn mixed(history: &History, id: &str, attempt: &Attempt, answer: &Answer) -> Option<String> {
    // Attempts may share an id; the steps are those of one attempt.
    let sent = sent_id(id);
    // The daemon has not got the head, so it knows no id.
    let is_late = attempt.sent_at.is_none()
        || is_interrupted(
            history,
            attempt.daemon,
            attempt.started_at,
            attempt.ended_at,
        );
    let is_unread = is_late
        && answer.status == 408
        && answer.id.is_empty()
        && answer.stamp.is_empty()
        && answer.closes
        && history.steps(id).is_empty();
    if answer.id != sent && !is_unread {
        return Some(format!("the response has the id {:?}", answer.id));
    }
    let succeeded = (200..300).contains(&answer.status);
    if answer.stamp.is_empty() {
        return succeeded.then(|| "a success without a stamp".to_owned());
    }
    let Some((_, stamped)) = answer.stamp.split_once('.') else {
        return Some(format!("the stamp {:?}", answer.stamp));
    };
    if stamped != sent {
        return Some(format!("the stamp of {stamped}"));
    }
    let given = Step::Answered(answer.status);
    if !history.steps(id).iter().any(|s| s.step == given) {
        return Some(format!("no engine answered {}", answer.status));
    }
    let is_whole = succeeded && !attempt.kind.is_stream() && answer.complete;
    (is_whole && answer.body != answer_body(sent)).then(|| "another body".to_owned())
}

/// Returns how a request was lost although neither its engines nor its daemon were
/// disturbed.
fn lost(history: &History, id: &str, attempt: &Attempt) -> Option<String> {
    let sent_at = attempt.sent_at?;
    let how = match &attempt.outcome {
        Outcome::Answered(answer) if !answer.complete && !attempt.broken_off => {
            "an incomplete response"
        }
        Outcome::Closed => "closed without a response",
        Outcome::TimedOut => "no response",
        _ => return None,
    };
    let steps = history.steps(id);
    let on_time = is_early(attempt) || how == "no response";
    let is_read = !steps.is_empty() || attempt.ended_at.saturating_sub(sent_at) > LOSS_SLACK;
    let excused = steps.iter().any(|s| match s.step {
        Step::Arrived(fault) => fault.is_some_and(EngineFault::breaks_off),
        Step::Cut => true,
        _ => false,
    });
    if !on_time || !is_read || excused || is_disturbed(history, attempt) {
        return None;
    }
    Some(format!("{how}; {} steps at engines", steps.len()))
}

/// Returns the whole requests to undisturbed daemons that ended without a response,
/// though perhaps unread.
pub fn calm_closes(history: &History) -> Vec<&str> {
    let is_closed = |a: &Attempt| {
        matches!(a.outcome, Outcome::Closed) && a.sent_at.is_some() && !is_disturbed(history, a)
    };
    let closed = history.attempts.iter().filter(|(_, a)| is_closed(a));
    closed.map(|(id, _)| id.as_str()).collect()
}

/// Returns how a request that ran was given up early although its engines were at most
/// silent for a while.
fn given_up(history: &History, id: &str, attempt: &Attempt) -> Option<String> {
    let Outcome::Answered(answer) = &attempt.outcome else {
        return None;
    };
    let is_calm = |s: &EngineStep| match s.step {
        Step::Arrived(fault) => fault.is_none_or(EngineFault::is_silence),
        Step::Began(_) | Step::Ended | Step::Answered(200) => true,
        _ => false,
    };
    let is_unknown = answer.status == 504 && answer.stamp.is_empty();
    let is_calm = history.runs(id) > 0 && history.steps(id).iter().all(is_calm);
    let excused = !is_unknown || !is_calm || !is_early(attempt) || is_disturbed(history, attempt);
    (!excused).then(|| format!("answered {}", answer.status))
}

/// Returns whether an attempt ended well before any time limit.
fn is_early(attempt: &Attempt) -> bool {
    let waited = attempt.ended_at.saturating_sub(attempt.started_at);
    let limit = attempt.time_limit.min(MIN_ROUTE_TIMEOUT);
    waited < limit.mul_f64(EARLY_SHARE)
}

fn is_disturbed(history: &History, attempt: &Attempt) -> bool {
    for span in &history.spans {
        if span.daemon != attempt.daemon || attempt.ended_at < span.start {
            continue;
        }
        // Until the end of a shutdown, requests that are already late are excused.
        let sent_at = attempt.sent_at.unwrap_or(attempt.started_at);
        let excused = match span.planned {
            true => sent_at <= span.start + GRACE && attempt.ended_at >= span.start + GRACE * 5 / 6,
            false => attempt.started_at <= span.end + CONTACT,
        };
        if excused {
            return true;
        }
    }
    false
}
