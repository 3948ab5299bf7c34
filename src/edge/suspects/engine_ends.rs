//! Finds out whether an engine has ended after connections to it broke or runs were left there:
//! both happen for other reasons, too, which say nothing of what requests have in common.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{CrashId, Feature, Left, Listed, Progress, RunFeatures};
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::exchange::{CallKind, Recipient, other_start};
use crate::edge::gossip::CrashNote;
use crate::edge::state::{Edge, State};
use crate::edge::upstream::Lifetime;
use crate::platform::orders;

/// Time limit for connecting to the engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an engine is asked that does not answer: something before it may accept
/// connections while it starts again.
const CHECK_TIME: Duration = Duration::from_secs(3);
/// Pause between two such questions.
const CHECK_PAUSE: Duration = Duration::from_millis(250);

/// Features of the requests that broke off at engines that may have ended, with the progress of
/// the answers.
pub type PendingEnds = HashMap<Lifetime, RunFeatures>;

/// What a connection to an engine shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum EngineState {
    /// Nothing listens at its address.
    Ended,
    /// Its report says that it has started again.
    Restarted,
    /// It accepts connections.
    Alive,
    /// It cannot be reached.
    Unknown,
}

impl Edge {
    /// Returns whether the reports of an engine name its start time: it is one of models, and its
    /// entry has named one.
    fn reports_start(&self, lifetime: &Lifetime) -> bool {
        let state = self.state.borrow();
        let upstream = state.fleet.engines.get(&lifetime.engine);
        let is_hosting =
            upstream.is_some_and(|e| state.desired.hosting(&e.entry.service).is_some());
        is_hosting && lifetime.incarnation != 0
    }

    /// Records that a request with these features broke off at an engine, once it is known
    /// whether the engine has ended.
    pub fn record_broken_off(
        self: &Rc<Self>,
        lifetime: &Lifetime,
        addr: SocketAddr,
        features: &[Feature],
        progress: Progress,
    ) {
        let mut state = self.state.borrow_mut();
        let is_first = !state.pending_ends.contains_key(lifetime);
        let pending = state.pending_ends.entry(lifetime.clone()).or_default();
        pending.extend(features.iter().map(|f| (*f, progress)));
        drop(state);
        if is_first {
            tokio::task::spawn_local(check_end(self.clone(), lifetime.clone(), addr));
        }
    }

    /// Records that runs with these features ended without a word of their engine, which may have
    /// ended.
    pub fn leave_run(
        &self,
        lifetime: &Lifetime,
        addr: SocketAddr,
        features: impl IntoIterator<Item = (Feature, Progress)>,
    ) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let State {
            left_runs, fleet, ..
        } = &mut *state;
        let listed = fleet.incarnation(&lifetime.engine);
        let known = fleet.lifetime_mut(&lifetime.engine, lifetime.incarnation);
        let sequence = known.map_or(0, |upstream| upstream.entry.sequence);
        left_runs.record(lifetime, addr, features, (sequence, now));
        drop(state);
        if listed > lifetime.incarnation {
            self.record_ended(lifetime);
        }
    }

    /// Records that an engine was heard in this lifetime.
    pub fn record_heard(&self, lifetime: &Lifetime) {
        self.state.borrow_mut().left_runs.record_heard(lifetime);
    }

    /// Records that a lifetime has ended, as another one has begun.
    pub fn record_ended(&self, lifetime: &Lifetime) {
        record_left(self, lifetime);
    }

    /// Asks an engine at which runs were left, if there are any, what became of it.
    pub fn watch_left(self: &Rc<Self>, lifetime: &Lifetime) {
        let watched = self.state.borrow_mut().left_runs.start_watch(lifetime);
        let Some(addr) = watched else {
            return;
        };
        let recipient = Recipient {
            lifetime: lifetime.clone(),
            addr,
        };
        tokio::task::spawn_local(watch_silent(self.clone(), recipient));
    }

    /// Asks engines that have ended, by what other daemons report, if runs were left there.
    pub fn watch_reported(self: &Rc<Self>, notes: &[CrashNote]) {
        for note in notes.iter().filter(|note| note.ended) {
            let lifetime = Lifetime {
                engine: note.engine.as_str().into(),
                incarnation: note.incarnation,
            };
            self.watch_left(&lifetime);
        }
    }

    /// Finds out from the list of engines which of those have ended at which runs were left.
    pub fn compare_left(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let State {
            left_runs, fleet, ..
        } = &mut *state;
        let ended = left_runs.compare(fleet, clock::now());
        drop(state);
        for (lifetime, listed) in ended {
            // A missing entry alone is no end: the engine may be cut from the store.
            match listed {
                Listed::Restarted => self.record_ended(&lifetime),
                Listed::Missing => self.watch_left(&lifetime),
            }
        }
    }
}

