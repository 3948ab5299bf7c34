//! Sends and receives the datagrams between daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;

use super::clock;
use super::demand::{DecayingDemand, Demand, ModelKey};
use super::engine_load::EngineNews;
use super::gossip::{
    AnnouncedModelsNote, DemandNote, ForecastNote, Heartbeat, LeadershipNote, LoadNote, LoadStart,
    Packet, PromptNote, ReadyNote, WaitingNote,
};
use super::leadership::Leadership;
use super::load_forecast::LoadForecast;
use super::members::{self, HEARTBEAT_PERIOD};
use super::permits::Allocation;
use super::placement::{ModelTarget, Placer, WaitingRequests};
use super::relays;
use super::reports::{Reporter, Round};
use super::request_headers::split_target;
use super::state::{Edge, State};
use super::statements::Source;
use super::upstream::{AnnouncedModels, EngineLoad, LoadedModels, SentPrompt};
use crate::clock::Moment;

/// Receive buffer, bytes.
const BUFFER_BYTES: usize = 65_536;
/// Minimum pause between two rounds of sending.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Period at which waiting requests are reported again, as datagrams may be lost.
const REPEAT_PERIOD: Duration = Duration::from_millis(80);

/// Sends a heartbeat every period, and urgent notes at once.
pub async fn send_packets(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut reporter = Reporter::default();
    let mut sequence = 0;
    let mut allocation = Allocation::default();
    let mut heartbeat_at = Moment::ZERO;
    loop {
        let now = clock::now();
        edge.state.borrow_mut().drop_idle_waits(now);
        let period = edge.state.borrow().members.heartbeat_period();
        let is_heartbeat = now.saturating_sub(heartbeat_at) >= period;
        if is_heartbeat {
            heartbeat_at = now;
        }
        sequence += 1;
        let (round, recipients) = next_round(&edge, &mut reporter, is_heartbeat, now);
        let signed = |content: Packet| Packet {
            host: edge.host.to_string(),
            incarnation: edge.incarnation,
            sequence,
            ..content
        };
        if let Some(leader) = recipients.leader {
            send_packet(&socket, &signed(round.leader), &[leader]).await;
        }
        if !recipients.others.is_empty() {
            send_packet(&socket, &signed(round.everyone), &recipients.others).await;
        }
        if !round.relayed.is_empty() || !round.relayed_news.is_empty() {
            relays::send_prompts(&edge, &socket, round.relayed, round.relayed_news).await;
        }
        for (addr, packet) in edge.next_permits(&mut allocation) {
            send_packet(&socket, &signed(packet), &[addr]).await;
        }
        for (addr, packet) in edge.next_caps() {
            send_packet(&socket, &signed(packet), &[addr]).await;
        }
        let stream_packets = edge.state.borrow_mut().take_stream_packets(is_heartbeat);
        for (addr, packet) in stream_packets {
            send_packet(&socket, &signed(packet), &[addr]).await;
        }
        let has_waiting = edge
            .state
            .borrow()
            .waiting
            .values()
            .any(|w| w.requests.count > 0);
        let pause = match has_waiting {
            true => REPEAT_PERIOD,
            false => period,
        };
        let until_heartbeat = (heartbeat_at + period).saturating_sub(clock::now());
        let permits_due = edge
            .state
            .borrow_mut()
            .permits_due_in(clock::now())
            .unwrap_or(pause);
        let caps_due = edge.state.borrow_mut().caps_due_in(clock::now());
        let pause = caps_due.map_or(pause, |due| pause.min(due));
        let pause = pause.min(until_heartbeat).min(permits_due).max(MIN_PAUSE);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = edge.send_wake.notified() => {}
        }
    }
}

/// Addresses to which a round is sent.
#[derive(Clone, Debug, Default)]
struct Recipients {
    /// The leader's, if it gets anything.
    leader: Option<SocketAddr>,
    /// Those of the other daemons.
    others: Vec<SocketAddr>,
}

/// Returns the contents of the next round and its recipients.
fn next_round(
    edge: &Edge,
    reporter: &mut Reporter,
    is_heartbeat: bool,
    now: Moment,
) -> (Round, Recipients) {
    let mut state = edge.state.borrow_mut();
    let state = &mut *state;
    let leader = state.members.leader(now);
    let leader = leader.map(|(host, member)| (host.clone(), member.peers));
    let heartbeat = is_heartbeat.then(|| heartbeat(edge, state, now));
    let round = reporter.next_round(state, heartbeat, leader.as_ref().map(|(h, _)| h), now);
    // Daemons that are silent read notes for all when they are thawed.
    let mut others = match (&round.everyone, is_heartbeat) {
        (_, true) => state.members.take_due(now),
        (packet, _) if packet.is_for_all() => state.members.take_due(now),
        (packet, _) if packet.is_for_alive() => state.members.alive_addrs(now),
        _ => Vec::new(),
    };
    let waits = round
        .leader
        .waiting
        .as_ref()
        .is_some_and(|w| !w.targets.is_empty());
    let leader = leader.map(|(_, addr)| addr);
    let leader = leader.filter(|addr| waits || others.contains(addr));
    others.retain(|addr| Some(*addr) != leader);
    (round, Recipients { leader, others })
}

