//! Opens links to the peers that this host has to dial.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::RecvTimeoutError;

use super::handshake::{self, AuthenticatedPeer, HandshakeError, Role};
use super::link::LinkManager;
use super::{Backoff, LinkLimits};
use crate::settings::PeerAddress;

/// Starts a thread for each host that this one has to dial.
pub fn spawn_dialers(manager: &Arc<LinkManager>) {
    for peer in &manager.settings.peers {
        if peer.host <= manager.settings.host {
            continue;
        }
        let (shared, peer) = (manager.clone(), peer.clone());
        manager.spawn(move || maintain_link(&shared, &peer));
    }
}

/// Keeps a link to `peer` open until the links stop; logs an error only when
/// it differs from the last one.
fn maintain_link(manager: &Arc<LinkManager>, peer: &PeerAddress) {
    let backoff = manager.settings.limits.backoff;
    let mut delay = backoff.initial;
    let mut last_error = String::new();
    while !manager.is_stopping() {
        match dial(manager, peer) {
            Ok((stream, authenticated)) => {
                manager.run_link(stream, authenticated);
                delay = backoff.initial;
                last_error.clear();
            }
            Err(e) => {
                let error = e.to_string();
                if error != last_error {
                    log::warn!(
                        "cannot connect to peer {} at {}: {error}",
                        peer.host,
                        peer.addr
                    );
                }
                last_error = error;
            }
        }
        let jittered = jitter(delay);
        if manager.stopped.recv_timeout(jittered) != Err(RecvTimeoutError::Timeout) {
            return;
        }
        delay = next_delay(delay, backoff);
    }
}

fn dial(
    manager: &Arc<LinkManager>,
    peer: &PeerAddress,
) -> Result<(TcpStream, AuthenticatedPeer), HandshakeError> {
    let LinkLimits {
        handshake_timeout, ..
    } = manager.settings.limits;
    let stream = TcpStream::connect_timeout(&peer.addr, handshake_timeout)?;
    let is_expected = |host: &str| *host == *peer.host;
    let authenticated = handshake::run(
        &manager.settings,
        &stream,
        Role::Dialler,
        &manager.traffic,
        is_expected,
    )?;
    Ok((stream, authenticated))
}

/// Returns a random duration between half of `delay` and `delay`.
fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.5..=1.0))
}

/// Doubles `delay`, up to the longest delay.
fn next_delay(delay: Duration, backoff: Backoff) -> Duration {
    (delay * 2).min(backoff.maximum)
}
