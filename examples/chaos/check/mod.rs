//! Checks of the invariants against the stand-ins' journals and the record of
//! callers and operators.

mod engines;
mod requests;
mod versions;

use std::collections::BTreeMap;

use crate::env::Env;
use crate::record::{Note, Plan};

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// No model has more replicas than its limit.
    ReplicaLimit,
    /// No engine's memory is overcommitted.
    Memory,
    /// Every request is answered or refused.
    Lost,
    /// Every request is answered or refused in time.
    Late,
    /// Each caller gets the whole answer to its own request.
    WrongAnswer,
    /// A booking runs at most once.
    RunTwice,
    /// A booking that did not run has not run.
    FalseNotRun,
    /// A booking's answer is that of its run.
    WrongBooking,
    /// No planned unload cuts off a stream.
    Cut,
    /// A leaving engine gets no new work.
    WorkAfterLeaving,
    /// A leaving host is in nobody's entry answer.
    NamedAfterLeaving,
    /// A configuration version never goes back.
    VersionBack,
    /// An accepted version is in force everywhere within seconds.
    VersionSlow,
    /// No two patches make one version, and none that was accepted is missing.
    VersionLost,
    /// A drained daemon exits with code 0.
    DrainExit,
    /// A request that crashes engines costs at most two.
    PoisonCost,
    /// Once all faults have healed, everything is served.
    NotServed,
}

/// Outcome of the checks.
#[derive(Debug, Default)]
pub struct Findings {
    /// Violations by invariant.
    pub violations: BTreeMap<Invariant, Vec<String>>,
    /// Counts by name.
    pub totals: BTreeMap<String, usize>,
}

impl Findings {
    /// Notes a violation.
    pub fn violate(&mut self, invariant: Invariant, what: String) {
        self.violations.entry(invariant).or_default().push(what);
    }

    /// Adds to a total.
    pub fn count(&mut self, name: impl Into<String>, number: usize) {
        *self.totals.entry(name.into()).or_default() += number;
    }

    /// Prints totals and violations.
    pub fn print(&self) {
        for (name, number) in &self.totals {
            println!("{name:<40} {number}");
        }
        for (invariant, all) in &self.violations {
            println!("VIOLATED {invariant}: {}", all.len());
            for what in all.iter().take(SHOWN) {
                println!("  {what}");
            }
        }
    }
}

/// Violations of one invariant that are printed.
const SHOWN: usize = 10;

/// Checks everything.
pub fn check(env: &Env, plan: &Plan, notes: &[Note], findings: &mut Findings) {
    engines::check(env, plan, findings);
    requests::check(env, plan, notes, findings);
    versions::check(env, plan, notes, findings);
    for exit in &plan.exits {
        findings.violate(Invariant::DrainExit, exit.clone());
    }
    for (fault, number) in &plan.faults {
        findings.count(format!("faults: {fault}"), *number);
    }
}