fn leadership_note(edge: &Edge, state: &State, now: Moment) -> Option<LeadershipNote> {
    let leadership = state.leadership.as_ref()?;
    let fences = edge.settings().bounds.fences;
    let peers = state.peer_reach(now);
    let mut note = LeadershipNote {
        fence: leadership.record.fence,
        row: leadership.version,
        offered: leadership.is_offering(peers, now),
        idle_ms: millis(leadership.since_last_order(fences, now)),
        renewed_ms: millis(now.saturating_sub(leadership.renewed_at)),
        wait_ms: millis(leadership.orders_from.saturating_sub(now)),
        load_starts: Vec::new(),
        forecasts: Vec::new(),
    };
    for (service, forecast) in state.placer.iter().flat_map(Placer::load_forecasts) {
        let until = |at: Moment| millis(at.saturating_sub(now));
        let models = forecast.ready.iter().map(|(model, at)| ReadyNote {
            model: model.to_string(),
            ready_ms: until(*at),
            loading: forecast.loading.contains(model),
        });
        note.forecasts.push(ForecastNote {
            service: service.to_string(),
            start_ms: until(forecast.next_start),
            models: models.collect(),
            parallel: forecast.parallel,
        });
    }
    let load_starts = state.placer.as_ref().map(|p| p.store_load_starts(now));
    for (service, at) in load_starts.unwrap_or_default() {
        note.load_starts.push(LoadStart {
            service: service.to_string(),
            age_ms: millis(now.saturating_sub(at)),
        });
    }
    Some(note)
}

/// Records the leadership that a daemon reports; ends this daemon's own leadership
/// when the reported one succeeds it.
fn record_leadership(
    edge: &Edge,
    state: &mut State,
    host: &str,
    note: &LeadershipNote,
    now: Moment,
) {
    let ago = |ms| now.saturating_sub(Duration::from_millis(ms));
    let load_starts = note.load_starts.iter();
    let status = members::LeadershipStatus {
        fence: note.fence,
        row: note.row,
        offered: note.offered,
        last_order: ago(note.idle_ms),
        renewed_at: ago(note.renewed_ms),
        loads: load_starts
            .map(|l| (l.service.as_str().into(), ago(l.age_ms)))
            .collect(),
        forecasts: note
            .forecasts
            .iter()
            .map(|n| decode_forecast(n, now))
            .collect(),
    };
    if let Some(member) = state.members.all.get_mut(host) {
        member.leadership = Some(status);
    }
    let fences = edge.settings().bounds.fences;
    let wait = Duration::from_millis(note.wait_ms);
    let is_superseded = |l: &Leadership| l.superseded_by(note.fence, wait, fences);
    if state.leadership.as_ref().is_some_and(is_superseded) {
        let fence = note.fence;
        log::info!(successor = host, fence; "leadership handed over");
        state.end_leadership();
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn heartbeat(edge: &Edge, state: &State, now: Moment) -> Heartbeat {
    Heartbeat {
        callers: edge.settings().listen.callers.to_string(),
        ready: edge.is_ready(),
        store: edge.store_available(),
        leadership: leadership_note(edge, state, now),
        allocator: state
            .members
            .allocator(&edge.host, edge.is_ready(), now)
            .to_string(),
    }
}

/// Sends a packet to all recipients, beginning with another one each time: what overflows
/// the link of this host is not always lost to the same daemons.
pub(super) async fn send_packet(socket: &UdpSocket, packet: &Packet, recipients: &[SocketAddr]) {
    let bytes = packet.encode_to_vec();
    let (before, after) = recipients.split_at(rand::random_range(0..recipients.len().max(1)));
    for addr in after.iter().chain(before) {
        if let Err(error) = socket.send_to(&bytes, addr).await {
            log::debug!(addr:%, error:%; "datagram not sent");
        }
    }
}

/// Receives and handles the packets of the other daemons.
pub async fn receive_packets(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let (size, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "datagram not received");
                tokio::time::sleep(REPEAT_PERIOD).await;
                continue;
            }
        };
        match Packet::decode(&buffer[..size]) {
            Ok(packet) => {
                let relayed = packet.relay.then(|| packet.clone());
                let is_member = handle_packet(&edge, packet, from);
                if let Some(packet) = relayed.filter(|_| is_member) {
                    relays::pass_on(&edge, &socket, packet).await;
                }
            }
            Err(error) => log::debug!(from:%, error:%; "datagram cannot be decoded"),
        }
    }
}

