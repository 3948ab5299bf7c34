//! Strikes against requests that crash engines, shared with all daemons.

use std::collections::BTreeSet;

use crossbeam::channel::Sender;

use crate::clock::Moment;
use crate::config::Name;
use crate::operators::status::HeldStatus;
use crate::peer::wire::{Body, Cancel, CrashReport, CrashReportAck};
use crate::suspects::{Fingerprint, Suspects};

use super::{Act, Control};

/// A strike that daemons have not yet acknowledged.
pub(super) struct Settling {
    print: Fingerprint,
    waiting: BTreeSet<Name>,
    settled: Sender<()>,
}

impl Control {
    /// Tells all peers of a strike that this daemon recorded, or took back.
    pub(super) fn tell_strike(&mut self, strike: CrashReport) {
        self.acts.push(Act::Broadcast(Body::CrashReport(strike)));
    }

    /// Tells all peers of a strike; `settled` gets a word once no daemon runs
    /// the request any more.
    pub(super) fn struck(&mut self, strike: CrashReport, settled: Sender<()>, now: Moment) {
        let print = Fingerprint::from(strike.fingerprint.as_str());
        self.settling.push(Settling {
            print: print.clone(),
            waiting: self.members.alive_hosts(now).into_iter().collect(),
            settled,
        });
        self.tell_strike(strike);
        let me = self.me.host.clone();
        self.acknowledge(&me, print);
    }

    /// Takes in a peer's strike.
    pub(super) fn strike(&mut self, from: &Name, strike: &CrashReport, now: Moment) {
        self.lock_suspects().merge(strike, now);
        if !strike.released {
            self.acknowledge(from, strike.fingerprint.as_str().into());
        }
    }

    /// Tells `to` that this daemon does not run the request, now or later.
    fn acknowledge(&mut self, to: &Name, print: Fingerprint) {
        if self.flights.idle_or_watch(&print) {
            self.acknowledge_now(to, &print);
            return;
        }
        self.owed.entry(print).or_default().push(to.clone());
    }

    fn acknowledge_now(&mut self, to: &Name, print: &Fingerprint) {
        let fingerprint = print.to_string();
        self.send(to, Body::CrashReportAck(CrashReportAck { fingerprint }));
    }

    /// The last request of a fingerprint ended here.
    pub(super) fn landed(&mut self, print: &Fingerprint) {
        for host in self.owed.remove(print).unwrap_or_default() {
            self.acknowledge_now(&host, print);
        }
    }

    /// Takes in that `host` does not run the request.
    pub(super) fn acknowledged(&mut self, host: &Name, print: &str) {
        for settling in &mut self.settling {
            if &*settling.print == print {
                settling.waiting.remove(host);
            }
        }
        self.settle();
    }

    /// Waits for `host` no longer: its link is closed.
    pub(super) fn forget_acks(&mut self, host: &Name) {
        for settling in &mut self.settling {
            settling.waiting.remove(host);
        }
        self.settle();
    }

    fn settle(&mut self) {
        self.settling.retain(|settling| {
            let done = settling.waiting.is_empty();
            if done {
                // The request may have given up.
                let _ = settling.settled.try_send(());
            }
            !done
        });
    }

    /// Brings a newly linked peer up to date.
    pub(super) fn share_strikes(&mut self, host: &Name) {
        let messages = self.lock_suspects().crash_reports();
        for strike in messages {
            self.send(host, Body::CrashReport(strike));
        }
    }

    /// Ends the trial of a suspect at the owner that granted it.
    pub(super) fn trial_over(&mut self, ticket: &Name, model: &Name) {
        let Some(pool) = self.config.models.get(model).map(|m| m.pool.clone()) else {
            return;
        };
        let Some(owner) = self.owner(&pool) else {
            return;
        };
        let ticket = ticket.to_string();
        self.send(&owner, Body::Cancel(Cancel { ticket }));
    }

    /// Requests that are held.
    pub fn held(&self) -> Vec<HeldStatus> {
        let held = self.lock_suspects().held_requests();
        held.into_iter()
            .map(|h| HeldStatus {
                fingerprint: h.fingerprint,
                model: h.model,
                instances: h.instances,
            })
            .collect()
    }

    /// Releases a held request everywhere; false when none has `fingerprint`.
    pub fn release(&mut self, fingerprint: &str, now: Moment) -> bool {
        let strike = self.lock_suspects().release(fingerprint, now);
        let Some(strike) = strike else {
            return false;
        };
        log::info!("released the request {fingerprint}");
        self.tell_strike(strike);
        true
    }

    fn lock_suspects(&self) -> std::sync::MutexGuard<'_, Suspects> {
        self.suspects
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
