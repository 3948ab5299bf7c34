//! Datagrams to and from the other daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;

use super::clock;
use super::demand::{Demand, ModelKey};
use super::fleet::{Held, Load, Sent, Told};
use super::gossip::{
    Beat, Count, CrashReport, DemandNote, LeadershipNote, LoadNote, LoadStart, Packet, SentNote,
    ToldNote, WantNote,
};
use super::leadership::Leadership;
use super::members::{self, BEAT};
use super::placement::{ModelTarget, WaitingRequests};
use super::state::{Edge, State};
use crate::clock::Moment;

/// Largest datagram, bytes: fits one Ethernet frame with headers.
const DATAGRAM: usize = 1_400;
/// Prompts told in one datagram, so that it fits.
const SENT_NOTES: usize = 12;
/// Receive buffer, bytes.
const BUFFER: usize = 65_536;
/// Least time between two packets.
const LEAST_PAUSE: Duration = Duration::from_millis(5);
/// Period at which wants are repeated, as datagrams get lost.
const REPEAT: Duration = Duration::from_millis(80);

/// Sends this daemon's state every period, and what is urgent at once.
pub async fn send(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    let mut beat_at = Moment::ZERO;
    loop {
        let now = clock::now();
        edge.state.borrow_mut().sweep_wants(now);
        let beat = now.saturating_sub(beat_at) >= BEAT;
        if beat {
            beat_at = now;
        }
        number += 1;
        let mut packet = Packet {
            host: edge.host.to_string(),
            life: edge.life,
            number,
            ..Packet::default()
        };
        let to = fill(&edge, &mut packet, beat, now);
        if !to.is_empty() {
            post(&socket, &packet, &to).await;
        }
        let waiting = edge
            .state
            .borrow()
            .wants
            .values()
            .any(|w| w.want.waiting > 0);
        let pause = match waiting {
            true => REPEAT,
            false => BEAT,
        };
        let rest = (beat_at + BEAT).saturating_sub(clock::now());
        let pause = pause.min(rest).max(LEAST_PAUSE);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = edge.urgent.notified() => {}
        }
    }
}

/// Fills a packet; returns whom it goes to.
fn fill(edge: &Edge, packet: &mut Packet, beat: bool, now: Moment) -> Vec<SocketAddr> {
    let mut state = edge.state.borrow_mut();
    let state = &mut *state;
    urgent(state, packet);
    if beat {
        packet.beat = Some(whole(edge, state, now));
    }
    if beat || !packet.crash_reports.is_empty() {
        return state.members.due(now);
    }
    if !packet.sent.is_empty() {
        return state.members.alive(now).map(|(_, m)| m.peers).collect();
    }
    if packet.wants.is_empty() {
        return Vec::new();
    }
    // Wants matter to the holder only; with none known, to all.
    match state.members.leader(now) {
        Some((_, holder)) => vec![holder.peers],
        None => Vec::new(),
    }
}

/// Fills a packet with what others should know at once.
pub fn urgent(state: &mut State, packet: &mut Packet) {
    for (fingerprint, engine) in state.crash_reports.drain(..) {
        let engine = engine.to_string();
        packet.crash_reports.push(CrashReport {
            fingerprint,
            engine,
        });
    }
    // What a flood brings beyond that, the next beat tells as load.
    for sent in state.sent.drain(..).take(SENT_NOTES) {
        packet.sent.push(SentNote {
            engine: sent.engine.to_string(),
            target: sent.target.to_string(),
            work_ms: sent.work.as_millis() as u32,
            fresh: sent.fresh,
            chains: sent.chains,
        });
    }
    packet.wants = wants(state);
}

fn wants(state: &mut State) -> Vec<WantNote> {
    let mut notes = Vec::new();
    for (target, own) in &mut state.wants {
        let want = &own.want;
        notes.push(WantNote {
            service: target.service.to_string(),
            target: target.name().to_string(),
            waiting: want.waiting,
            priority: u32::from(want.priority),
            absent: match own.told {
                true => String::new(),
                false => want.missing_at.as_deref().unwrap_or_default().to_owned(),
            },
        });
        own.told = true;
    }
    notes
}

fn leadership(edge: &Edge, state: &State, now: Moment) -> Option<LeadershipNote> {
    let leadership = state.leadership.as_ref()?;
    let fences = edge.settings().bounds.fences;
    let peers = state.peers(now);
    let mut note = LeadershipNote {
        fence: leadership.record.fence,
        row: leadership.version,
        offered: leadership.is_offering(peers, now),
        idle_ms: millis(leadership.since_last_order(fences, now)),
        renewed_ms: millis(now.saturating_sub(leadership.renewed_at)),
        wait_ms: millis(leadership.orders_from.saturating_sub(now)),
        loads: Vec::new(),
    };
    let loads = state.placer.as_ref().map(|p| p.store_load_starts(now));
    for (service, at) in loads.unwrap_or_default() {
        note.loads.push(LoadStart {
            service: service.to_string(),
            age_ms: millis(now.saturating_sub(at)),
        });
    }
    Some(note)
}

