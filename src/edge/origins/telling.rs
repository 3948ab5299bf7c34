//! Tells other hosts at which versions streams begin while a service has several, and asks them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::recording::part_index;
use super::{StreamId, Told};
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::gossip::{Packet, StreamNote, StreamReply};
use crate::edge::members::Members;
use crate::edge::state::{Edge, State};

/// Period of telling hosts again that have not replied, as datagrams may be lost.
pub(super) const TELL_PERIOD: Duration = Duration::from_millis(80);
/// Maximum number of hosts that are told of a stream.
const MAX_HOLDERS: usize = 4;
/// Number of hosts that hold a stream's version before its caller gets events without a row; fewer
/// only where fewer are alive.
const MIN_HOLDERS: usize = 2;
/// Number of hosts that are asked about a stream beyond those that may have been told of it, as
/// hosts come and go.
const MORE_ASKED: usize = 2;
/// Time for which replies to a question are awaited.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of notes, replies or questions in one datagram, so that it fits one frame.
const STREAMS_PER_PACKET: usize = 12;

/// What other hosts are to be told and asked, by host.
#[derive(Debug, Default)]
pub struct Telling {
    /// Notes that are due at once.
    notes: BTreeMap<Arc<str>, Vec<StreamNote>>,
    /// Notes that are due with the next heartbeat.
    later_notes: BTreeMap<Arc<str>, Vec<StreamNote>>,
    replies: BTreeMap<Arc<str>, Vec<StreamReply>>,
    questions: BTreeMap<Arc<str>, Vec<Vec<u8>>>,
    /// Streams about which hosts were asked.
    open: HashMap<StreamId, Question>,
}

/// A question about a stream.
#[derive(Debug, Default)]
struct Question {
    /// Requests that wait for replies.
    waiting: usize,
    /// Hosts that have not replied.
    hosts: BTreeSet<Arc<str>>,
    /// Version that a host has named.
    software: Option<Arc<str>>,
}

/// Waits for replies to a question until it is dropped.
struct QuestionGuard<'a> {
    edge: &'a Edge,
    stream: StreamId,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        let open = &mut self.edge.state.borrow_mut().origins.telling.open;
        if let Some(question) = open.get_mut(&self.stream) {
            question.waiting -= 1;
            if question.waiting == 0 {
                open.remove(&self.stream);
            }
        }
    }
}

impl Telling {
    fn add_note(&mut self, host: &Arc<str>, told: &Told) {
        let notes = match told.unwritten {
            true => &mut self.notes,
            false => &mut self.later_notes,
        };
        notes.entry(host.clone()).or_default().push(StreamNote {
            stream: told.stream.as_bytes().to_vec(),
            service: told.service.to_string(),
            software: told.software.to_string(),
            unwritten: told.unwritten,
        });
    }

    fn add_reply(&mut self, host: &Arc<str>, stream: StreamId, software: &str) {
        let replies = self.replies.entry(host.clone()).or_default();
        replies.push(StreamReply {
            stream: stream.as_bytes().to_vec(),
            software: software.to_owned(),
        });
    }

    fn add_question(&mut self, host: &Arc<str>, stream: StreamId) {
        let questions = self.questions.entry(host.clone()).or_default();
        questions.push(stream.as_bytes().to_vec());
    }

    /// Records the reply of a host to a question; an empty version says that it knows none.
    fn record_reply(&mut self, stream: StreamId, host: &str, software: &str) {
        let Some(question) = self.open.get_mut(&stream) else {
            return;
        };
        question.hosts.remove(host);
        if !software.is_empty() {
            question.software.get_or_insert_with(|| software.into());
        }
    }

    /// Takes what is due, with the host that gets it.
    fn take(&mut self, is_heartbeat: bool) -> Vec<(Arc<str>, Packet)> {
        let mut packets = Vec::new();
        let mut notes = std::mem::take(&mut self.notes);
        if is_heartbeat {
            for (host, mut later) in std::mem::take(&mut self.later_notes) {
                notes.entry(host).or_default().append(&mut later);
            }
        }
        add_packets(&mut packets, notes, |packet, notes| {
            packet.stream_notes = notes;
        });
        let replies = std::mem::take(&mut self.replies);
        add_packets(&mut packets, replies, |packet, replies| {
            packet.stream_replies = replies;
        });
        let questions = std::mem::take(&mut self.questions);
        add_packets(&mut packets, questions, |packet, questions| {
            packet.stream_questions = questions;
        });
        packets
    }
}

