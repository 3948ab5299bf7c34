//! Links to other daemons and their messages.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::members::heartbeat_period;
use crate::peer::PeerEvent;
use crate::peer::wire::{Body, EngineLoads, Heartbeat, PoolState};

use super::{Control, Effect, PoolOwnership, SentUsage, is_due};

/// Maximum time between two usage reports to a pool owner.
const MAX_USAGE_INTERVAL: Duration = Duration::from_secs(2);
/// Period at which usage is reported if it changed.
const USAGE_PERIOD: Duration = Duration::from_millis(200);

impl Control {
    /// Handles an event of the peer links.
    pub(super) fn handle_peer_event(&mut self, event: PeerEvent, now: Moment) {
        match event {
            PeerEvent::Up(host, incarnation) => self.handle_link_up(&host, incarnation, now),
            PeerEvent::Down(host, incarnation) => self.handle_link_down(&host, incarnation, now),
            PeerEvent::Message { from, body } => self.handle_message(&from, body, now),
        }
    }

    fn handle_link_up(&mut self, host: &Name, incarnation: u64, now: Moment) {
        self.members.record_link_up(host, incarnation, now);
        self.last_heartbeat = None;
        for ownership in self.pools.values_mut() {
            if let PoolOwnership::Owned(pool) = ownership {
                pool.queue_full_state(host);
            }
        }
        self.send_crash_reports(host, now);
        self.resend_waiting(now);
        if self.permit_issuer.as_ref() == Some(host) {
            self.request_all_permits(now);
        }
    }

    fn handle_link_down(&mut self, host: &Name, incarnation: u64, now: Moment) {
        self.members.record_link_down(host, incarnation, now);
        self.sent_usage.retain(|_, sent| sent.owner != *host);
        self.mark_unsent_to(host);
        self.skip_acks_of(host);
        for ownership in self.pools.values_mut() {
            if let PoolOwnership::Owned(pool) = ownership {
                pool.remove_host(host);
            }
        }
        self.publish(now);
    }

    /// Handles a message of a peer, or of this daemon itself.
    pub(super) fn handle_message(&mut self, from: &Name, body: Body, now: Moment) {
        match body {
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(from, &heartbeat, now),
            Body::Pool(state) => self.handle_pool_state(from, &state, now),
            Body::EngineLoads(loads) => self.handle_loads(from, &loads, now),
            Body::ReplicaRequest(request) => self.handle_replica_request(from, &request, now),
            Body::ReplicaReply(reply) => self.handle_replica_reply(&reply),
            Body::Cancel(cancel) => self.handle_cancel(&cancel.ticket),
            Body::Usage(usage) => {
                let pool = Name::from(usage.pool.as_str());
                self.with_pool(&pool, now, |pool, _, _| {
                    pool.record_usage(from, &usage, now)
                });
            }
            Body::PermitAcquire(request) => self.handle_permit_request(from, &request),
            Body::Permit(permit) => self.handle_permit(&permit.load, now),
            Body::PermitRelease(release) => self.permits.release(&release.load),
            Body::Change(_) | Body::ChangesRequest(_) | Body::Snapshot(_) => {
                let from = from.clone();
                self.effects.push(Effect::ForwardConfig { from, body });
            }
            Body::CallQuery(_) | Body::CallReply(_) => {
                let from = from.clone();
                self.effects.push(Effect::ForwardCall { from, body });
            }
            Body::CrashReport(report) => self.handle_crash_report(from, &report, now),
            Body::CrashReportAck(ack) => self.handle_crash_ack(from, &ack.fingerprint),
            Body::Hello(_) | Body::Proof(_) => {
                log::warn!("unexpected handshake message from {from} on an established link");
            }
        }
    }

    fn handle_heartbeat(&mut self, from: &Name, heartbeat: &Heartbeat, now: Moment) {
        let before = self.members.entry_hosts(now);
        self.members.record_heartbeat(from, heartbeat, now);
        if heartbeat.config > self.config_version {
            let from = from.clone();
            let body = Body::Heartbeat(heartbeat.clone());
            self.effects.push(Effect::ForwardConfig { from, body });
        }
        if before != self.members.entry_hosts(now) {
            self.publish(now);
        }
    }

