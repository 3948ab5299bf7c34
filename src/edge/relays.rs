//! Messages to all daemons that other daemons pass on: announcements cross to another
//! failure domain by few daemons, and in large deployments one daemon of each domain
//! collects the prompts that were sent to engines.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;
use tokio::net::UdpSocket;

use super::clock;
use super::gossip::{AnnouncedModelsNote, EngineNewsNote, Packet, PromptNote};
use super::members::RelayPlan;
use super::peers::send_packet;
use super::reports::{NEWS_PER_PACKET, PROMPTS_PER_PACKET};
use super::state::Edge;

/// Largest datagram, bytes: fits one Ethernet frame with headers.
const DATAGRAM_BYTES: usize = 1_400;
/// Bytes of a datagram that a note takes in addition to its content, and its part of the
/// sender's name.
const NOTE_OVERHEAD: usize = 6;
/// Time for which prompts are collected before they are passed on.
const COLLECT_PERIOD: Duration = Duration::from_millis(20);

/// Announces the models of engines to all daemons that are alive, in as few datagrams
/// as possible.
pub async fn announce(edge: &Edge, socket: &UdpSocket, notes: Vec<AnnouncedModelsNote>) {
    let domain = edge.settings().domain.clone();
    let plan = edge
        .state
        .borrow()
        .members
        .relay_plan(&domain, clock::now());
    let mut announcements = Vec::new();
    let mut bytes = 0;
    for note in notes {
        let size = note.encoded_len() + NOTE_OVERHEAD;
        if bytes + size > DATAGRAM_BYTES && !announcements.is_empty() {
            send_announcements(edge, socket, std::mem::take(&mut announcements), &plan).await;
            bytes = 0;
        }
        bytes += size;
        announcements.push(note);
    }
    send_announcements(edge, socket, announcements, &plan).await;
}

/// Sends the announcements of one datagram.
async fn send_announcements(
    edge: &Edge,
    socket: &UdpSocket,
    announcements: Vec<AnnouncedModelsNote>,
    plan: &RelayPlan,
) {
    let mut packet = Packet {
        announcements,
        ..unnumbered(edge)
    };
    send_packet(socket, &packet, &plan.direct).await;
    packet.relay = true;
    send_packet(socket, &packet, &plan.relays).await;
}

/// Sends prompts and news of engines to the daemon of each failure domain that collects them there.
pub(super) async fn send_prompts(
    edge: &Edge,
    socket: &UdpSocket,
    prompts: Vec<PromptNote>,
    news: Vec<EngineNewsNote>,
) {
    let domain = edge.settings().domain.clone();
    let collectors =
        edge.state
            .borrow()
            .members
            .prompt_collectors(&edge.host, &domain, clock::now());
    if collectors.is_own {
        collect(edge, &edge.host, prompts.clone(), news.clone());
    }
    let packet = Packet {
        sent_prompts: prompts,
        engine_news: news,
        relay: true,
        ..unnumbered(edge)
    };
    send_packet(socket, &packet, &collectors.others).await;
}

/// Passes a packet of another daemon on to this failure domain.
pub(super) async fn pass_on(edge: &Edge, socket: &UdpSocket, packet: Packet) {
    if packet.is_for_alive() {
        collect(edge, &packet.host, packet.sent_prompts, packet.engine_news);
    }
    if !packet.announcements.is_empty() {
        let plan = RelayPlan {
            direct: domain_members(edge),
            ..RelayPlan::default()
        };
        send_announcements(edge, socket, packet.announcements, &plan).await;
    }
}

/// Keeps prompts and news of engines until they are passed on.
fn collect(edge: &Edge, sender: &str, prompts: Vec<PromptNote>, news: Vec<EngineNewsNote>) {
    let mut state = edge.state.borrow_mut();
    for mut prompt in prompts {
        prompt.sender = sender.to_owned();
        state.relayed_prompts.push(prompt);
    }
    for mut note in news {
        note.sender = sender.to_owned();
        state.relayed_news.push(note);
    }
    drop(state);
    edge.relay_wake.notify_one();
}

/// Passes collected prompts and news of engines on to this failure domain.
pub async fn relay_prompts(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    loop {
        edge.relay_wake.notified().await;
        tokio::time::sleep(COLLECT_PERIOD).await;
        let prompts = std::mem::take(&mut edge.state.borrow_mut().relayed_prompts);
        let recipients = domain_members(&edge);
        for prompts in prompts.chunks(PROMPTS_PER_PACKET) {
            let packet = Packet {
                sent_prompts: prompts.to_vec(),
                ..unnumbered(&edge)
            };
            send_packet(&socket, &packet, &recipients).await;
        }
        let news = std::mem::take(&mut edge.state.borrow_mut().relayed_news);
        for news in news.chunks(NEWS_PER_PACKET) {
            let packet = Packet {
                engine_news: news.to_vec(),
                ..unnumbered(&edge)
            };
            send_packet(&socket, &packet, &recipients).await;
        }
    }
}

/// Returns an empty packet of this daemon without a heartbeat, which needs no number.
fn unnumbered(edge: &Edge) -> Packet {
    Packet {
        host: edge.host.to_string(),
        incarnation: edge.incarnation,
        ..Packet::default()
    }
}

/// Returns the addresses of the other daemons in this failure domain that are alive.
fn domain_members(edge: &Edge) -> Vec<std::net::SocketAddr> {
    let domain = edge.settings().domain.clone();
    let state = edge.state.borrow();
    state.members.domain_addrs(&domain, clock::now())
}