/// Applies a packet; returns whether it comes from a member.
fn handle_packet(edge: &Rc<Edge>, packet: Packet, from: SocketAddr) -> bool {
    let now = clock::now();
    let host: Arc<str> = packet.host.as_str().into();
    let mut guard = edge.state.borrow_mut();
    let state = &mut *guard;
    let known = state.members.all.get(&host);
    if known.is_none_or(|m| m.peers.ip() != from.ip()) {
        // A new daemon or a foreign sender; reading the list of members in the store shows
        // which.
        drop(guard);
        edge.unknown_peer.notify_one();
        return false;
    }
    if let Some(heartbeat) = &packet.heartbeat {
        let was_silent = state
            .members
            .all
            .get(&host)
            .is_some_and(|m| !m.is_alive(now));
        let Some(member) =
            state
                .members
                .record_heartbeat(&host, packet.incarnation, packet.sequence, now)
        else {
            if state.members.is_doubtful(&host, packet.incarnation, now) {
                edge.unknown_peer.notify_one();
            }
            return true;
        };
        if was_silent {
            log::info!(member = &*host, life = packet.incarnation; "member alive");
        }
        member.ready = heartbeat.ready;
        member.store_since = match heartbeat.store {
            true => member.store_since.or(Some(now)),
            false => None,
        };
        member.leadership = None;
        member.allocator = Some(heartbeat.allocator.as_str().into());
        if let Ok(callers) = heartbeat.callers.parse() {
            member.callers = callers;
        }
        if let Some(note) = &heartbeat.leadership {
            record_leadership(edge, state, &host, note, now);
        }
    }
    let is_leader = state.leadership.is_some();
    let effects = state.apply_packet(&edge.host, &host, &packet, now);
    // What was queued while the process was suspended is of an unknown age, and is repeated.
    let is_late = edge.activity.borrow().is_catching_up(now);
    let (mut rate_changes, mut decided) = (Vec::new(), false);
    let mut held_changes = Vec::new();
    if !is_late {
        let crashes = packet.crashes.iter();
        held_changes.extend(crashes.map(|note| state.suspects.apply(note, now)));
        rate_changes = state.apply_rates(&packet, now);
        decided = state.apply_permits(&edge.host, &host, &packet, now);
        decided |= state.apply_caps(&edge.host, &host, &packet, now);
    }
    drop(guard);
    edge.record_stream_notes(&host, &packet);
    for (engine, change, life) in rate_changes {
        edge.announce_rate(&engine, change, life, &host);
    }
    for change in &held_changes {
        edge.record_held_change(change);
    }
    if !is_late {
        edge.watch_reported(&packet.crashes);
    }
    if decided {
        edge.notify_waiting();
    }
    if !packet.applications.is_empty() || !packet.charges.is_empty() {
        edge.send_wake.notify_one();
    }
    if effects.models_changed {
        edge.notify_waiting();
    }
    for engine in &effects.leaving {
        edge.announce_leaving(engine, &host);
    }
    if effects.waits_anew && is_leader {
        edge.order_wake.notify_one();
    }
    true
}

/// Effects of a packet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PacketEffects {
    /// Engines of which this daemon did not know that they leave.
    pub leaving: Vec<Arc<str>>,
    /// Whether the models on engines have changed.
    pub models_changed: bool,
    /// Whether requests at the sender wait for a further target, or an engine lacks one.
    /// Waits are reported again and again, and need no decision each time.
    pub waits_anew: bool,
}

impl State {
    /// Applies a packet of `host` at the daemon of host `own`: announcements, load, prompts,
    /// demand and waiting requests.
    pub fn apply_packet(
        &mut self,
        own: &str,
        host: &Arc<str>,
        packet: &Packet,
        now: Moment,
    ) -> PacketEffects {
        let mut effects = PacketEffects::default();
        if let Some(load) = &packet.load {
            let loads = load.engines.iter().map(decode_load).collect();
            self.fleet.record_peer_load(host, loads, now);
        }
        if let Some(report) = &packet.demand {
            let peer = self.peer_states.entry(host.clone()).or_default();
            peer.demand_at = now;
            if report.whole {
                peer.demand.clear();
            }
            peer.demand
                .extend(report.models.iter().map(|note| decode_demand(note, now)));
        }
        if let Some(report) = &packet.waiting {
            let peer = self.peer_states.entry(host.clone()).or_default();
            peer.waiting_at = now;
            let waiting: Vec<_> = report.targets.iter().map(decode_waiting).collect();
            effects.waits_anew = waiting.iter().any(|(target, requests)| {
                let is_same = |(t, w): &(ModelTarget, WaitingRequests)| {
                    t == target && w.paused == requests.paused
                };
                requests.missing_at.is_some() || !peer.waiting.iter().any(is_same)
            });
            peer.waiting = waiting;
        }
        for note in &packet.sent_prompts {
            let prompt = decode_prompt(note);
            match &*note.sender {
                "" => self.fleet.record_peer_prompt(host, &prompt, now),
                // Its own prompt, passed on to its whole failure domain.
                sender if sender == own => {}
                sender => self.fleet.record_peer_prompt(&sender.into(), &prompt, now),
            }
        }
        for note in packet.engine_news.iter().filter(|n| n.sender != own) {
            self.apply_news(&EngineNews::decode(note, now), now);
        }
        for note in &packet.leaving {
            let engine = note.engine.as_str().into();
            let source = Source::Note;
            if self.fleet.record_leaving(&engine, note.incarnation, source) {
                effects.leaving.push(engine);
            }
        }
        for note in &packet.announcements {
            effects.models_changed |= self
                .fleet
                .record_announcement(&note.engine, decode_announcement(note, now));
        }
        effects
    }
}