    fn handle_pool_state(&mut self, from: &Name, state: &PoolState, now: Moment) {
        let pool = Name::from(state.pool.as_str());
        if !self.record_owner(&pool, from, state.epoch, now) {
            return;
        }
        let before = self.instances(&pool);
        if self.merge_pool_state(&pool, state) {
            self.router.apply_pool_state(state, &self.config);
            self.record_replaced(&before, &pool, now);
        }
        // The usage report tells the owner which state this daemon has.
        self.send_usage(&pool, now);
    }

    /// Merges a full or incremental pool state; returns false when it is older
    /// than the known state, or an increment on a state that is not known here.
    fn merge_pool_state(&mut self, pool: &Name, state: &PoolState) -> bool {
        let version = (state.epoch, state.seq);
        let Some(known) = self.pool_states.get_mut(pool) else {
            let is_full = state.base == 0;
            if is_full {
                self.pool_states.insert(pool.clone(), state.clone());
            }
            return is_full;
        };
        if (known.epoch, known.seq) >= version {
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
            let entry = known.engines.iter_mut().find(|e| e.engine == engine.engine);
            if let Some(entry) = entry {
                *entry = engine.clone();
            }
        }
        true
    }

    fn handle_loads(&mut self, from: &Name, loads: &EngineLoads, now: Moment) {
        let pool = Name::from(loads.pool.as_str());
        if !self.record_owner(&pool, from, loads.epoch, now) {
            return;
        }
        let Some(known) = self.pool_states.get_mut(&pool) else {
            return;
        };
        if (known.epoch, known.seq) != (loads.epoch, loads.seq) {
            return;
        }
        // The loads are in the order of the engines of this version of the state.
        let counts = loads.running.iter().zip(&loads.waiting);
        for (engine, (running, waiting)) in known.engines.iter_mut().zip(counts) {
            engine.running = *running;
            engine.waiting = *waiting;
        }
        self.router.apply_loads(&known.engines);
    }

    /// Sends a heartbeat to all peers, if one is due.
    pub(super) fn send_heartbeat(&mut self, now: Moment) {
        let period = heartbeat_period(self.members.known_hosts().count());
        if !is_due(self.last_heartbeat, period, now) {
            return;
        }
        self.last_heartbeat = Some(now);
        for host in self.members.expire(now) {
            log::info!("removed silent host {host} from the members");
        }
        self.lock_suspects().expire(now);
        let heartbeat = Heartbeat {
            incarnation: self.identity.incarnation,
            leaving: self.leaving,
            ready: self.config_version > 0,
            config: self.config_version,
            streams: self.router.running(),
            addr: self.identity.addr.to_string(),
            domain: self.identity.domain.to_string(),
        };
        let host = self.identity.host.clone();
        self.members.record_heartbeat(&host, &heartbeat, now);
        self.effects
            .push(Effect::Broadcast(Body::Heartbeat(heartbeat)));
        self.publish(now);
    }

    /// Reports usage to the owners of all pools, if a report is due.
    pub(super) fn report_usage(&mut self, now: Moment) {
        if !is_due(self.last_usage_report, USAGE_PERIOD, now) {
            return;
        }
        self.last_usage_report = Some(now);
        let names: Vec<Name> = self.pools.keys().cloned().collect();
        for name in names {
            self.send_usage(&name, now);
        }
    }

    /// Reports usage to the owner of a pool. An unchanged report without arrivals
    /// or failures is repeated only after [`MAX_USAGE_INTERVAL`].
    fn send_usage(&mut self, pool: &Name, now: Moment) {
        let Some(owner) = self.pool_owner(pool) else {
            return;
        };
        let usage = self.router.usage(pool, &self.config);
        let sent = self.sent_usage.entry(pool.clone()).or_default();
        let has_events = usage.uses.iter().any(|u| u.arrived > 0) || !usage.failed.is_empty();
        let same = sent.owner == owner && sent.usage == usage;
        if same && !has_events && now.saturating_sub(sent.sent_at) < MAX_USAGE_INTERVAL {
            return;
        }
        *sent = SentUsage {
            owner: owner.clone(),
            usage: usage.clone(),
            sent_at: now,
        };
        self.send(&owner, Body::Usage(usage));
    }
}
