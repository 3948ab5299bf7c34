//! Calls that may not be repeated: records and their transitions.
//!
//! A record goes absent → started → done, not run or unknown. Started is
//! committed before the first byte of the attempt goes to the upstream. Only
//! not run lets another attempt start.

use serde::{Deserialize, Serialize};

use crate::config::Name;

/// One attempt to run a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Id, unique over all hosts and restarts.
    pub id: Name,
    /// Host that makes it.
    pub host: Name,
    /// Incarnation of the daemon there.
    pub incarnation: u64,
}

/// Answer of the upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub media: Name,
    /// Body.
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

/// What is known about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// Bytes of it may have been sent.
    Started,
    /// The upstream answered.
    Done(Reply),
    /// No byte of it was sent, and none will be.
    NotRun,
    /// Bytes may have been sent and no whole answer came.
    Unknown,
}

/// Who calls what: a retry shows the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallIdentity {
    /// Caller.
    pub caller: Name,
    /// Hash of method, path and body.
    pub fingerprint: Name,
}

/// Content of the item of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallRecord {
    /// Who calls what.
    pub identity: CallIdentity,
    /// Latest attempt.
    pub attempt: Attempt,
    /// What is known about it.
    pub state: CallState,
    /// End of the time for which the record is kept, seconds since the Unix
    /// epoch.
    pub until: u64,
}

/// What a request finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAdmission {
    /// It may start: the record to commit before the first byte is sent.
    Start(CallRecord),
    /// Its own start is recorded: it may send.
    Started,
    /// An earlier attempt was answered.
    Done(Reply),
    /// An earlier attempt is in progress or its host has not been asked.
    AskHost(Attempt),
    /// The outcome of an earlier attempt is unknown.
    Unknown,
    /// The key belongs to another call.
    KeyReused,
}

/// The newer of the table's record and the word of the host that makes the
/// attempt; its word counts for its own attempt only.
pub fn latest_record<'a>(
    record: &'a CallRecord,
    host_record: Option<&'a CallRecord>,
) -> &'a CallRecord {
    match host_record {
        Some(host_record)
            if host_record.attempt == record.attempt && host_record.state != CallState::Started =>
        {
            host_record
        }
        _ => record,
    }
}

/// What the request of `mine` finds in the table's `record`, together with what
/// the host of the recorded attempt host_record about it.
pub fn admit(
    record: Option<&CallRecord>,
    host_record: Option<&CallRecord>,
    mine: &CallRecord,
) -> CallAdmission {
    let Some(record) = record else {
        return CallAdmission::Start(mine.clone());
    };
    if record.identity != mine.identity {
        return CallAdmission::KeyReused;
    }
    match &latest_record(record, host_record).state {
        CallState::Done(reply) => CallAdmission::Done(reply.clone()),
        CallState::Unknown => CallAdmission::Unknown,
        CallState::NotRun => CallAdmission::Start(mine.clone()),
        CallState::Started if record.attempt == mine.attempt => CallAdmission::Started,
        CallState::Started => CallAdmission::AskHost(record.attempt.clone()),
    }
}

/// Whether the record shows that no attempt has run.
pub fn no_attempt_ran(record: Option<&CallRecord>) -> bool {
    record.is_none_or(|r| r.state == CallState::NotRun)
}

/// Whether a byte of the attempt may be sent: the answer to its commit or a
/// later read shows its own start, and this host has not given the attempt up.
pub fn may_send(record: Option<&CallRecord>, held: &CallRecord) -> bool {
    let Some(record) = record else {
        return false;
    };
    held.state == CallState::Started
        && record.state == CallState::Started
        && record.attempt == held.attempt
}

/// The record that settles `mine`, whose state is final, over the table's
/// `record`; `None` when nothing is left to write.
///
/// Not run is also written where its start was not found: the start may be on
/// its way, and can no longer take effect after this write.
pub fn settled_record(record: Option<&CallRecord>, mine: &CallRecord) -> Option<CallRecord> {
    let Some(record) = record else {
        return Some(mine.clone());
    };
    let write = match &record.state {
        CallState::Started => record.attempt == mine.attempt,
        CallState::Unknown => record.attempt == mine.attempt && mine.state != CallState::Unknown,
        CallState::NotRun => record.attempt != mine.attempt && mine.state == CallState::NotRun,
        CallState::Done(_) => false,
    };
    write.then(|| mine.clone())
}

/// The record that states that the host of a started attempt is gone.
pub fn orphaned_record(record: &CallRecord) -> Option<CallRecord> {
    let started = record.state == CallState::Started;
    started.then(|| CallRecord {
        state: CallState::Unknown,
        ..record.clone()
    })
}

/// Whether the record may be deleted. A start is never deleted: it is settled
/// first, so that a paused host finds its attempt closed.
pub fn is_expired(record: &CallRecord, unix: u64) -> bool {
    record.state != CallState::Started && record.until < unix
}

/// Bodies as text where they are UTF-8, else as bytes.
mod body {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Serialize, Deserialize)]
    #[serde(untagged)]
    enum Body {
        Text(String),
        Bytes(Vec<u8>),
    }

    pub fn serialize<S: Serializer>(body: &[u8], to: S) -> Result<S::Ok, S::Error> {
        let body = match std::str::from_utf8(body) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Bytes(body.to_vec()),
        };
        body.serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        Ok(match Body::deserialize(from)? {
            Body::Text(text) => text.into_bytes(),
            Body::Bytes(bytes) => bytes,
        })
    }
}