fn decode_forecast(note: &ForecastNote, now: Moment) -> (Arc<str>, LoadForecast) {
    let after = |ms| now + Duration::from_millis(ms);
    let ready = note.models.iter();
    let loading = note.models.iter().filter(|m| m.loading);
    let forecast = LoadForecast {
        ready: ready
            .map(|m| (m.model.as_str().into(), after(m.ready_ms)))
            .collect(),
        next_start: after(note.start_ms),
        loading: loading.map(|m| m.model.as_str().into()).collect(),
        parallel: note.parallel,
    };
    (note.service.as_str().into(), forecast)
}

fn decode_load(note: &LoadNote) -> (Arc<str>, EngineLoad) {
    let targets = note.targets.iter();
    let load = EngineLoad {
        running: note.running,
        targets: targets
            .map(|c| (Arc::from(c.target.as_str()), c.count))
            .collect(),
    };
    (note.engine.as_str().into(), load)
}

fn decode_prompt(note: &PromptNote) -> SentPrompt {
    SentPrompt {
        engine: note.engine.as_str().into(),
        target: note.target.as_str().into(),
        prefill_time: Duration::from_millis(u64::from(note.prefill_ms)),
        uncached: note.uncached,
        prefix_keys: note.prefix_keys.clone(),
        priority: u8::try_from(note.priority).unwrap_or(u8::MAX),
    }
}

fn decode_demand(note: &DemandNote, now: Moment) -> (ModelKey, DecayingDemand) {
    let key = ModelKey {
        service: note.service.as_str().into(),
        model: note.model.as_str().into(),
    };
    let demand = Demand {
        rate: f64::from(note.rate),
        work: f64::from(note.work),
        tight: f64::from(note.tight),
    };
    let updated_at = now;
    (key, DecayingDemand { demand, updated_at })
}

fn decode_waiting(note: &WaitingNote) -> (ModelTarget, WaitingRequests) {
    let (model, adapter) = split_target(&note.target);
    let target = ModelTarget {
        service: note.service.as_str().into(),
        model: model.into(),
        adapter: adapter.map(Into::into),
        software: (!note.software.is_empty()).then(|| note.software.as_str().into()),
    };
    let requests = WaitingRequests {
        count: note.count,
        priority: note.priority.min(u32::from(u8::MAX)) as u8,
        paused: note.paused.iter().map(|e| e.as_str().into()).collect(),
        missing_at: (!note.missing_at.is_empty()).then(|| note.missing_at.as_str().into()),
    };
    (target, requests)
}

/// Decodes the leader's announcement about one engine.
pub fn decode_announcement(note: &AnnouncedModelsNote, now: Moment) -> AnnouncedModels {
    let mut models = LoadedModels::new();
    for model in &note.models {
        let adapters = model.adapters.iter().map(|a| Arc::from(a.as_str()));
        models.insert(model.model.as_str().into(), adapters.collect());
    }
    AnnouncedModels {
        fence: note.fence,
        sequence: note.sequence,
        incarnation: note.incarnation,
        models,
        received_at: now,
    }
}

/// Periodically logs the daemons that became silent since the last check.
pub async fn log_silent_members(edge: Rc<Edge>) {
    let mut last_alive: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(HEARTBEAT_PERIOD * 2).await;
        let now = clock::now();
        let state = edge.state.borrow();
        let members = state.members.alive_members(now);
        let current: BTreeMap<_, _> = members.map(|(h, m)| (h.clone(), m.incarnation)).collect();
        for host in last_alive.keys() {
            if !current.contains_key(host) {
                log::warn!(member = &**host; "member silent");
            }
        }
        last_alive = current;
    }
}
