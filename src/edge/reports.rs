//! What a daemon tells the others: to all of them that it is alive, what it has sent to
//! engines and how many of its requests run there; to the leader also what waits, for what
//! there is demand and which models the running requests use.

use std::sync::Arc;
use std::time::Duration;

use super::demand::{Demand, ModelKey};
use super::gossip::{
    DemandNote, DemandReport, EngineNewsNote, Heartbeat, LeavingNote, LoadNote, LoadReport, Packet,
    PromptNote, TargetCount, WaitingNote, WaitingReport,
};
use super::members::{HEARTBEAT_PERIOD, MAX_DIRECT_MEMBERS};
use super::permits::packets::rate_note;
use super::state::State;
use crate::clock::Moment;

/// Maximum number of prompts in one datagram, so that it fits one frame.
pub const PROMPTS_PER_PACKET: usize = 12;
/// Maximum number of notes on the load and speed of engines in one datagram.
pub const NEWS_PER_PACKET: usize = 16;
/// Maximum number of repeated notes of engines that leave in one datagram, so that it fits
/// one frame.
const LEAVING_PER_PACKET: usize = 8;
/// Maximum number of repeated notes of engines' rates in one datagram, for the same reason.
const RATES_PER_PACKET: usize = 6;
/// Maximum number of crashes in one datagram, for the same reason.
const CRASHES_PER_PACKET: usize = 2;
/// Number below which a daemon's first round is drawn; more rounds than it takes until all
/// daemons have repeated crashes.
const MAX_FIRST_ROUND: usize = 1_000;
/// Daemons that repeat crashes in each heartbeat period.
const CRASH_TELLERS: usize = 8;
/// Period of reporting the load to a daemon, for each daemon of the deployment: the rate
/// of all reports that a daemon receives stays the same.
const LOAD_PERIOD_PER_MEMBER: Duration = Duration::from_millis(9);
/// Maximum of that period.
const MAX_LOAD_PERIOD: Duration = Duration::from_secs(1);
/// Period of reporting the demand for all models to the leader, as datagrams may be lost;
/// between two such reports only models with new requests are reported.
const WHOLE_DEMAND_PERIOD: Duration = Duration::from_secs(4);

/// Contents of the datagrams of one round of sending.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Round {
    /// For all other daemons but the leader.
    pub everyone: Packet,
    /// For the leader.
    pub leader: Packet,
    /// Prompts for the daemons that collect them; in small deployments they go to all
    /// daemons directly.
    pub relayed: Vec<PromptNote>,
    /// Load and speed of engines, likewise.
    pub relayed_news: Vec<EngineNewsNote>,
}

impl Round {
    /// Returns whether there is anything for daemons other than the leader.
    pub fn is_for_everyone(&self) -> bool {
        let packet = &self.everyone;
        packet.heartbeat.is_some() || packet.is_for_all() || packet.is_for_alive()
    }
}

/// Decides what is due in each round.
#[derive(Clone, Debug)]
pub struct Reporter {
    /// When the load was last reported to all.
    load_at: Moment,
    /// When demand was last reported.
    demand_at: Moment,
    /// When the demand for all models was last reported.
    whole_demand_at: Option<Moment>,
    /// The leader to whom it was reported.
    leader: Option<Arc<str>>,
    /// Place in the list of engines that leave at which the next repetition starts.
    leaving_turn: usize,
    /// The same in the list of engines' rates.
    rate_turn: usize,
    /// The same in the list of crashes.
    crash_turn: usize,
    /// Number of the last heartbeat, of which some repeat crashes.
    crash_round: usize,
}

impl Default for Reporter {
    fn default() -> Self {
        Reporter {
            load_at: Moment::ZERO,
            demand_at: Moment::ZERO,
            whole_demand_at: None,
            leader: None,
            leaving_turn: 0,
            rate_turn: 0,
            crash_turn: 0,
            // Daemons that start at the same time repeat crashes in different rounds.
            crash_round: rand::random_range(0..MAX_FIRST_ROUND),
        }
    }
}

