//! Accepting links.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;

use super::handshake::{self, Role};
use super::link::Hub;

/// Pause after a failed `accept`, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Starts the thread that accepts links.
pub fn spawn(hub: &Arc<Hub>, listener: TcpListener) {
    let shared = hub.clone();
    hub.spawn(move || accept(&shared, &listener));
}

fn accept(hub: &Arc<Hub>, listener: &TcpListener) {
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(_) if hub.is_stopping() => return,
            Err(e) => {
                log::warn!("cannot accept a peer: {e}");
                thread::sleep(ACCEPT_PAUSE);
                continue;
            }
        };
        if hub.is_stopping() {
            return;
        }
        if hub.strangers.load(SeqCst) >= hub.settings.limits.unauthenticated {
            log::warn!("closed a connection of a peer: too many without a proof");
            continue;
        }
        hub.strangers.fetch_add(1, SeqCst);
        let shared = hub.clone();
        hub.spawn(move || serve(&shared, stream));
    }
}

fn serve(hub: &Arc<Hub>, stream: TcpStream) {
    let settings = &hub.settings;
    // The host with the smaller name dials.
    let known = |host: &str| {
        *host < *settings.host && settings.peers.iter().any(|peer| *peer.host == *host)
    };
    let outcome = handshake::run(settings, &stream, Role::Listener, &hub.traffic, known);
    hub.strangers.fetch_sub(1, SeqCst);
    match outcome {
        Ok(proven) => hub.run(stream, proven),
        Err(e) => match stream.peer_addr() {
            Ok(addr) => log::warn!("refused a peer at {addr}: {e}"),
            Err(_) => log::warn!("refused a peer: {e}"),
        },
    }
}
