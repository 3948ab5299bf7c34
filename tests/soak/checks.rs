//! The promises to callers, checked from the records of callers and engines.

use std::time::Duration;

use crate::callers::PROMISES;
use crate::disturbances::GRACE;
use crate::engine_faults::EngineFault;
use crate::record::{
    Answer, Attempt, EngineStep, History, Outcome, Step, answer_body, event_count, event_text,
};

/// Time after the last byte of a request within which a daemon may close a connection
/// without having read the request.
const LOSS_SLACK: Duration = Duration::from_millis(500);
/// Time around a stop of a daemon in which its requests may be lost.
const CONTACT: Duration = Duration::from_secs(1);

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was refused with a promise ran.
    Refused,
    /// A request that may run once only ran more than once.
    Twice,
    /// A response is not the engine's response to this request.
    Mixed,
    /// The events of a stream are not in order, or not all there.
    Order,
    /// A request got no complete response without a reason.
    Lost,
    /// A request was changed.
    Changed,
    /// A proper request was refused as improper.
    Denied,
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
                && let Some(text) = disorder(id, answer)
            {
                add(Rule::Order, text);
            }
            if (400..500).contains(&answer.status) && !PROMISES.contains(&answer.status) {
                add(Rule::Denied, format!("answered {}", answer.status));
            }
        }
        if let Some(text) = lost(history, id, attempt) {
            add(Rule::Lost, text);
        }
    }
    found
}

/// Returns why a response is not the engine's response to this request.
fn mixed(history: &History, id: &str, attempt: &Attempt, answer: &Answer) -> Option<String> {
    if answer.id != id {
        return Some(format!("the response has the id {:?}", answer.id));
    }
    let succeeded = (200..300).contains(&answer.status);
    if answer.stamp.is_empty() {
        return succeeded.then(|| "a success without a stamp".to_owned());
    }
    let Some((_, stamped)) = answer.stamp.split_once('.') else {
        return Some(format!("the stamp {:?}", answer.stamp));
    };
    if stamped != id {
        return Some(format!("the stamp of {stamped}"));
    }
    let given = Step::Answered(answer.status);
    if !history.steps(id).iter().any(|s| s.step == given) {
        return Some(format!("no engine answered {}", answer.status));
    }
    let is_whole = succeeded && !attempt.kind.is_stream() && answer.complete;
    (is_whole && answer.body != answer_body(id)).then(|| "another body".to_owned())
}

/// Returns what is wrong with the events of a stream.
fn disorder(id: &str, answer: &Answer) -> Option<String> {
    let last = event_count(id);
    let whole: String = (1..=last).map(|n| event_text(id, n)).collect();
    if answer.complete && answer.body != whole.as_bytes() {
        return Some("complete with other events".to_owned());
    }
    let is_start = whole.as_bytes().starts_with(&answer.body);
    (!is_start).then(|| "the events are not the first ones".to_owned())
}

/// Returns how a request was lost although neither its engines nor its daemon were
/// disturbed.
fn lost(history: &History, id: &str, attempt: &Attempt) -> Option<String> {
    let sent_at = attempt.sent_at?;
    let how = match &attempt.outcome {
        Outcome::Answered(answer) if !answer.complete => "an incomplete response",
        Outcome::Closed => "closed without a response",
        Outcome::TimedOut => "no response",
        _ => return None,
    };
    let steps = history.steps(id);
    let waited = attempt.ended_at.saturating_sub(attempt.started_at);
    let on_time = waited < attempt.time_limit.mul_f64(0.7) || how == "no response";
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

/// Returns the requests to undisturbed daemons that failed early, with an answer that
/// promises nothing, although their engines were at most silent for a while.
pub fn calm_failures(history: &History) -> Vec<&str> {
    let is_failed = |id: &str, a: &Attempt| {
        let Outcome::Answered(answer) = &a.outcome else {
            return false;
        };
        let is_calm = |s: &EngineStep| match s.step {
            Step::Arrived(fault) => fault.is_none_or(EngineFault::is_silence),
            Step::Began(_) | Step::Ended | Step::Answered(200) => true,
            _ => false,
        };
        let waited = a.ended_at.saturating_sub(a.started_at);
        answer.status >= 500
            && answer.status != 503
            && waited < a.time_limit.mul_f64(0.7)
            && history.steps(id).iter().all(is_calm)
            && !is_disturbed(history, a)
    };
    let failed = history.attempts.iter().filter(|(id, a)| is_failed(id, a));
    failed.map(|(id, _)| id.as_str()).collect()
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
