//! Links to other daemons and what they say.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::members::heartbeat_period;
use crate::peer::PeerEvent;
use crate::peer::wire::{Body, Heartbeat, Loads, PoolState};

use super::{Act, Control, Seat, Told, due};

/// Longest time between two reports of use.
const USAGE_MOST: Duration = Duration::from_secs(2);
/// Period of reports of use.
const USAGE: Duration = Duration::from_millis(200);

impl Control {
    /// Takes an event of the peer links.
    pub(super) fn peer(&mut self, event: PeerEvent, now: Moment) {
        match event {
            PeerEvent::Up(host, incarnation) => self.up(&host, incarnation, now),
            PeerEvent::Down(host, incarnation) => self.down(&host, incarnation, now),
            PeerEvent::Message { from, body } => self.message(&from, body, now),
        }
    }

    fn up(&mut self, host: &Name, incarnation: u64, now: Moment) {
        self.members.record_link_up(host, incarnation, now);
        self.beat = None;
        for seat in self.seats.values_mut() {
            if let Seat::Held(pool) = seat {
                pool.greet(host);
            }
        }
        self.share_strikes(host);
        self.resend_tickets(now);
        if self.holder.as_ref() == Some(host) {
            self.ask_again(now);
        }
    }

    fn down(&mut self, host: &Name, incarnation: u64, now: Moment) {
        self.members.record_link_down(host, incarnation, now);
        self.used.retain(|_, told| told.owner != *host);
        self.unsend_to(host);
        self.forget_acks(host);
        for seat in self.seats.values_mut() {
            if let Seat::Held(pool) = seat {
                pool.forget(host);
            }
        }
        self.publish(now);
    }

    /// Takes a message of a peer, or of this daemon itself.
    pub(super) fn message(&mut self, from: &Name, body: Body, now: Moment) {
        match body {
            Body::Heartbeat(beat) => self.heard(from, &beat, now),
            Body::Pool(state) => self.pool_state(from, &state, now),
            Body::Loads(loads) => self.loads(from, &loads, now),
            Body::Want(want) => self.wanted(from, &want, now),
            Body::Verdict(verdict) => self.verdict(&verdict),
            Body::Cancel(cancel) => self.cancelled(&cancel.ticket),
            Body::Usage(usage) => {
                let pool = Name::from(usage.pool.as_str());
                self.with_pool(&pool, now, |pool, _, _| pool.used(from, &usage, now));
            }
            Body::PermitAsk(ask) => self.permit_asked(from, &ask),
            Body::Permit(permit) => self.permitted(&permit.load, now),
            Body::PermitDone(done) => self.permits.done(&done.load),
            Body::Change(_) | Body::ChangeAsk(_) | Body::Snapshot(_) => {
                let from = from.clone();
                self.acts.push(Act::Follow { from, body });
            }
            Body::CallAsk(_) | Body::CallState(_) => {
                let from = from.clone();
                self.acts.push(Act::Calls { from, body });
            }
            Body::CrashReport(strike) => self.strike(from, &strike, now),
            Body::CrashReportAck(ack) => self.acknowledged(from, &ack.fingerprint),
            Body::Hello(_) | Body::Proof(_) => {
                log::warn!("{from} repeats its handshake");
            }
        }
    }

    fn heard(&mut self, from: &Name, beat: &Heartbeat, now: Moment) {
        let before = self.members.entry_hosts(now);
        self.members.record_heartbeat(from, beat, now);
        if beat.config > self.version {
            let from = from.clone();
            let body = Body::Heartbeat(beat.clone());
            self.acts.push(Act::Follow { from, body });
        }
        if before != self.members.entry_hosts(now) {
            self.publish(now);
        }
    }

    fn pool_state(&mut self, from: &Name, state: &PoolState, now: Moment) {
        let pool = Name::from(state.pool.as_str());
        if !self.owned_by(&pool, from, state.epoch, now) {
            return;
        }
        if self.merge(&pool, state) {
            self.router.apply(state, &self.config);
        }
        // The owner learns from it which state this daemon has.
        self.send_usage(&pool, now);
    }

    /// Takes a state into the whole one; false when it is older, or changes
    /// another one than is known here.
    fn merge(&mut self, pool: &Name, state: &PoolState) -> bool {
        let stamp = (state.epoch, state.seq);
        let Some(known) = self.states.get_mut(pool) else {
            let whole = state.base == 0;
            if whole {
                self.states.insert(pool.clone(), state.clone());
            }
            return whole;
        };
        if (known.epoch, known.seq) >= stamp {
            return false;
        }
        if state.base == 0 {
            *known = state.clone();
            return true;
        }
        if (known.epoch, known.seq) != (state.epoch, state.base) {
            return false;
        }
        known.seq = state.seq;
        for engine in &state.engines {
            let place = known.engines.iter_mut().find(|e| e.engine == engine.engine);
            if let Some(place) = place {
                *place = engine.clone();
            }
        }
        true
    }

    fn loads(&mut self, from: &Name, loads: &Loads, now: Moment) {
        let pool = Name::from(loads.pool.as_str());
        if !self.owned_by(&pool, from, loads.epoch, now) {
            return;
        }
        let Some(known) = self.states.get_mut(&pool) else {
            return;
        };
        if (known.epoch, known.seq) != (loads.epoch, loads.seq) {
            return;
        }
        let each = loads.running.iter().zip(&loads.waiting);
        for (engine, (running, waiting)) in known.engines.iter_mut().zip(each) {
            engine.running = *running;
            engine.waiting = *waiting;
        }
        self.router.loads(&known.engines);
    }

    /// Says that this daemon lives, when it is due.
    pub(super) fn heartbeat(&mut self, now: Moment) {
        let period = heartbeat_period(self.members.known_hosts().count());
        if !due(self.beat, period, now) {
            return;
        }
        self.beat = Some(now);
        for host in self.members.expire(now) {
            log::info!("host {host} is gone");
        }
        let beat = Heartbeat {
            incarnation: self.me.incarnation,
            leaving: self.leaving,
            ready: self.version > 0,
            config: self.version,
            streams: self.router.running(),
            addr: self.me.addr.to_string(),
            domain: self.me.domain.to_string(),
        };
        let host = self.me.host.clone();
        self.members.record_heartbeat(&host, &beat, now);
        self.acts.push(Act::Broadcast(Body::Heartbeat(beat)));
        self.publish(now);
    }

    /// Tells the owners of all pools what this daemon uses, when it is due.
    pub(super) fn report_usage(&mut self, now: Moment) {
        if !due(self.reported, USAGE, now) {
            return;
        }
        self.reported = Some(now);
        let names: Vec<Name> = self.seats.keys().cloned().collect();
        for name in names {
            self.send_usage(&name, now);
        }
    }

    /// Tells the owner of a pool what this daemon uses, unless it knows.
    fn send_usage(&mut self, pool: &Name, now: Moment) {
        let Some(owner) = self.owner(pool) else {
            return;
        };
        let usage = self.router.usage(pool, &self.config);
        let told = self.used.entry(pool.clone()).or_default();
        let news = usage.uses.iter().any(|u| u.arrived > 0) || !usage.failed.is_empty();
        let same = told.owner == owner && told.usage == usage;
        if same && !news && now.saturating_sub(told.at) < USAGE_MOST {
            return;
        }
        *told = Told {
            owner: owner.clone(),
            usage: usage.clone(),
            at: now,
        };
        self.send(&owner, Body::Usage(usage));
    }
}
