//! Weight-store permits: asked for by owners, granted by one holder.

use crate::clock::Moment;
use crate::config::Name;
use crate::decide::permits::{Ask, Permits};
use crate::peer::wire::{Body, Permit, PermitAsk, PermitDone};

use super::{Control, Seat};

/// Key by which the holder is chosen among the live daemons.
const HOLDER_KEY: &str = "store";

impl Control {
    /// Follows the holder and, as the holder, grants what the limits allow.
    pub(super) fn grant_permits(&mut self, now: Moment) {
        let holder = self.members.rank_hosts(HOLDER_KEY, now).into_iter().next();
        if holder != self.holder {
            self.new_holder(holder, now);
        }
        if self.holder.as_ref() != Some(&self.me.host) {
            return;
        }
        // A host that was only cut off asks again when its link is up.
        self.permits.keep(&self.members.alive_hosts(now));
        self.permits.set_limits(self.limits(now));
        for grant in self.permits.grant(now) {
            let load = grant.load.to_string();
            self.send(&grant.host, Body::Permit(Permit { load }));
        }
    }

    fn new_holder(&mut self, holder: Option<Name>, now: Moment) {
        if holder.as_ref() == Some(&self.me.host) {
            self.permits = Permits::new(self.limits(now), now);
        }
        log::debug!("the weight-store permits are held by {holder:?}");
        self.holder = holder;
        self.ask_again(now);
    }

    /// Asks again for the permits of all loads.
    pub(super) fn ask_again(&mut self, now: Moment) {
        let names: Vec<Name> = self.seats.keys().cloned().collect();
        for name in names {
            self.with_pool(&name, now, |pool, ctx, out| {
                pool.ask_again(ctx.config, ctx.now, out);
            });
        }
    }

    /// Asks the holder for a permit.
    pub(super) fn ask_permit(&mut self, load: &Name, adapter: bool, stake: f64, running: bool) {
        let Some(holder) = self.holder.clone() else {
            return;
        };
        let ask = PermitAsk {
            load: load.to_string(),
            adapter,
            stake,
            running,
        };
        self.send(&holder, Body::PermitAsk(ask));
    }

    /// Gives a permit back.
    pub(super) fn return_permit(&mut self, load: &Name) {
        let Some(holder) = self.holder.clone() else {
            return;
        };
        let load = load.to_string();
        self.send(&holder, Body::PermitDone(PermitDone { load }));
    }

    /// As the holder, takes a request for a permit.
    pub(super) fn permit_asked(&mut self, from: &Name, ask: &PermitAsk) {
        let load = Name::from(ask.load.as_str());
        if self.permits.granted(&load) && !ask.running {
            let load = ask.load.clone();
            self.send(from, Body::Permit(Permit { load }));
            return;
        }
        self.permits.ask(Ask {
            load,
            host: from.clone(),
            adapter: ask.adapter,
            stake: ask.stake,
            running: ask.running,
        });
    }

    /// As an owner, takes a granted permit.
    pub(super) fn permitted(&mut self, load: &str, now: Moment) {
        let mut owner = None;
        for (name, seat) in &self.seats {
            if let Seat::Held(pool) = seat
                && pool.asked_for(load)
            {
                owner = Some(name.clone());
            }
        }
        let Some(name) = owner else {
            self.return_permit(&load.into());
            return;
        };
        self.with_pool(&name, now, |pool, _, out| pool.permitted(load, now, out));
    }
}
