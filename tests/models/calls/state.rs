//! State of two hosts, the table, an upstream and the requests with one key.

use mastichinge::config::Name;
use mastichinge::protocol::calls::{Attempt, CallIdentity, CallRecord, CallState, Reply};

/// Deliberate fault in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A call is reported as not run after bytes were sent.
    NotRunAfterBytes,
    /// Bytes are sent before the start is known to be committed.
    EarlySend,
    /// A started attempt whose host is gone counts as not run.
    GoneIsNotRun,
    /// A call whose outcome is unknown is sent again.
    ResendUnknown,
    /// Not run is neither written nor kept in memory.
    NotRunForgotten,
    /// A call is reported as not run although the table was never read.
    BlindNotRun,
}

/// Maximum number of each kind of event in one run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub crashes: u8,
    pub lost_answers: u8,
    pub upstream_deaths: u8,
    pub deadlines: u8,
}

/// Answer to the client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Done(Name),
    NotRun,
    Unknown(SeenCall),
    /// No answer: the host crashed.
    Nothing,
}

/// What a request has read about the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeenCall {
    Nothing,
    /// No attempt ran.
    NotRun,
    /// Another attempt is recorded.
    OtherAttempt,
}

/// Progress of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The request has not been sent.
    NotArrived,
    /// The host reads the table.
    Reading(SeenCall),
    /// The host writes the start over this version; 0 for absent.
    Writing(u64),
    /// The write of the start got no answer.
    Unconfirmed(u64),
    /// The start is committed with this version.
    Started(u64),
    /// The bytes of the attempt were sent.
    Sent(u64),
    Answered(Answer),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    pub host: usize,
    pub phase: Phase,
    /// Attempt, new with each try to start.
    pub attempt: Option<Attempt>,
    pub tries: u8,
    /// On arrival the call had not run and no bytes of it were under way.
    pub clean: bool,
    /// No other request has been open at the same time.
    pub alone: bool,
}

/// Record of an ended attempt that is not yet written to the table.
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

/// Write that takes effect later.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DelayedWrite {
    pub expect: u64,
    pub record: CallRecord,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub version: u64,
    pub record: Option<CallRecord>,
    pub hosts: Vec<Host>,
    pub requests: Vec<Request>,
    /// Attempts whose bytes are in transit to the upstream.
    pub in_transit: Vec<Name>,
    /// Attempts that the upstream ran.
    pub ran: Vec<Name>,
    /// Bytes of some attempt were sent.
    pub bytes_sent: bool,
    pub delayed: Vec<DelayedWrite>,
    pub budget: Budget,
    pub crashed: bool,
}

/// Bounds and fault of one run of the model checker.
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

    /// Returns the start record of a request's attempt.
    pub fn start_record(&self, r: usize) -> CallRecord {
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

    /// Records the end of an attempt in memory and queues it for the table.
    pub fn end_attempt(&mut self, r: usize, expect: u64, state: CallState) {
        let record = CallRecord {
            state,
            ..self.start_record(r)
        };
        let host = self.host(r);
        host.held.retain(|h| h.attempt != record.attempt);
        host.held.push(record.clone());
        host.endings.push(Ending { record, expect });
    }
}

/// Returns the reply of the upstream to an attempt.
pub fn reply(attempt: &str) -> Reply {
    Reply {
        status: 200,
        media: "".into(),
        body: attempt.as_bytes().to_vec(),
    }
}

/// Returns the attempt that a reply names.
pub fn replied_attempt(reply: &Reply) -> Name {
    String::from_utf8_lossy(&reply.body).into()
}
