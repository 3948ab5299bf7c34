//! Which connections exceed their bounds; decides only.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::GuardSettings;
use super::exchange::{Progress, Snapshot};
use super::scan::{Received, Sample};
use crate::clock::Moment;

/// Bytes of a small body that the library reads together with the head, and of
/// its buffer.
const HEAD_SLACK_BYTES: u64 = 2 << 10;
/// Requests that one client may send ahead of their answers.
const PIPELINED: u32 = 16;
/// Time that the reader of a body has to notice a slow client by itself.
const BODY_SLACK: Duration = Duration::from_millis(500);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The head did not arrive in time.
    SlowHead,
    /// The head is too large.
    LargeHead,
    /// The body did not arrive in time.
    SlowBody,
    /// The rest of a refused body is too large or too slow.
    Unread,
    /// No request came.
    Idle,
    /// There are too many connections, or too many requests on this one.
    TooMany,
    /// The connection cannot be used any more.
    Condemned,
}

/// A connection to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Identity of the socket.
    pub inode: u64,
    /// Address of the client.
    pub peer: SocketAddr,
    /// Why.
    pub reason: Reason,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests.
    Idle,
    /// A head arrives; bytes read before it.
    Head(u64),
    /// A request was handed over and its body arrives.
    Body,
    /// An answer is in progress.
    Answer,
    /// Nothing more is read from it; its answer goes on.
    Deaf,
    /// It was closed; its descriptors may outlive it.
    Cut,
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    peer: SocketAddr,
    phase: Phase,
    since: Moment,
    finished: u64,
    /// Bytes received when the last request ended.
    base: Option<Received>,
}

/// The connections of one listening address.
#[derive(Debug)]
pub struct Watch {
    settings: GuardSettings,
    conns: HashMap<u64, Conn>,
    peers: HashSet<SocketAddr>,
}

impl Watch {
    /// Knows no connection yet.
    pub fn new(settings: GuardSettings) -> Self {
        Watch {
            settings,
            conns: HashMap::new(),
            peers: HashSet::new(),
        }
    }

    /// Whether a connection of `peer` exists.
    pub fn knows(&self, peer: &SocketAddr) -> bool {
        self.peers.contains(peer)
    }

    /// Whether to look again soon.
    pub fn is_tense(&self) -> bool {
        let arriving = |c: &Conn| matches!(c.phase, Phase::Head(_));
        self.conns.len() > self.settings.connections / 2 || self.conns.values().any(arriving)
    }

    /// Takes in what the kernel and the handlers say; answers what to close.
    pub fn update(&mut self, samples: &[Sample], progress: &Snapshot, now: Moment) -> Vec<Cut> {
        let seen: HashSet<u64> = samples.iter().map(|s| s.inode).collect();
        self.conns.retain(|inode, _| seen.contains(inode));
        self.peers = samples.iter().map(|s| s.peer).collect();
        let mut cuts = Vec::new();
        for sample in samples {
            let conn = self.conns.entry(sample.inode).or_insert(Conn {
                peer: sample.peer,
                phase: Phase::Idle,
                since: now,
                finished: 0,
                base: sample.bytes,
            });
            let progress = progress.of(&sample.peer);
            conn.step(sample.bytes, progress, now);
            if let Some(reason) = conn.judge(sample.bytes, progress, &self.settings, now) {
                conn.phase = match reason {
                    Reason::SlowBody => Phase::Deaf,
                    _ => Phase::Cut,
                };
                cuts.push(cut(sample.inode, conn, reason));
            }
        }
        self.thin_out(&mut cuts);
        cuts
    }

    /// Closes the connections that have been idle longest, then those whose
    /// request has been arriving longest, down to the bound.
    fn thin_out(&mut self, cuts: &mut Vec<Cut>) {
        let open = self.conns.values().filter(|c| c.phase != Phase::Cut);
        let excess = open.count().saturating_sub(self.settings.connections);
        let waiting = |c: &Conn| matches!(c.phase, Phase::Idle | Phase::Head(_));
        let all = self.conns.iter_mut();
        let mut surplus: Vec<_> = all.filter(|(_, c)| waiting(c)).collect();
        surplus.sort_by_key(|(_, c)| (c.phase != Phase::Idle, c.since));
        for (inode, conn) in surplus.into_iter().take(excess) {
            conn.phase = Phase::Cut;
            cuts.push(cut(*inode, conn, Reason::TooMany));
        }
    }
}

fn cut(inode: u64, conn: &Conn, reason: Reason) -> Cut {
    Cut {
        inode,
        peer: conn.peer,
        reason,
    }
}

impl Conn {
    fn step(&mut self, bytes: Option<Received>, progress: Progress, now: Moment) {
        if matches!(self.phase, Phase::Cut | Phase::Deaf) {
            return;
        }
        if self.finished != progress.finished {
            self.finished = progress.finished;
            self.base = bytes;
            self.enter(Phase::Idle, now);
        }
        if progress.answering > 0 {
            self.enter(Phase::Answer, now);
            return;
        }
        if progress.open > 0 {
            self.enter(Phase::Body, now);
            return;
        }
        let (Some(bytes), Some(base)) = (bytes, self.base) else {
            self.base = bytes;
            self.enter(Phase::Idle, now);
            return;
        };
        match bytes.all > base.all {
            true => self.enter(Phase::Head(base.read), now),
            false => self.enter(Phase::Idle, now),
        }
    }

    fn enter(&mut self, phase: Phase, now: Moment) {
        if self.phase != phase {
            self.phase = phase;
            self.since = now;
        }
    }

    fn judge(
        &self,
        bytes: Option<Received>,
        progress: Progress,
        settings: &GuardSettings,
        now: Moment,
    ) -> Option<Reason> {
        if self.phase == Phase::Cut {
            return None;
        }
        if progress.condemned {
            return Some(Reason::Condemned);
        }
        if progress.open > PIPELINED {
            return Some(Reason::TooMany);
        }
        let took = now.saturating_sub(self.since);
        match self.phase {
            Phase::Answer | Phase::Deaf | Phase::Cut => None,
            Phase::Body => (took >= settings.receive + BODY_SLACK).then_some(Reason::SlowBody),
            Phase::Idle => (took >= settings.receive).then_some(Reason::Idle),
            Phase::Head(base) => {
                let read = bytes.map_or(0, |b| b.read.saturating_sub(base));
                let head = settings.head + HEAD_SLACK_BYTES;
                let slow = took >= settings.receive;
                match progress.unread {
                    true => (slow || read > head + settings.body).then_some(Reason::Unread),
                    false if read > head => Some(Reason::LargeHead),
                    false => slow.then_some(Reason::SlowHead),
                }
            }
        }
    }
}