impl Reporter {
    /// Returns the contents of the next round. Reports are due with the `heartbeat`; without
    /// one, only urgent notes are sent.
    pub fn next_round(
        &mut self,
        state: &mut State,
        heartbeat: Option<Heartbeat>,
        leader: Option<&Arc<str>>,
        now: Moment,
    ) -> Round {
        let is_heartbeat = heartbeat.is_some();
        let mut everyone = Packet {
            heartbeat,
            ..Packet::default()
        };
        if is_heartbeat {
            self.repeat_leaving_notes(state, &mut everyone);
            self.repeat_rate_notes(state, &mut everyone, now);
            self.repeat_crashes(state, &mut everyone, now);
        }
        add_urgent_notes(state, &mut everyone, now);
        let (mut relayed, mut relayed_news) = (Vec::new(), Vec::new());
        if state.members.all.len() > MAX_DIRECT_MEMBERS {
            relayed.append(&mut everyone.sent_prompts);
            relayed_news.append(&mut everyone.engine_news);
        }
        let mut round = Round {
            leader: everyone.clone(),
            everyone,
            relayed,
            relayed_news,
        };
        if leader.is_some() {
            round.leader.waiting = Some(waiting_report(state));
        }
        if !is_heartbeat {
            return round;
        }
        let members = state.members.all.len() as u32;
        let period = (LOAD_PERIOD_PER_MEMBER * members).clamp(HEARTBEAT_PERIOD, MAX_LOAD_PERIOD);
        // Heartbeats are sent a little late, so half a period early is on time.
        if now.saturating_sub(self.load_at) + HEARTBEAT_PERIOD / 2 >= period {
            self.load_at = now;
            round.everyone.load = Some(load_report(state, false));
        }
        if leader.is_some() {
            round.leader.load = Some(load_report(state, true));
            round.leader.demand = Some(self.demand_report(state, leader, now));
        }
        round
    }

    /// Adds engines that leave and whose entries do not say so: datagrams may be lost, and a
    /// daemon that has started again knows of none. Those beyond the limit take turns.
    fn repeat_leaving_notes(&mut self, state: &State, packet: &mut Packet) {
        let leaving: Vec<_> = state.fleet.leaving_engines().collect();
        for entry in take_turn(&leaving, &mut self.leaving_turn, LEAVING_PER_PACKET) {
            packet.leaving.push(LeavingNote {
                engine: entry.id.to_string(),
                incarnation: entry.incarnation,
            });
        }
    }

    /// Adds what engines have said of their rates, for the same reasons.
    fn repeat_rate_notes(&mut self, state: &mut State, packet: &mut Packet, now: Moment) {
        state.fleet.drop_expired_rates(now);
        let mut rates: Vec<_> = state.fleet.rates().iter().collect();
        rates.sort_by_key(|(id, _)| *id);
        for (id, statement) in take_turn(&rates, &mut self.rate_turn, RATES_PER_PACKET) {
            packet.rates.push(rate_note(id, statement, now));
        }
    }

    /// Adds crashes, for the same reasons. In a large deployment this daemon leaves rounds out,
    /// so that the others get as many from all.
    fn repeat_crashes(&mut self, state: &State, packet: &mut Packet, now: Moment) {
        self.crash_round += 1;
        let rounds = state.members.all.len().div_ceil(CRASH_TELLERS).max(1);
        if !self.crash_round.is_multiple_of(rounds) {
            return;
        }
        let ids: Vec<_> = state.suspects.crash_ids().collect();
        for id in take_turn(&ids, &mut self.crash_turn, CRASHES_PER_PACKET) {
            packet.crashes.extend(state.suspects.note(id, now));
        }
    }