/// Takes in what a daemon says of its leadership; ends this daemon's own when that
/// one follows it.
fn take_leadership(edge: &Edge, state: &mut State, host: &str, note: &LeadershipNote, now: Moment) {
    let ago = |ms| now.saturating_sub(Duration::from_millis(ms));
    let loads = note.loads.iter();
    let told = members::Told {
        fence: note.fence,
        row: note.row,
        offered: note.offered,
        ordered: ago(note.idle_ms),
        renewed: ago(note.renewed_ms),
        loads: loads
            .map(|l| (l.service.as_str().into(), ago(l.age_ms)))
            .collect(),
    };
    if let Some(member) = state.members.all.get_mut(host) {
        member.leadership = Some(told);
    }
    let fences = edge.settings().bounds.fences;
    let wait = Duration::from_millis(note.wait_ms);
    let ends = |t: &Leadership| t.superseded_by(note.fence, wait, fences);
    if state.leadership.as_ref().is_some_and(ends) {
        let fence = note.fence;
        log::info!(successor = host, fence; "orders passed on");
        state.end_leadership();
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn whole(edge: &Edge, state: &mut State, now: Moment) -> Beat {
    let settings = edge.settings();
    let mut beat = Beat {
        callers: settings.listen.callers.to_string(),
        domain: settings.domain.to_string(),
        ready: edge.ready(),
        store: edge.served(),
        leadership: leadership(edge, state, now),
        ..Beat::default()
    };
    work(state, &mut beat, now);
    beat
}

/// Fills a beat with what this daemon has in progress and is asked for.
pub fn work(state: &mut State, beat: &mut Beat, now: Moment) {
    for (id, engine) in &state.fleet.engines {
        if engine.own.running == 0 {
            continue;
        }
        let mut note = LoadNote {
            engine: id.to_string(),
            running: engine.own.running,
            targets: Vec::new(),
        };
        for (target, count) in &engine.own.targets {
            note.targets.push(Count {
                target: target.to_string(),
                count: *count,
            });
        }
        beat.loads.push(note);
    }
    for (which, demand) in state.meter.current(now) {
        beat.demand.push(DemandNote {
            service: which.service.to_string(),
            model: which.model.to_string(),
            rate: demand.rate as f32,
            work: demand.work as f32,
            tight: demand.tight as f32,
        });
    }
}

/// Tells all daemons what engines hold, in as few datagrams as fit.
pub async fn tell(edge: &Edge, socket: &UdpSocket, notes: Vec<ToldNote>) {
    let now = clock::now();
    let alive = |state: &State| -> Vec<SocketAddr> {
        state.members.alive(now).map(|(_, m)| m.peers).collect()
    };
    let to = alive(&edge.state.borrow());
    if to.is_empty() {
        return;
    }
    let mut packet = Packet {
        host: edge.host.to_string(),
        life: edge.life,
        ..Packet::default()
    };
    for note in notes {
        let size = packet.encoded_len() + note.encoded_len();
        if size > DATAGRAM && !packet.told.is_empty() {
            post(socket, &packet, &to).await;
            packet.told.clear();
        }
        packet.told.push(note);
    }
    post(socket, &packet, &to).await;
}

async fn post(socket: &UdpSocket, packet: &Packet, to: &[SocketAddr]) {
    let bytes = packet.encode_to_vec();
    for addr in to {
        if let Err(error) = socket.send_to(&bytes, addr).await {
            log::debug!(addr:%, error:%; "datagram not sent");
        }
    }
}

/// Takes in what the other daemons send.
pub async fn receive(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let (size, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "datagram not received");
                tokio::time::sleep(REPEAT).await;
                continue;
            }
        };
        match Packet::decode(&buffer[..size]) {
            Ok(packet) => take(&edge, packet, from),
            Err(error) => log::debug!(from:%, error:%; "datagram cannot be read"),
        }
    }
}

