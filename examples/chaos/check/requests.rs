//! Checks of completion requests and bookings.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{CheckReport, Invariant};
use crate::env::Env;
use crate::history::{BookingRecord, Event, FaultLog, RequestRecord};

/// Time after its deadline within which a request must have its first token or refusal.
const DEADLINE_MARGIN: Duration = Duration::from_secs(3);

/// Checks all requests and bookings.
pub fn check(env: &Env, fault_log: &FaultLog, events: &[Event], report: &mut CheckReport) {
    let mut bookings: BTreeMap<&str, Vec<&BookingRecord>> = BTreeMap::new();
    let mut poisons: BTreeSet<&str> = BTreeSet::new();
    for event in events {
        match event {
            Event::Request(record) => {
                if record.poison {
                    poisons.insert(&record.prompt);
                }
                check_request(env, fault_log, record, report);
            }
            Event::Booking(record) => bookings.entry(&record.key).or_default().push(record),
            _ => {}
        }
    }
    report.add_count("bookings", bookings.len());
    let runs = env.site.service.state.get().runs;
    report.add_count("bookings run", runs.len());
    for (key, attempts) in &bookings {
        let own_runs = runs.iter().enumerate().filter(|(_, r)| r.key == *key);
        let own_runs: Vec<u64> = own_runs.map(|(i, _)| i as u64 + 1).collect();
        check_booking(fault_log, key, attempts, &own_runs, report);
    }
    // Each prompt that crashes engines may crash two, however often it was sent.
    let limit = poisons.len() * 2;
    report.add_count("engines lost to requests", fault_log.request_crashes);
    if fault_log.request_crashes > limit {
        let detail = format!("{} engines, at most {limit}", fault_log.request_crashes);
        report.add_violation(Invariant::PoisonCost, detail);
    }
}

fn check_request(
    env: &Env,
    fault_log: &FaultLog,
    record: &RequestRecord,
    report: &mut CheckReport,
) {
    report.add_count("requests sent", 1);
    let reply = &record.reply;
    let expected = env.expected_text(&record.prompt);
    if !expected.starts_with(&reply.text) || (reply.complete && reply.text != expected) {
        let detail = format!("{record:?}");
        report.add_violation(Invariant::WrongAnswer, detail);
    }
    if let Some(first) = reply.first_token {
        check_deadline(
            fault_log,
            record.host,
            record.from,
            first,
            record.deadline,
            record,
            report,
        );
    }
    if reply.complete {
        return report.add_count("requests answered", 1);
    }
    if record.disconnected {
        return report.add_count("requests hung up", 1);
    }
    if !reply.error_code.is_empty() {
        report.add_count(format!("requests refused: {}", reply.error_code), 1);
        if reply.first_token.is_none() {
            let elapsed = record.until - record.from;
            check_deadline(
                fault_log,
                record.host,
                record.from,
                elapsed,
                record.deadline,
                record,
                report,
            );
        }
        return;
    }
    if fault_log
        .killed_hosts
        .overlaps(record.host, record.from, record.until)
    {
        return report.add_count("requests whose host died", 1);
    }
    report.add_violation(Invariant::Lost, format!("{record:?}"));
}

/// Checks the elapsed time against a deadline. Time in which the host was paused
/// does not count.
fn check_deadline(
    fault_log: &FaultLog,
    host: usize,
    from: Instant,
    elapsed: Duration,
    deadline: Duration,
    record: &dyn std::fmt::Debug,
    report: &mut CheckReport,
) {
    let paused = fault_log.frozen_hosts.overlap(host, from, from + elapsed);
    if elapsed > deadline + DEADLINE_MARGIN + paused {
        report.add_violation(Invariant::Late, format!("{elapsed:?}: {record:?}"));
    }
}

fn check_booking(
    fault_log: &FaultLog,
    key: &str,
    attempts: &[&BookingRecord],
    runs: &[u64],
    report: &mut CheckReport,
) {
    if runs.len() > 1 {
        report.add_violation(Invariant::RunTwice, format!("{key}: {runs:?} {attempts:?}"));
    }
    for record in attempts {
        report.add_count("booking requests", 1);
        let reply = &record.reply;
        let elapsed = record.until - record.from;
        match reply.status {
            0 if fault_log
                .killed_hosts
                .overlaps(record.host, record.from, record.until) =>
            {
                report.add_count("booking requests whose host died", 1);
            }
            0 => report.add_violation(Invariant::Lost, format!("{record:?}")),
            200 => {
                report.add_count("booking requests answered", 1);
                if !runs.contains(&reply.run) {
                    let detail = format!("{runs:?} {record:?}");
                    report.add_violation(Invariant::WrongBooking, detail);
                }
            }
            _ => {
                report.add_count(format!("booking requests refused: {}", reply.kind), 1);
                check_deadline(
                    fault_log,
                    record.host,
                    record.from,
                    elapsed,
                    record.deadline,
                    record,
                    report,
                );
            }
        }
    }
    let last = attempts.last().map(|s| s.reply.kind.as_str());
    if last == Some("not_run") && !runs.is_empty() {
        let detail = format!("{key}: {runs:?} {attempts:?}");
        report.add_violation(Invariant::FalseNotRun, detail);
    }
}
