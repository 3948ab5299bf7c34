//! Dialling links.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::RecvTimeoutError;

use super::handshake::{self, Proven, Refused, Role};
use super::link::Hub;
use super::{Backoff, LinkLimits};
use crate::settings::PeerAddress;

/// Starts a thread for each host that this one has to dial.
pub fn spawn_all(hub: &Arc<Hub>) {
    for peer in &hub.settings.peers {
        if peer.host <= hub.settings.host {
            continue;
        }
        let (shared, peer) = (hub.clone(), peer.clone());
        hub.spawn(move || keep(&shared, &peer));
    }
}

/// Keeps a link to `peer` open until the links stop.
fn keep(hub: &Arc<Hub>, peer: &PeerAddress) {
    let backoff = hub.settings.limits.backoff;
    let mut pause = backoff.first;
    let mut fault = String::new();
    while !hub.is_stopping() {
        match dial(hub, peer) {
            Ok((stream, proven)) => {
                hub.run(stream, proven);
                pause = backoff.first;
                fault.clear();
            }
            Err(e) => {
                let seen = e.to_string();
                if seen != fault {
                    log::warn!("no link to {} at {}: {seen}", peer.host, peer.addr);
                }
                fault = seen;
            }
        }
        let wait = jitter(pause);
        if hub.stopped.recv_timeout(wait) != Err(RecvTimeoutError::Timeout) {
            return;
        }
        pause = next(pause, backoff);
    }
}

fn dial(hub: &Arc<Hub>, peer: &PeerAddress) -> Result<(TcpStream, Proven), Refused> {
    let LinkLimits { handshake, .. } = hub.settings.limits;
    let stream = TcpStream::connect_timeout(&peer.addr, handshake)?;
    let known = |host: &str| *host == *peer.host;
    let proven = handshake::run(&hub.settings, &stream, Role::Dialler, &hub.traffic, known)?;
    Ok((stream, proven))
}

/// Between half of `pause` and all of it.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..=1.0))
}

/// Twice as long, up to the longest.
fn next(pause: Duration, backoff: Backoff) -> Duration {
    (pause * 2).min(backoff.most)
}