/// Adds packets with these items, each as many as fit one datagram.
fn add_packets<T: Clone>(
    packets: &mut Vec<(Arc<str>, Packet)>,
    items: BTreeMap<Arc<str>, Vec<T>>,
    fill: impl Fn(&mut Packet, Vec<T>),
) {
    for (host, items) in items {
        for items in items.chunks(STREAMS_PER_PACKET) {
            let mut packet = Packet::default();
            fill(&mut packet, items.to_vec());
            packets.push((host.clone(), packet));
        }
    }
}

/// Returns the hosts that come first for a stream, at most so many; each host finds the same.
fn first_hosts<'a>(
    hosts: impl Iterator<Item = &'a Arc<str>>,
    stream: StreamId,
    most: usize,
) -> Vec<Arc<str>> {
    let seed = u64::from(stream.first_byte());
    let rank = |host: &Arc<str>| xxh3_64_with_seed(host.as_bytes(), seed);
    let mut hosts: Vec<_> = hosts.cloned().collect();
    hosts.sort_by_key(|host| Reverse(rank(host)));
    hosts.truncate(most);
    hosts
}

impl Members {
    /// Returns the hosts that are told of a stream.
    fn holders(&self, stream: StreamId, now: Moment) -> Vec<Arc<str>> {
        let ready = self.alive_members(now).filter(|(_, m)| m.ready);
        first_hosts(ready.map(|(host, _)| host), stream, MAX_HOLDERS)
    }

    /// Returns the hosts that are asked about a stream.
    fn asked(&self, stream: StreamId, now: Moment) -> Vec<Arc<str>> {
        let alive = self.alive_members(now).map(|(host, _)| host);
        first_hosts(alive, stream, MAX_HOLDERS + MORE_ASKED)
    }

    fn has_holders(&self, now: Moment) -> bool {
        self.alive_members(now).any(|(_, m)| m.ready)
    }
}

impl State {
    /// Takes what other hosts are to be told and asked of streams, with their addresses; some of it
    /// is due with a heartbeat only.
    pub fn take_stream_packets(&mut self, is_heartbeat: bool) -> Vec<(SocketAddr, Packet)> {
        let packets = self.origins.telling.take(is_heartbeat).into_iter();
        let addressed = packets.filter_map(|(host, packet)| {
            let member = self.members.all.get(&host)?;
            Some((member.peers, packet))
        });
        addressed.collect()
    }
}

impl Edge {
    /// Returns whether other hosts can be told of streams.
    pub fn can_tell(&self) -> bool {
        self.state.borrow().members.has_holders(clock::now())
    }

    /// Returns how many hosts must hold the version of a stream without a row.
    pub(super) fn holders_needed(&self) -> usize {
        let state = self.state.borrow();
        let alive = state.members.alive_members(clock::now());
        let ready = alive.filter(|(_, m)| m.ready).count();
        ready.clamp(1, MIN_HOLDERS)
    }

