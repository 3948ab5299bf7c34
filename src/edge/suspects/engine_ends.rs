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
use crate::edge::exchange::{CallKind, Recipient};
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
    /// It is still in this lifetime, as far as it says.
    Alive,
    /// It accepts connections, and does not answer.
    Unanswered,
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

/// Returns what a connection to an engine shows, and its report if it accepts one.
async fn engine_state(edge: &Edge, recipient: &Recipient) -> EngineState {
    let addr = recipient.addr;
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return EngineState::Ended;
        }
        Ok(Err(error)) => {
            log::debug!(addr:%, error:%; "cannot tell whether an engine has ended");
            return EngineState::Unknown;
        }
        Err(_) => return EngineState::Unknown,
    }
    let Lifetime {
        engine,
        incarnation,
    } = &recipient.lifetime;
    // Without a start time, or without models, an engine makes no report that tells.
    if *incarnation == 0 || !edge.reports_start(engine) {
        return EngineState::Alive;
    }
    let request = match orders::report_request(&addr.to_string()) {
        Ok(request) => request,
        Err(error) => {
            log::warn!(addr:%, error:%; "report request is not valid");
            return EngineState::Unknown;
        }
    };
    let response = match edge.call_engine(recipient, CallKind::Check, request).await {
        Ok(response) => response,
        Err(error) => {
            log::debug!(addr:%, error:%; "no report of an engine that may have ended");
            return EngineState::Unanswered;
        }
    };
    let report = orders::decode_report(response.body());
    match report.map_or(0, |report| report.incarnation) {
        0 => EngineState::Alive,
        born if born == *incarnation => EngineState::Alive,
        _ => EngineState::Restarted,
    }
}

async fn check_end(edge: Rc<Edge>, lifetime: Lifetime, addr: SocketAddr) {
    let recipient = Recipient {
        lifetime: lifetime.clone(),
        addr,
    };
    let started_at = clock::now();
    let state = loop {
        let state = engine_state(&edge, &recipient).await;
        let is_over = clock::now().saturating_sub(started_at) >= CHECK_TIME;
        if state != EngineState::Unanswered || is_over {
            break state;
        }
        tokio::time::sleep(CHECK_PAUSE).await;
    };
    let name: &'static str = state.into();
    edge.metrics.record_engine_end(name);
    let now = clock::now();
    let mut shared = edge.state.borrow_mut();
    let features = shared.pending_ends.remove(&lifetime).unwrap_or_default();
    let requests = features
        .iter()
        .filter(|(f, _)| matches!(f, Feature::Request(_)))
        .count();
    log::info!(engine = &*lifetime.engine, life = lifetime.incarnation, state = name, requests;
        "engine checked after connections broke");
    let ended = matches!(state, EngineState::Ended | EngineState::Restarted);
    let is_suspected = |(feature, progress): &(Feature, Progress)| match feature {
        // A request may end its engine late in its run, too.
        Feature::Request(_) => ended || *progress != Progress::Settled,
        Feature::Part(_) => ended && *progress != Progress::Settled,
    };
    let suspected = features.into_iter().filter(is_suspected);
    let suspected: Vec<_> = suspected
        .map(|(feature, progress)| (feature, progress == Progress::Begun))
        .collect();
    if suspected.is_empty() {
        return;
    }
    let id = CrashId { lifetime, ended };
    let change = shared.suspects.record_crash(&id, suspected, now);
    drop(shared);
    edge.record_held_change(&change);
    edge.send_wake.notify_one();
}
