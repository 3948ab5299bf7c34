//! Requests and bookings.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Findings, Invariant};
use crate::env::Env;
use crate::record::{Asked, Note, Plan, Sent};

/// Time beyond its deadline by which a request has its first token or refusal.
const MARGIN: Duration = Duration::from_secs(3);

/// Checks all requests and bookings.
pub fn check(env: &Env, plan: &Plan, notes: &[Note], findings: &mut Findings) {
    let mut bookings: BTreeMap<&str, Vec<&Sent>> = BTreeMap::new();
    let mut poisons = 0;
    for note in notes {
        match note {
            Note::Asked(asked) => {
                poisons += usize::from(asked.poison);
                request(env, plan, asked, findings);
            }
            Note::Sent(sent) => bookings.entry(&sent.key).or_default().push(sent),
            _ => {}
        }
    }
    findings.count("bookings", bookings.len());
    let runs = env.site.service.state.get().runs;
    findings.count("bookings run", runs.len());
    for (key, sendings) in &bookings {
        let mine = runs.iter().enumerate().filter(|(_, r)| r.key == *key);
        let mine: Vec<u64> = mine.map(|(i, _)| i as u64 + 1).collect();
        booking(plan, key, sendings, &mine, findings);
    }
    // Each prompt that crashes engines is sent three times.
    let most = poisons.div_ceil(3) * 2;
    findings.count("engines lost to requests", plan.crashes);
    if plan.crashes > most {
        let what = format!("{} engines, at most {most}", plan.crashes);
        findings.violate(Invariant::PoisonCost, what);
    }
}

fn request(env: &Env, plan: &Plan, asked: &Asked, findings: &mut Findings) {
    findings.count("requests sent", 1);
    let answer = &asked.answer;
    let whole = env.expected_text(&asked.prompt);
    if !whole.starts_with(&answer.text) || (answer.complete && answer.text != whole) {
        let what = format!("{asked:?}");
        findings.violate(Invariant::WrongAnswer, what);
    }
    if let Some(first) = answer.first_token {
        in_time(
            plan,
            asked.host,
            asked.from,
            first,
            asked.deadline,
            asked,
            findings,
        );
    }
    if answer.complete {
        return findings.count("requests answered", 1);
    }
    if asked.hung {
        return findings.count("requests hung up", 1);
    }
    if !answer.error_code.is_empty() {
        findings.count(format!("requests refused: {}", answer.error_code), 1);
        if answer.first_token.is_none() {
            let took = asked.until - asked.from;
            in_time(
                plan,
                asked.host,
                asked.from,
                took,
                asked.deadline,
                asked,
                findings,
            );
        }
        return;
    }
    if plan.killed.meets(asked.host, asked.from, asked.until) {
        return findings.count("requests whose host died", 1);
    }
    findings.violate(Invariant::Lost, format!("{asked:?}"));
}

/// Checks a time against a deadline; time in which the host was paused does
/// not count.
fn in_time(
    plan: &Plan,
    host: usize,
    from: Instant,
    took: Duration,
    deadline: Duration,
    what: &dyn std::fmt::Debug,
    findings: &mut Findings,
) {
    let paused = plan.frozen.shared(host, from, from + took);
    if took > deadline + MARGIN + paused {
        findings.violate(Invariant::Late, format!("{took:?}: {what:?}"));
    }
}

fn booking(plan: &Plan, key: &str, sendings: &[&Sent], runs: &[u64], findings: &mut Findings) {
    if runs.len() > 1 {
        findings.violate(Invariant::RunTwice, format!("{key}: {runs:?} {sendings:?}"));
    }
    for sent in sendings {
        findings.count("booking requests", 1);
        let booked = &sent.booked;
        let took = sent.until - sent.from;
        match booked.status {
            0 if plan.killed.meets(sent.host, sent.from, sent.until) => {
                findings.count("booking requests whose host died", 1);
            }
            0 => findings.violate(Invariant::Lost, format!("{sent:?}")),
            200 => {
                findings.count("booking requests answered", 1);
                if !runs.contains(&booked.run) {
                    let what = format!("{runs:?} {sent:?}");
                    findings.violate(Invariant::WrongBooking, what);
                }
            }
            _ => {
                findings.count(format!("booking requests refused: {}", booked.kind), 1);
                in_time(
                    plan,
                    sent.host,
                    sent.from,
                    took,
                    sent.deadline,
                    sent,
                    findings,
                );
            }
        }
    }
    let last = sendings.last().map(|s| s.booked.kind.as_str());
    if last == Some("not_run") && !runs.is_empty() {
        let what = format!("{key}: {runs:?} {sendings:?}");
        findings.violate(Invariant::FalseNotRun, what);
    }
}
