//! Checks the invariants against the journals of the fakes and the history of
//! callers and operators.

mod engines;
mod requests;
mod versions;

use std::collections::BTreeMap;

use crate::env::Env;
use crate::history::{Event, FaultLog};

/// An invariant that must hold throughout the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// No model has more replicas than its limit.
    ReplicaLimit,
    /// No engine's memory is overcommitted.
    Memory,
    /// Every request is answered or refused.
    Lost,
    /// Every request gets its first token or its refusal in time.
    Late,
    /// A caller gets only the answer to its own request, and all of it if it is complete.
    WrongAnswer,
    /// A booking runs at most once.
    RunTwice,
    /// A booking that was finally reported as `not_run` has not run.
    FalseNotRun,
    /// The answer to a booking comes from a run of that booking.
    WrongBooking,
    /// No planned unload interrupts a stream.
    Cut,
    /// A leaving engine receives no new requests.
    WorkAfterLeaving,
    /// No host lists a leaving host.
    NamedAfterLeaving,
    /// The configuration version of a host never decreases.
    VersionBack,
    /// An accepted version is in force everywhere within seconds.
    VersionSlow,
    /// No two patches create the same version, and no accepted version is lost.
    VersionLost,
    /// A drained daemon exits with code 0.
    DrainExit,
    /// A request that crashes engines crashes at most two.
    PoisonCost,
    /// Once all faults have ended, every model is served.
    NotServed,
}

/// Results of the checks.
#[derive(Debug, Default)]
pub struct CheckReport {
    /// Violations by invariant.
    pub violations: BTreeMap<Invariant, Vec<String>>,
    /// Totals by name.
    pub totals: BTreeMap<String, usize>,
}

impl CheckReport {
    /// Records a violation.
    pub fn add_violation(&mut self, invariant: Invariant, detail: String) {
        self.violations.entry(invariant).or_default().push(detail);
    }

    /// Adds to a total.
    pub fn add_count(&mut self, name: impl Into<String>, count: usize) {
        *self.totals.entry(name.into()).or_default() += count;
    }

    /// Prints totals and violations.
    pub fn print(&self) {
        for (name, count) in &self.totals {
            println!("{name:<40} {count}");
        }
        for (invariant, all) in &self.violations {
            println!("VIOLATED {invariant}: {}", all.len());
            for detail in all.iter().take(MAX_PRINTED) {
                println!("  {detail}");
            }
        }
    }
}

/// Maximum number of printed violations of one invariant.
const MAX_PRINTED: usize = 10;

/// Checks all invariants except [`Invariant::NotServed`], which the run checks itself.
pub fn check(env: &Env, fault_log: &FaultLog, events: &[Event], report: &mut CheckReport) {
    engines::check(env, fault_log, report);
    requests::check(env, fault_log, events, report);
    versions::check(env, fault_log, events, report);
    for exit in &fault_log.failed_drains {
        report.add_violation(Invariant::DrainExit, exit.clone());
    }
    for (fault, count) in &fault_log.fault_counts {
        report.add_count(format!("faults: {fault}"), *count);
    }
}