fn take(edge: &Edge, packet: Packet, from: SocketAddr) {
    let now = clock::now();
    let host: Arc<str> = packet.host.as_str().into();
    let mut guard = edge.state.borrow_mut();
    let state = &mut *guard;
    let known = state.members.all.get(&host);
    if known.is_none_or(|m| m.peers.ip() != from.ip()) {
        // A new daemon, or a stranger: the store tells which.
        drop(guard);
        edge.stranger.notify_one();
        return;
    }
    if let Some(beat) = &packet.beat {
        let lost = state.members.all.get(&host).is_some_and(|m| !m.alive(now));
        let Some(member) = state.members.hear(&host, packet.life, packet.number, now) else {
            return;
        };
        if lost {
            log::info!(member = &*host, life = packet.life; "member heard");
        }
        member.ready = beat.ready;
        member.store = match beat.store {
            true => member.store.or(Some(now)),
            false => None,
        };
        member.leadership = None;
        if let Ok(callers) = beat.callers.parse() {
            member.callers = callers;
        }
        if let Some(note) = &beat.leadership {
            take_leadership(edge, state, &host, note, now);
        }
    }
    let holding = state.leadership.is_some();
    let heard = state.take(&host, &packet, now);
    drop(guard);
    if heard.changed {
        edge.notify();
    }
    if heard.wanted && holding {
        edge.order_wake.notify_one();
    }
}

/// What a packet brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// What engines hold has changed.
    pub changed: bool,
    /// Requests wait for a load.
    pub wanted: bool,
}

impl State {
    /// Takes in another daemon's word about engines, loads, demand and wants.
    pub fn take(&mut self, host: &Arc<str>, packet: &Packet, now: Moment) -> Heard {
        let mut heard = Heard::default();
        if let Some(beat) = &packet.beat {
            let loads = beat.loads.iter().map(load).collect();
            self.fleet.other_load(host, loads, now);
            let other = self.others.entry(host.clone()).or_default();
            other.demand_at = now;
            other.demand = beat.demand.iter().map(demand).collect();
        }
        if packet.beat.is_some() || !packet.wants.is_empty() {
            let other = self.others.entry(host.clone()).or_default();
            other.wants_at = now;
            other.wants = packet.wants.iter().map(want).collect();
            heard.wanted = !other.wants.is_empty();
        }
        for note in &packet.sent {
            self.fleet.other_sent(host, &sent(note), now);
        }
        for note in &packet.crash_reports {
            let engine = note.engine.as_str().into();
            self.suspects.record_crash(note.fingerprint, &engine, now);
        }
        for note in &packet.told {
            heard.changed |= self.fleet.tell(&note.engine, told(note, now));
        }
        heard
    }
}

fn load(note: &LoadNote) -> (Arc<str>, Load) {
    let targets = note.targets.iter();
    let load = Load {
        running: note.running,
        targets: targets
            .map(|c| (Arc::from(c.target.as_str()), c.count))
            .collect(),
    };
    (note.engine.as_str().into(), load)
}

fn sent(note: &SentNote) -> Sent {
    Sent {
        engine: note.engine.as_str().into(),
        target: note.target.as_str().into(),
        work: Duration::from_millis(u64::from(note.work_ms)),
        fresh: note.fresh,
        chains: note.chains.clone(),
    }
}

fn demand(note: &DemandNote) -> (ModelKey, Demand) {
    let which = ModelKey {
        service: note.service.as_str().into(),
        model: note.model.as_str().into(),
    };
    let demand = Demand {
        rate: f64::from(note.rate),
        work: f64::from(note.work),
        tight: f64::from(note.tight),
    };
    (which, demand)
}

fn want(note: &WantNote) -> (ModelTarget, WaitingRequests) {
    let (model, adapter) = split(&note.target);
    let target = ModelTarget {
        service: note.service.as_str().into(),
        model,
        adapter,
    };
    let want = WaitingRequests {
        waiting: note.waiting,
        priority: note.priority.min(u32::from(u8::MAX)) as u8,
        missing_at: (!note.absent.is_empty()).then(|| note.absent.as_str().into()),
    };
    (target, want)
}

/// The holder's word in a note.
pub fn told(note: &ToldNote, now: Moment) -> Told {
    let mut held = Held::new();
    for target in &note.targets {
        let (model, adapter) = split(target);
        let adapters = held.entry(model).or_default();
        adapters.extend(adapter);
    }
    Told {
        fence: note.fence,
        turn: note.turn,
        born: note.born,
        held,
        at: now,
    }
}

fn split(target: &str) -> (Arc<str>, Option<Arc<str>>) {
    match target.split_once('/') {
        Some((model, adapter)) => (model.into(), Some(adapter.into())),
        None => (target.into(), None),
    }
}

/// Logs daemons that fell silent since the last look.
pub async fn watch(edge: Rc<Edge>) {
    let mut alive: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(BEAT * 2).await;
        let now = clock::now();
        let state = edge.state.borrow();
        let heard = state.members.alive(now);
        let heard: BTreeMap<_, _> = heard.map(|(h, m)| (h.clone(), m.life)).collect();
        for host in alive.keys() {
            if !heard.contains_key(host) {
                log::warn!(member = &**host; "member silent");
            }
        }
        alive = heard;
    }
}