/// Returns what a connection to an engine shows.
async fn probe(addr: SocketAddr) -> EngineState {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => EngineState::Alive,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => EngineState::Ended,
        Ok(Err(error)) => {
            log::debug!(addr:%, error:%; "cannot tell whether an engine has ended");
            EngineState::Unknown
        }
        Err(_) => EngineState::Unknown,
    }
}

async fn check_end(edge: Rc<Edge>, lifetime: Lifetime, addr: SocketAddr) {
    let recipient = Recipient { lifetime, addr };
    let state = probe(addr).await;
    let lifetime = &recipient.lifetime;
    let features = {
        let pending = &mut edge.state.borrow_mut().pending_ends;
        pending.remove(lifetime).unwrap_or_default()
    };
    log_state(&edge, lifetime, state, &features);
    let ended = state == EngineState::Ended;
    let now = clock::now();
    let is_suspected = |(feature, progress): &&(Feature, Progress)| match feature {
        // A request may end its engine late in its run, too.
        Feature::Request(_) => ended || *progress != Progress::Settled,
        Feature::Part(_) => ended && *progress != Progress::Settled,
    };
    let suspected = features.iter().filter(is_suspected);
    record_crash(&edge, lifetime, ended, suspected, now);
    if ended {
        record_left(&edge, lifetime);
    }
    if state != EngineState::Alive {
        return;
    }
    match ask_start(&edge, &recipient).await {
        Asked::Same => return,
        Asked::Other => {}
        Asked::Nothing => {
            // Its entry, or what is sent to it later, may tell.
            edge.leave_run(lifetime, addr, features);
            return;
        }
    }
    log_state(&edge, lifetime, EngineState::Restarted, &features);
    // The requests themselves are suspected already.
    let is_part = |(feature, progress): &&(Feature, Progress)| {
        matches!(feature, Feature::Part(_)) && *progress != Progress::Settled
    };
    record_crash(&edge, lifetime, true, features.iter().filter(is_part), now);
    record_left(&edge, lifetime);
}

/// Asks a silent engine what became of it, until it answers or its address refuses connections.
async fn watch_silent(edge: Rc<Edge>, recipient: Recipient) {
    let Recipient { lifetime, addr } = &recipient;
    let state = match probe(*addr).await {
        EngineState::Alive => match ask_start(&edge, &recipient).await {
            Asked::Same => EngineState::Alive,
            Asked::Other => EngineState::Restarted,
            Asked::Nothing => probe(*addr).await,
        },
        state => state,
    };
    let name: &'static str = state.into();
    edge.metrics.record_engine_end(name);
    log::info!(engine = &*lifetime.engine, life = lifetime.incarnation, state = name;
        "engine checked after a silence");
    if matches!(state, EngineState::Ended | EngineState::Restarted) {
        record_left(&edge, lifetime);
        return;
    }
    edge.state.borrow_mut().left_runs.end_watch(lifetime);
}

/// What an engine says of its lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// That it goes on.
    Same,
    /// That it has started again.
    Other,
    /// Nothing.
    Nothing,
}

