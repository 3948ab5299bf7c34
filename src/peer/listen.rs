//! Accepts links from peers.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;

use super::handshake::{self, Role};
use super::link::LinkManager;

/// Delay after a failed `accept`, whose usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Starts the thread that accepts links.
pub fn spawn_acceptor(manager: &Arc<LinkManager>, listener: TcpListener) {
    let shared = manager.clone();
    manager.spawn(move || accept_links(&shared, &listener));
}

fn accept_links(manager: &Arc<LinkManager>, listener: &TcpListener) {
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(_) if manager.is_stopping() => return,
            Err(e) => {
                log::warn!("cannot accept a peer connection: {e}");
                thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            }
        };
        if manager.is_stopping() {
            return;
        }
        if manager.unauthenticated.load(SeqCst) >= manager.settings.limits.unauthenticated {
            log::warn!("closed a peer connection: too many unauthenticated connections");
            continue;
        }
        manager.unauthenticated.fetch_add(1, SeqCst);
        let shared = manager.clone();
        manager.spawn(move || handle_connection(&shared, stream));
    }
}

fn handle_connection(manager: &Arc<LinkManager>, stream: TcpStream) {
    let settings = &manager.settings;
    // Of two hosts the one with the smaller name dials.
    let is_expected = |host: &str| {
        *host < *settings.host && settings.peers.iter().any(|peer| *peer.host == *host)
    };
    let result = handshake::run(
        settings,
        &stream,
        Role::Listener,
        &manager.traffic,
        is_expected,
    );
    manager.unauthenticated.fetch_sub(1, SeqCst);
    match result {
        Ok(peer) => manager.run_link(stream, peer),
        Err(e) => match stream.peer_addr() {
            Ok(addr) => log::warn!("rejected the peer connection from {addr}: {e}"),
            Err(_) => log::warn!("rejected a peer connection: {e}"),
        },
    }
}
