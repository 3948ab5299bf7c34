//! State of two hosts, the table, an upstream and the requests of one key.

use mastichinge::config::Name;
use mastichinge::protocol::calls::{Attempt, CallIdentity, CallRecord, CallState, Reply};

/// A deliberate fault of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Not run is said after bytes were sent.
    NotRunAfterBytes,
    /// Bytes are sent before the start is known to be committed.
    EarlySend,
    /// A start whose host is gone counts as not run.
    GoneIsNotRun,
    /// A call whose outcome is unknown is sent again.
    ResendUnknown,
    /// Not run is neither written nor kept in memory.
    NotRunForgotten,
    /// Not run is said although the table was never read.
    BlindNotRun,
}

/// How many of each may happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub crashes: u8,
    pub lost: u8,
    pub deaths: u8,
    pub deadlines: u8,
}

/// What the client got.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Done(Name),
    NotRun,
    Unknown(Seen),
    /// The host died.
    Nothing,
}

/// What a request has seen of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Seen {
    Nothing,
    Clear,
    Other,
}

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It has not been sent.
    Later,
    /// It reads the table.
    Reads(Seen),
    /// It will write its start over this version; 0 for absent.
    Writes(u64),
    /// Its start has no answer.
    Unsure(u64),
    /// Its start is committed with this version.
    Started(u64),
    /// Its bytes were sent.
    Sent(u64),
    Answered(Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    pub host: usize,
    pub phase: Phase,
    /// The attempt, renewed with each try to start.
    pub attempt: Option<Attempt>,
    pub tries: u8,
    /// On arrival the call had not run and no bytes of it were under way.
    pub clean: bool,
    /// No other request has been open at the same time.
    pub alone: bool,
}

/// An end that the table has not taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ending {
    pub record: CallRecord,
    pub expect: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    pub incarnation: u64,
    pub held: Vec<CallRecord>,
    pub endings: Vec<Ending>,
}

/// A write that takes effect late.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Late {
    pub expect: u64,
    pub record: CallRecord,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub version: u64,
    pub record: Option<CallRecord>,
    pub hosts: Vec<Host>,
    pub requests: Vec<Request>,
    /// Attempts whose bytes are on their way to the upstream.
    pub flying: Vec<Name>,
    /// Attempts that the upstream ran.
    pub ran: Vec<Name>,
    /// Bytes of some attempt were sent.
    pub touched: bool,
    pub late: Vec<Late>,
    pub budget: Budget,
    pub crashed: bool,
}

/// Bounds and fault of one check.
pub struct Calls {
    pub requests: usize,
    pub budget: Budget,
    pub fault: Fault,
}

pub type Steps = Vec<(String, State)>;

impl State {
    /// Writes `record` if the table still has the version `expect`.
    pub fn write(&mut self, expect: u64, record: &CallRecord) -> bool {
        if self.version != expect {
            return false;
        }
        self.version += 1;
        self.record = Some(record.clone());
        true
    }

    /// The draft of a request's attempt.
    pub fn draft(&self, r: usize) -> CallRecord {
        let request = &self.requests[r];
        let host = &self.hosts[request.host];
        let attempt = request.attempt.clone().unwrap_or_else(|| Attempt {
            id: format!("r{r}.{}", request.tries).into(),
            host: format!("h{}", request.host).into(),
            incarnation: host.incarnation,
        });
        CallRecord {
            identity: CallIdentity {
                caller: "c".into(),
                fingerprint: "f".into(),
            },
            attempt,
            state: CallState::Started,
            until: 0,
        }
    }

    pub fn host(&mut self, r: usize) -> &mut Host {
        let host = self.requests[r].host;
        &mut self.hosts[host]
    }

    pub fn answer(&mut self, r: usize, answer: Answer) {
        self.requests[r].phase = Phase::Answered(answer);
    }

    /// Notes the end of an attempt in memory and for the table.
    pub fn end(&mut self, r: usize, expect: u64, state: CallState) {
        let record = CallRecord {
            state,
            ..self.draft(r)
        };
        let host = self.host(r);
        host.held.retain(|h| h.attempt != record.attempt);
        host.held.push(record.clone());
        host.endings.push(Ending { record, expect });
    }
}

/// The reply of the upstream to an attempt.
pub fn reply(attempt: &str) -> Reply {
    Reply {
        status: 200,
        media: "".into(),
        body: attempt.as_bytes().to_vec(),
    }
}

/// The attempt that a reply names.
pub fn replied(reply: &Reply) -> Name {
    String::from_utf8_lossy(&reply.body).into()
}
