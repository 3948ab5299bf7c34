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
use crate::edge::state::Edge;
use crate::edge::upstream::Lifetime;

/// Time limit for connecting to the engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Features of the requests that broke off at engines that may have ended, with the progress of
/// the answers.
pub type PendingEnds = HashMap<Lifetime, Vec<(Feature, Progress)>>;

/// What a connection to an engine shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum EngineState {
    /// Nothing listens at its address.
    Ended,
    /// It accepts connections.
    Alive,
    /// It cannot be reached.
    Unknown,
}

impl Edge {
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

async fn check_end(edge: Rc<Edge>, lifetime: Lifetime, addr: SocketAddr) {
    let state = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => EngineState::Alive,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => EngineState::Ended,
        Ok(Err(error)) => {
            log::debug!(addr:%, error:%; "cannot tell whether an engine has ended");
            EngineState::Unknown
        }
        Err(_) => EngineState::Unknown,
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
    let ended = state == EngineState::Ended;
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