    fn demand_report(
        &mut self,
        state: &mut State,
        leader: Option<&Arc<str>>,
        now: Moment,
    ) -> DemandReport {
        let is_recent = |at: Moment| now.saturating_sub(at) < WHOLE_DEMAND_PERIOD;
        let whole = self.leader.as_ref() != leader || !self.whole_demand_at.is_some_and(is_recent);
        let demand = match whole {
            true => {
                self.leader = leader.cloned();
                self.whole_demand_at = Some(now);
                state.meter.current_demand(now)
            }
            false => state.meter.demand_since(self.demand_at, now),
        };
        self.demand_at = now;
        let note = |(key, demand): (ModelKey, Demand)| DemandNote {
            service: key.service.to_string(),
            model: key.model.to_string(),
            rate: demand.rate as f32,
            work: demand.work as f32,
            tight: demand.tight as f32,
        };
        DemandReport {
            whole,
            models: demand.into_iter().map(note).collect(),
        }
    }
}

/// Returns the next `limit` of `items` from the place `turn` on, which moves on.
fn take_turn<'a, T>(items: &'a [T], turn: &mut usize, limit: usize) -> impl Iterator<Item = &'a T> {
    let count = items.len().min(limit);
    let start = *turn % items.len().max(1);
    *turn = start + count;
    items.iter().cycle().skip(start).take(count)
}

/// Adds the notes that other daemons should get at once.
fn add_urgent_notes(state: &mut State, packet: &mut Packet, now: Moment) {
    // Rates beyond the limit are told by the heartbeats.
    for engine in std::mem::take(&mut state.rate_news)
        .into_iter()
        .take(RATES_PER_PACKET)
    {
        let is_added = packet.rates.iter().any(|r| r.engine == *engine);
        let statement = state.fleet.rates().statement(&engine);
        if let Some(statement) = statement.filter(|_| !is_added) {
            packet.rates.push(rate_note(&engine, statement, now));
        }
    }
    let mut news = state.suspects.take_news(CRASHES_PER_PACKET, now);
    news.retain(|note| !packet.crashes.contains(note));
    packet.crashes.append(&mut news);
    for (engine, incarnation) in state.leaving_notes.drain(..) {
        let engine = engine.to_string();
        packet.leaving.push(LeavingNote {
            engine,
            incarnation,
        });
    }
    // Prompts beyond the limit are reported as load by the next report.
    for sent in state.sent_prompts.drain(..).take(PROMPTS_PER_PACKET) {
        packet.sent_prompts.push(PromptNote {
            engine: sent.engine.to_string(),
            target: sent.target.to_string(),
            prefill_ms: sent.prefill_time.as_millis() as u32,
            uncached: sent.uncached,
            prefix_keys: sent.prefix_keys,
            sender: String::new(),
            priority: u32::from(sent.priority),
        });
    }
    let news = state.engine_news.drain(..).take(NEWS_PER_PACKET);
    packet.engine_news.extend(news.map(|n| n.note(now)));
}

fn waiting_report(state: &mut State) -> WaitingReport {
    let mut report = WaitingReport::default();
    for (target, wait) in &mut state.waiting {
        let requests = &wait.requests;
        report.targets.push(WaitingNote {
            service: target.service.to_string(),
            target: target.name().to_string(),
            software: target.software.as_deref().unwrap_or_default().to_owned(),
            count: requests.count,
            paused: requests.paused.iter().map(|e| e.to_string()).collect(),
            priority: u32::from(requests.priority),
            missing_at: match wait.missing_reported {
                true => String::new(),
                false => requests
                    .missing_at
                    .as_deref()
                    .unwrap_or_default()
                    .to_owned(),
            },
        });
        wait.missing_reported = true;
    }
    report
}

/// Returns the requests of this daemon in progress, by engine, and by target if asked for.
fn load_report(state: &State, with_targets: bool) -> LoadReport {
    let mut report = LoadReport::default();
    for (id, engine) in &state.fleet.engines {
        if engine.own_load.running == 0 {
            continue;
        }
        let mut note = LoadNote {
            engine: id.to_string(),
            running: engine.own_load.running,
            targets: Vec::new(),
        };
        for (target, count) in engine.own_load.targets.iter().filter(|_| with_targets) {
            note.targets.push(TargetCount {
                target: target.to_string(),
                count: *count,
            });
        }
        report.engines.push(note);
    }
    report
}
