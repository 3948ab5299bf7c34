//! Tells other hosts at which versions streams begin whose rows cannot be written here.

use std::cmp::Reverse;
use std::collections::BTreeMap;
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
/// Maximum number of notes or replies in one datagram, so that it fits one frame.
const STREAMS_PER_PACKET: usize = 12;

/// What other hosts are to be told, by host.
#[derive(Debug, Default)]
pub struct Telling {
    notes: BTreeMap<Arc<str>, Vec<StreamNote>>,
    replies: BTreeMap<Arc<str>, Vec<StreamReply>>,
}

impl Telling {
    fn add_note(&mut self, host: &Arc<str>, told: &Told) {
        let notes = self.notes.entry(host.clone()).or_default();
        notes.push(StreamNote {
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

    /// Takes what is due, with the host that gets it.
    fn take(&mut self) -> Vec<(Arc<str>, Packet)> {
        let mut packets = Vec::new();
        for (host, notes) in std::mem::take(&mut self.notes) {
            for notes in notes.chunks(STREAMS_PER_PACKET) {
                let packet = Packet {
                    stream_notes: notes.to_vec(),
                    ..Packet::default()
                };
                packets.push((host.clone(), packet));
            }
        }
        for (host, replies) in std::mem::take(&mut self.replies) {
            for replies in replies.chunks(STREAMS_PER_PACKET) {
                let packet = Packet {
                    stream_replies: replies.to_vec(),
                    ..Packet::default()
                };
                packets.push((host.clone(), packet));
            }
        }
        packets
    }
}

impl Members {
    /// Returns the hosts that are told of a stream: of those that are alive and ready, every host
    /// chooses the same, and none gets those of all.
    fn holders(&self, stream: StreamId, now: Moment) -> Vec<Arc<str>> {
        let seed = u64::from(stream.first_byte());
        let rank = |host: &Arc<str>| xxh3_64_with_seed(host.as_bytes(), seed);
        let ready = self.alive_members(now).filter(|(_, m)| m.ready);
        let mut hosts: Vec<_> = ready.map(|(host, _)| host.clone()).collect();
        hosts.sort_by_key(|host| Reverse(rank(host)));
        hosts.truncate(MAX_HOLDERS);
        hosts
    }

    fn has_holders(&self, now: Moment) -> bool {
        self.alive_members(now).any(|(_, m)| m.ready)
    }
}

impl State {
    /// Takes what other hosts are to be told of streams, with their addresses.
    pub fn take_stream_packets(&mut self) -> Vec<(SocketAddr, Packet)> {
        let packets = self.origins.telling.take().into_iter();
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

    /// Records what another host tells of streams, and has their rows written.
    pub fn record_stream_notes(self: &Rc<Self>, host: &Arc<str>, packet: &Packet) {
        let now = clock::now();
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
        for reply in &packet.stream_replies {
            let Some(stream) = StreamId::from_bytes(&reply.stream) else {
                log::warn!(host = &**host; "reply about a stream ignored: its id has another length");
                continue;
            };
            let mut state = self.state.borrow_mut();
            let streams = &mut state.origins.streams;
            streams.record_holder(stream, host, &reply.software);
        }
        if !packet.stream_replies.is_empty() {
            self.origins_written.send_modify(|n| *n += 1);
        }
    }
}