/// Asks an engine that accepts connections, until it answers or for [`CHECK_TIME`]. Something
/// before it may accept them, and answer, while it does not.
async fn ask_start(edge: &Edge, recipient: &Recipient) -> Asked {
    let started_at = clock::now();
    while clock::now().saturating_sub(started_at) < CHECK_TIME {
        let asked = ask_once(edge, recipient).await;
        if asked != Asked::Nothing || !edge.reports_start(&recipient.lifetime) {
            return asked;
        }
        tokio::time::sleep(CHECK_PAUSE).await;
    }
    Asked::Nothing
}

/// Asks an engine whether it has started again.
async fn ask_once(edge: &Edge, recipient: &Recipient) -> Asked {
    let lifetime = &recipient.lifetime;
    if !edge.reports_start(lifetime) {
        return Asked::Nothing;
    }
    let engine = &*lifetime.engine;
    let request = match orders::report_request(&recipient.addr.to_string()) {
        Ok(request) => request,
        Err(error) => {
            log::warn!(engine, error:%; "report request is not valid");
            return Asked::Nothing;
        }
    };
    match edge.call_engine(recipient, CallKind::Check, request).await {
        Ok(response) if other_start(lifetime, response.body()).is_some() => Asked::Other,
        Ok(response) if orders::decode_report(response.body()).is_ok() => Asked::Same,
        Ok(response) => {
            let status = response.status().as_u16();
            log::debug!(engine, status; "no report of an engine that may have ended");
            Asked::Nothing
        }
        Err(error) => {
            log::debug!(engine, error:%; "no report of an engine that may have ended");
            Asked::Nothing
        }
    }
}

/// Counts and logs what is known of an engine at which requests broke off.
fn log_state(
    edge: &Edge,
    lifetime: &Lifetime,
    state: EngineState,
    features: &[(Feature, Progress)],
) {
    let name: &'static str = state.into();
    edge.metrics.record_engine_end(name);
    let requests = count_requests(features);
    log::info!(engine = &*lifetime.engine, life = lifetime.incarnation, state = name, requests;
        "engine checked after connections broke");
}

/// Records the features of requests that broke off as possible causes, and tells other daemons.
fn record_crash<'a>(
    edge: &Edge,
    lifetime: &Lifetime,
    ended: bool,
    features: impl Iterator<Item = &'a (Feature, Progress)>,
    at: Moment,
) {
    let suspected: Vec<_> = features
        .map(|(feature, progress)| (*feature, *progress == Progress::Begun))
        .collect();
    if suspected.is_empty() {
        return;
    }
    let id = CrashId {
        lifetime: lifetime.clone(),
        ended,
    };
    let mut state = edge.state.borrow_mut();
    let change = state.suspects.record_crash(&id, suspected, at);
    drop(state);
    edge.record_held_change(&change);
    edge.send_wake.notify_one();
}

/// Records a crash of the requests whose runs were left at a lifetime that has ended.
fn record_left(edge: &Edge, lifetime: &Lifetime) {
    let mut state = edge.state.borrow_mut();
    let Some(Left {
        since, features, ..
    }) = state.left_runs.take(lifetime)
    else {
        return;
    };
    let broke_off = |feature: Feature| {
        let mut crashes = state.suspects.crashes_by(feature);
        crashes.any(|(id, _)| id.lifetime == *lifetime)
    };
    let is_suspected = |(feature, progress): &&(Feature, Progress)| match feature {
        // One that broke off there, too, is suspected already.
        Feature::Request(_) => !broke_off(*feature),
        Feature::Part(_) => *progress != Progress::Settled,
    };
    let suspected: RunFeatures = features.iter().filter(is_suspected).copied().collect();
    drop(state);
    let requests = count_requests(&features);
    log::info!(engine = &*lifetime.engine, life = lifetime.incarnation, requests;
        "engine ended after runs were left");
    record_crash(edge, lifetime, true, suspected.iter(), since);
}

fn count_requests(features: &[(Feature, Progress)]) -> usize {
    let is_request = |(feature, _): &&(Feature, Progress)| matches!(feature, Feature::Request(_));
    features.iter().filter(is_request).count()
}
