//! Finds out whether an engine has ended after connections to it broke: they break for other
//! reasons, too, which say nothing of what requests have in common.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{CrashId, Feature, Progress};
use crate::edge::clock;
use crate::edge::exchange::{CallKind, Recipient, other_start};
use crate::edge::state::Edge;
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
pub type PendingEnds = HashMap<Lifetime, Vec<(Feature, Progress)>>;

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
    /// Returns whether the reports of an engine name its start time: it is one of models.
    fn reports_start(&self, engine: &str) -> bool {
        let state = self.state.borrow();
        let upstream = state.fleet.engines.get(engine);
        upstream.is_some_and(|e| state.desired.hosting(&e.entry.service).is_some())
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
    let state = probe(addr).await;
    let features = {
        let pending = &mut edge.state.borrow_mut().pending_ends;
        pending.remove(&lifetime).unwrap_or_default()
    };
    log_state(&edge, &lifetime, state, &features);
    let ended = state == EngineState::Ended;
    let is_suspected = |(feature, progress): &&(Feature, Progress)| match feature {
        // A request may end its engine late in its run, too.
        Feature::Request(_) => ended || *progress != Progress::Settled,
        Feature::Part(_) => ended && *progress != Progress::Settled,
    };
    let suspected = features.iter().filter(is_suspected);
    record_crash(&edge, &lifetime, ended, suspected);
    if state != EngineState::Alive {
        return;
    }
    let recipient = Recipient { lifetime, addr };
    if !has_restarted(&edge, &recipient).await {
        return;
    }
    let lifetime = recipient.lifetime;
    log_state(&edge, &lifetime, EngineState::Restarted, &features);
    // The requests themselves are suspected already.
    let is_part = |(feature, progress): &&(Feature, Progress)| {
        matches!(feature, Feature::Part(_)) && *progress != Progress::Settled
    };
    record_crash(&edge, &lifetime, true, features.iter().filter(is_part));
}

/// Returns whether an engine that accepts connections says in its report that it has started
/// again. Something before it may accept them while it does not answer.
async fn has_restarted(edge: &Edge, recipient: &Recipient) -> bool {
    let engine = &recipient.lifetime.engine;
    // Without a start time, or without models, an engine makes no report that tells.
    if recipient.lifetime.incarnation == 0 || !edge.reports_start(engine) {
        return false;
    }
    let started_at = clock::now();
    while clock::now().saturating_sub(started_at) < CHECK_TIME {
        let request = match orders::report_request(&recipient.addr.to_string()) {
            Ok(request) => request,
            Err(error) => {
                log::warn!(engine = &**engine, error:%; "report request is not valid");
                return false;
            }
        };
        match edge.call_engine(recipient, CallKind::Check, request).await {
            Ok(response) => return other_start(&recipient.lifetime, response.body()).is_some(),
            Err(error) => {
                log::debug!(engine = &**engine, error:%; "no report of an engine that may have ended");
            }
        }
        tokio::time::sleep(CHECK_PAUSE).await;
    }
    false
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
    let requests = features
        .iter()
        .filter(|(f, _)| matches!(f, Feature::Request(_)))
        .count();
    log::info!(engine = &*lifetime.engine, life = lifetime.incarnation, state = name, requests;
        "engine checked after connections broke");
}

/// Records the features of requests that broke off as possible causes, and tells other daemons.
fn record_crash<'a>(
    edge: &Edge,
    lifetime: &Lifetime,
    ended: bool,
    features: impl Iterator<Item = &'a (Feature, Progress)>,
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
    let change = state.suspects.record_crash(&id, suspected, clock::now());
    drop(state);
    edge.record_held_change(&change);
    edge.send_wake.notify_one();
}
