//! Reports of engine crashes during a request, shared with all daemons.

use std::collections::{BTreeMap, BTreeSet};

use crossbeam::channel::Sender;

use crate::clock::Moment;
use crate::config::Name;
use crate::operators::status::HeldStatus;
use crate::peer::wire::{Body, Cancel, CrashReport, CrashReportAck};
use crate::suspects::{Fingerprint, Suspects};

use super::{Control, Effect};

/// A crash report of this daemon that some daemons have not yet acknowledged.
pub(super) struct UnsettledReport {
    fingerprint: Fingerprint,
    awaited_hosts: BTreeSet<Name>,
    settled: Sender<()>,
}

impl Control {
    /// Sends a crash report of this daemon, or its release, to all peers.
    pub(super) fn share_report(&mut self, report: CrashReport, now: Moment) {
        if report.released {
            self.free_waiting(&report.fingerprint, now);
        }
        self.broadcast_crash_report(report);
    }

    fn broadcast_crash_report(&mut self, report: CrashReport) {
        self.effects
            .push(Effect::Broadcast(Body::CrashReport(report)));
    }

    /// Sends a crash report to all peers; `settled` is notified once no daemon runs
    /// the request any more.
    pub(super) fn share_crash_report(
        &mut self,
        report: CrashReport,
        settled: Sender<()>,
        now: Moment,
    ) {
        let fingerprint = Fingerprint::from(report.fingerprint.as_str());
        self.unsettled_reports.push(UnsettledReport {
            fingerprint: fingerprint.clone(),
            awaited_hosts: self.members.alive_hosts(now).into_iter().collect(),
            settled,
        });
        self.broadcast_crash_report(report);
        let host = self.identity.host.clone();
        self.acknowledge_crash(&host, fingerprint);
    }

    /// Merges a crash report of a peer and acknowledges it.
    pub(super) fn handle_crash_report(&mut self, from: &Name, report: &CrashReport, now: Moment) {
        let mut suspects = self.lock_suspects();
        suspects.merge(report, now);
        let release = suspects.refute(report, now);
        drop(suspects);
        if report.released {
            self.free_waiting(&report.fingerprint, now);
        }
        if let Some(release) = release {
            self.broadcast_crash_report(release);
        }
        if !report.released {
            self.acknowledge_crash(from, report.fingerprint.as_str().into());
        }
    }

    /// Acknowledges a crash report of `to` once this daemon does not run the request:
    /// at once, or when the last copy of the request here ends.
    fn acknowledge_crash(&mut self, to: &Name, fingerprint: Fingerprint) {
        if self.in_flight.idle_or_watch(&fingerprint) {
            self.send_crash_ack(to, &fingerprint);
            return;
        }
        self.pending_acks
            .entry(fingerprint)
            .or_default()
            .push(to.clone());
    }

    fn send_crash_ack(&mut self, to: &Name, fingerprint: &Fingerprint) {
        let fingerprint = fingerprint.to_string();
        self.send(to, Body::CrashReportAck(CrashReportAck { fingerprint }));
    }

    /// Sends the pending acknowledgements after the last request with this
    /// fingerprint ended here.
    pub(super) fn in_flight_ended(&mut self, fingerprint: &Fingerprint) {
        for host in self.pending_acks.remove(fingerprint).unwrap_or_default() {
            self.send_crash_ack(&host, fingerprint);
        }
    }

    /// Records that `host` does not run the request.
    pub(super) fn handle_crash_ack(&mut self, host: &Name, fingerprint: &str) {
        for report in &mut self.unsettled_reports {
            if &*report.fingerprint == fingerprint {
                report.awaited_hosts.remove(host);
            }
        }
        self.complete_settled();
    }

    /// Stops waiting for acknowledgements of `host`, whose link is closed.
    pub(super) fn skip_acks_of(&mut self, host: &Name) {
        for report in &mut self.unsettled_reports {
            report.awaited_hosts.remove(host);
        }
        self.complete_settled();
    }

    fn complete_settled(&mut self) {
        self.unsettled_reports.retain(|report| {
            let done = report.awaited_hosts.is_empty();
            if done {
                // The request may have been cancelled.
                let _ = report.settled.try_send(());
            }
            !done
        });
    }

    /// Sends all known crash reports to a newly linked peer.
    pub(super) fn send_crash_reports(&mut self, host: &Name, now: Moment) {
        let reports = self.lock_suspects().crash_reports(now);
        for report in reports {
            self.send(host, Body::CrashReport(report));
        }
    }

    /// Ends the trial of a suspect at the owner that granted it.
    pub(super) fn end_trial(&mut self, ticket: &Name, model: &Name) {
        let Some(pool) = self.config.models.get(model).map(|m| m.pool.clone()) else {
            return;
        };
        let Some(owner) = self.pool_owner(&pool) else {
            return;
        };
        let ticket = ticket.to_string();
        self.send(&owner, Body::Cancel(Cancel { ticket }));
    }

    /// Returns the requests that are held because engines crashed while running
    /// them.
    pub fn held_requests(&self, now: Moment) -> Vec<HeldStatus> {
        let held = self.lock_suspects().held_requests(now);
        held.into_iter()
            .map(|h| HeldStatus {
                fingerprint: h.fingerprint,
                model: h.model,
                instances: h.instances,
            })
            .collect()
    }

    /// Releases a held request on all hosts; returns false when none has
    /// `fingerprint`.
    pub fn release_held(&mut self, fingerprint: &str, now: Moment) -> bool {
        let releases = self.lock_suspects().release_held(fingerprint, now);
        if releases.is_empty() {
            return false;
        }
        log::info!("released held request {fingerprint}");
        for release in releases {
            self.share_report(release, now);
        }
        true
    }

    /// Returns the instances of the engines of a pool.
    pub(super) fn instances(&self, pool: &Name) -> BTreeMap<String, String> {
        let state = self.pool_states.get(pool);
        let engines = state.iter().flat_map(|s| &s.engines);
        let instances = engines.map(|e| (e.engine.clone(), e.instance.clone()));
        instances.collect()
    }

    /// Records the end of the instances that were there `before` and have another one in their
    /// place.
    pub(super) fn record_replaced(
        &mut self,
        before: &BTreeMap<String, String>,
        pool: &Name,
        now: Moment,
    ) {
        for (engine, instance) in self.instances(pool) {
            let Some(ended) = before.get(&engine) else {
                continue;
            };
            if *ended == instance || ended.is_empty() {
                continue;
            }
            let reports = self.lock_suspects().record_ended(ended, now);
            if reports.is_empty() {
                continue;
            }
            log::info!(
                "engine {engine} ended as instance {ended}, where requests were given up: {} crash reports",
                reports.len()
            );
            for report in reports {
                self.broadcast_crash_report(report);
            }
        }
    }

    pub(super) fn lock_suspects(&self) -> std::sync::MutexGuard<'_, Suspects> {
        self.suspects
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
