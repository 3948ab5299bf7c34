//! Strikes against requests that crash engines, shared with all daemons.

use crate::clock::Moment;
use crate::config::Name;
use crate::operators::status::HeldStatus;
use crate::peer::wire::{Body, Cancel, Strike};
use crate::suspects::Suspects;

use super::{Act, Control};

impl Control {
    /// Tells all peers of a strike that this daemon recorded.
    pub(super) fn struck(&mut self, strike: Strike) {
        self.acts.push(Act::Broadcast(Body::Strike(strike)));
    }

    /// Takes in a peer's strike.
    pub(super) fn strike(&mut self, strike: &Strike, now: Moment) {
        self.lock_suspects().merge(strike, now);
    }

    /// Brings a newly linked peer up to date.
    pub(super) fn share_strikes(&mut self, host: &Name) {
        let messages = self.lock_suspects().messages();
        for strike in messages {
            self.send(host, Body::Strike(strike));
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
        let held = self.lock_suspects().held();
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
        self.struck(strike);
        true
    }

    fn lock_suspects(&self) -> std::sync::MutexGuard<'_, Suspects> {
        self.suspects
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
