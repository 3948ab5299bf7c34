//! Weight store permits: requested by pool owners, granted by one issuer.

use crate::clock::Moment;
use crate::config::Name;
use crate::decide::permits::{PermitRequest, Permits};
use crate::peer::wire::{Body, Permit, PermitAcquire, PermitRelease};

use super::{Control, PoolOwnership};

/// Key by which the issuer is selected among the live daemons.
const ISSUER_KEY: &str = "store";

impl Control {
    /// Tracks the issuer and, on the issuer, grants the permits that the limits
    /// allow.
    pub(super) fn grant_permits(&mut self, now: Moment) {
        let issuer = self.members.rank_hosts(ISSUER_KEY, now).into_iter().next();
        if issuer != self.permit_issuer {
            self.change_permit_issuer(issuer, now);
        }
        if self.permit_issuer.as_ref() != Some(&self.identity.host) {
            return;
        }
        // A host that was only disconnected asks again when its link is up.
        self.permits.retain_hosts(&self.members.alive_hosts(now));
        self.permits.set_limits(self.store_limits(now));
        for grant in self.permits.grant(now) {
            let load = grant.load.to_string();
            self.send(&grant.host, Body::Permit(Permit { load }));
        }
    }

    fn change_permit_issuer(&mut self, issuer: Option<Name>, now: Moment) {
        if issuer.as_ref() == Some(&self.identity.host) {
            self.permits = Permits::new(self.store_limits(now), now);
        }
        log::debug!("weight store permits are issued by {issuer:?}");
        self.permit_issuer = issuer;
        self.request_all_permits(now);
    }

    /// Asks the issuer again for the permits of all loads.
    pub(super) fn request_all_permits(&mut self, now: Moment) {
        let names: Vec<Name> = self.pools.keys().cloned().collect();
        for name in names {
            self.with_pool(&name, now, |pool, ctx, out| {
                pool.resend_permit_requests(ctx.config, ctx.now, out);
            });
        }
    }

    /// Asks the issuer for a permit.
    pub(super) fn request_permit(
        &mut self,
        load: &Name,
        adapter: bool,
        value_density: f64,
        running: bool,
    ) {
        let Some(issuer) = self.permit_issuer.clone() else {
            return;
        };
        let request = PermitAcquire {
            load: load.to_string(),
            adapter,
            value_density,
            running,
        };
        self.send(&issuer, Body::PermitAcquire(request));
    }

    /// Returns a permit to the issuer.
    pub(super) fn return_permit(&mut self, load: &Name) {
        let Some(issuer) = self.permit_issuer.clone() else {
            return;
        };
        let load = load.to_string();
        self.send(&issuer, Body::PermitRelease(PermitRelease { load }));
    }

    /// Handles, on the issuer, a request for a permit.
    pub(super) fn handle_permit_request(&mut self, from: &Name, request: &PermitAcquire) {
        let load = Name::from(request.load.as_str());
        // A host that asks again for a granted permit gets the grant again.
        if self.permits.is_granted(&load) && !request.running {
            let load = request.load.clone();
            self.send(from, Body::Permit(Permit { load }));
            return;
        }
        self.permits.request(PermitRequest {
            load,
            host: from.clone(),
            adapter: request.adapter,
            value_density: request.value_density,
            running: request.running,
        });
    }

    /// Handles, on a pool owner, a granted permit.
    pub(super) fn handle_permit(&mut self, load: &str, now: Moment) {
        let mut pool_name = None;
        for (name, ownership) in &self.pools {
            if let PoolOwnership::Owned(pool) = ownership
                && pool.owns_load(load)
            {
                pool_name = Some(name.clone());
            }
        }
        let Some(name) = pool_name else {
            self.return_permit(&load.into());
            return;
        };
        self.with_pool(&name, now, |pool, _, out| {
            pool.record_permit(load, now, out)
        });
    }
}