    /// Tells other hosts of a stream that has no row yet.
    pub(super) fn tell_others(&self, stream: StreamId) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let Some(told) = state.origins.streams.tell(stream) else {
            return;
        };
        for host in state.members.holders(stream, clock::now()) {
            state.origins.telling.add_note(&host, &told);
        }
        self.metrics.record_origin_rows("told", 1);
        self.send_wake.notify_one();
    }

    /// Tells other hosts that a stream has begun here while its service has several versions.
    pub(super) fn announce_stream(&self, stream: StreamId, service: &str) {
        let now = clock::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let origins = &mut state.origins;
        if !origins.services.has_several(service, now) {
            return;
        }
        let Some(told) = origins.streams.announce(stream) else {
            return;
        };
        for host in state.members.holders(stream, now) {
            origins.telling.add_note(&host, &told);
        }
    }

    /// Keeps the version of a stream that is passed on here and began at another host, which may
    /// have ended.
    pub(super) fn keep_stream(&self, stream: StreamId, service: &str, software: &Arc<str>) {
        let told = Told {
            stream,
            service: service.into(),
            software: software.clone(),
            unwritten: false,
        };
        let streams = &mut self.state.borrow_mut().origins.streams;
        streams.record_told(&told, &Arc::default(), clock::now());
    }

    /// Asks other hosts at which version a stream began; `None` if none of them knows.
    pub(super) async fn ask_others(&self, stream: StreamId) -> Option<Arc<str>> {
        let mut replied = self.origins_written.subscribe();
        let started_at = clock::now();
        let until = started_at + ASK_TIMEOUT;
        let mut ask_at = started_at;
        let hosts = self.state.borrow().members.asked(stream, started_at);
        let _guard = self.open_question(stream, hosts);
        loop {
            replied.borrow_and_update();
            let now = clock::now();
            {
                let telling = &mut self.state.borrow_mut().origins.telling;
                let question = telling.open.get(&stream)?;
                if question.software.is_some() {
                    return question.software.clone();
                }
                if question.hosts.is_empty() || now >= until {
                    return None;
                }
                if now >= ask_at {
                    // Again after a while, as datagrams may be lost.
                    ask_at = now + TELL_PERIOD;
                    for host in question.hosts.clone() {
                        telling.add_question(&host, stream);
                    }
                    self.send_wake.notify_one();
                }
            }
            let pause = ask_at.min(until).saturating_sub(now);
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = replied.changed() => {}
            }
        }
    }

    /// Opens a question to these hosts, or waits with others for its replies.
    fn open_question(&self, stream: StreamId, hosts: Vec<Arc<str>>) -> QuestionGuard<'_> {
        let open = &mut self.state.borrow_mut().origins.telling.open;
        let question = open.entry(stream).or_default();
        if question.waiting == 0 {
            question.hosts.extend(hosts);
        }
        question.waiting += 1;
        QuestionGuard { edge: self, stream }
    }

    /// Records what another host tells of streams, has their rows written, and replies to its
    /// questions.
    pub fn record_stream_notes(self: &Rc<Self>, host: &Arc<str>, packet: &Packet) {
        let now = clock::now();
        if !packet.stream_notes.is_empty() {
            let count = packet.stream_notes.len();
            log::debug!(host = &**host, count; "streams told by another host");
        }
        for note in &packet.stream_notes {
            let Some(stream) = StreamId::from_bytes(&note.stream) else {
                log::warn!(host = &**host; "note of a stream ignored: its id has another length");
                continue;
            };
            let told = Told {
                stream,
                service: note.service.as_str().into(),
                software: note.software.as_str().into(),
                unwritten: note.unwritten,
            };
            let mut state = self.state.borrow_mut();
            let origins = &mut state.origins;
            let (software, is_due) = origins.streams.record_told(&told, host, now);
            if told.unwritten && self.is_ready() {
                origins.telling.add_reply(host, stream, &software);
                self.send_wake.notify_one();
            }
            drop(state);
            if is_due {
                self.write_part(part_index(stream));
            }
        }
        let questions = packet.stream_questions.iter();
        for stream in questions.filter_map(|id| StreamId::from_bytes(id)) {
            let origins = &mut self.state.borrow_mut().origins;
            let known = origins.streams.origin(stream);
            let software = known.map_or_else(Arc::default, |(software, _)| software);
            origins.telling.add_reply(host, stream, &software);
            self.send_wake.notify_one();
        }
        for reply in &packet.stream_replies {
            let Some(stream) = StreamId::from_bytes(&reply.stream) else {
                log::warn!(host = &**host; "reply about a stream ignored: its id has another length");
                continue;
            };
            let origins = &mut self.state.borrow_mut().origins;
            let software = &*reply.software;
            origins.streams.record_holder(stream, host, software);
            origins.telling.record_reply(stream, host, software);
        }
        if !packet.stream_replies.is_empty() {
            self.origins_written.send_modify(|n| *n += 1);
        }
    }
}
