//! Records of at-most-once calls and their transitions.
//!
//! A record goes absent → started → done, not run or unknown. Started is
//! committed before the first byte of the attempt is sent to the upstream.
//! Another attempt may start only after not run.

use serde::{Deserialize, Serialize};

use crate::config::Name;

/// Attempt to run a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Id, unique over all hosts and restarts.
    pub id: Name,
    /// Host that makes the attempt.
    pub host: Name,
    /// Incarnation of the daemon on that host.
    pub incarnation: u64,
}

/// HTTP response of the upstream.
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

/// State of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// Bytes of the attempt may have been sent.
    Started,
    /// The upstream sent a complete response.
    Done(Reply),
    /// No byte of the attempt was sent, and none will be.
    NotRun,
    /// Bytes may have been sent and no complete response arrived.
    Unknown,
}

/// Identity of a call; retries of the call have the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallIdentity {
    /// Name of the caller.
    pub caller: Name,
    /// Hash of method, path and body.
    pub fingerprint: Name,
}

/// Table item of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallRecord {
    /// Identity of the call.
    pub identity: CallIdentity,
    /// Latest attempt.
    pub attempt: Attempt,
    /// State of that attempt.
    pub state: CallState,
    /// Time until which the record is kept, seconds since the Unix epoch.
    pub until: u64,
}

/// Decision on a request, given the record of its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAdmission {
    /// The attempt may start: the record to commit before the first byte is
    /// sent.
    Start(CallRecord),
    /// The start of this attempt is recorded: it may send.
    Started,
    /// The upstream answered an earlier attempt.
    Done(Reply),
    /// An earlier attempt is recorded as started; its host may know the outcome.
    AskHost(Attempt),
    /// The outcome of an earlier attempt is unknown.
    Unknown,
    /// The idempotency key belongs to another call.
    KeyReused,
}

/// Returns the later of the table's record and the record held by the host of
/// the attempt; the host's record counts for its own attempt only.
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

/// Decides whether the attempt of `start` may start, given the table's `record`
/// and the record held by the host of the recorded attempt.
pub fn admit(
    record: Option<&CallRecord>,
    host_record: Option<&CallRecord>,
    start: &CallRecord,
) -> CallAdmission {
    let Some(record) = record else {
        return CallAdmission::Start(start.clone());
    };
    if record.identity != start.identity {
        return CallAdmission::KeyReused;
    }
    match &latest_record(record, host_record).state {
        CallState::Done(reply) => CallAdmission::Done(reply.clone()),
        CallState::Unknown => CallAdmission::Unknown,
        CallState::NotRun => CallAdmission::Start(start.clone()),
        CallState::Started if record.attempt == start.attempt => CallAdmission::Started,
        CallState::Started => CallAdmission::AskHost(record.attempt.clone()),
    }
}

/// Returns whether the record shows that no attempt has run.
pub fn no_attempt_ran(record: Option<&CallRecord>) -> bool {
    record.is_none_or(|r| r.state == CallState::NotRun)
}

/// Returns whether bytes of the attempt of `held`, a record held by this host,
/// may be sent: the host has not given the attempt up, and the table's `record`,
/// from the answer to the commit or a later read, shows its start.
pub fn may_send(record: Option<&CallRecord>, held: &CallRecord) -> bool {
    let Some(record) = record else {
        return false;
    };
    held.state == CallState::Started
        && record.state == CallState::Started
        && record.attempt == held.attempt
}

/// Returns the record to write over the table's `record` to settle the attempt of
/// `final_record`, whose state is final; `None` when nothing is left to write.
///
/// Not run is also written where no start was found: a start that is still in
/// flight can no longer take effect after this write.
pub fn settled_record(
    record: Option<&CallRecord>,
    final_record: &CallRecord,
) -> Option<CallRecord> {
    let Some(record) = record else {
        return Some(final_record.clone());
    };
    let write = match &record.state {
        CallState::Started => record.attempt == final_record.attempt,
        CallState::Unknown => {
            record.attempt == final_record.attempt && final_record.state != CallState::Unknown
        }
        CallState::NotRun => {
            record.attempt != final_record.attempt && final_record.state == CallState::NotRun
        }
        CallState::Done(_) => false,
    };
    write.then(|| final_record.clone())
}

/// Returns the record with state unknown for a started attempt whose host is
/// gone; `None` for any other state.
pub fn orphaned_record(record: &CallRecord) -> Option<CallRecord> {
    let started = record.state == CallState::Started;
    started.then(|| CallRecord {
        state: CallState::Unknown,
        ..record.clone()
    })
}

/// Returns whether the record may be deleted at `unix_time`, seconds since the
/// Unix epoch. A started record is never deleted but first settled, so that a
/// paused host that resumes finds its attempt ended.
pub fn is_expired(record: &CallRecord, unix_time: u64) -> bool {
    record.state != CallState::Started && record.until < unix_time
}

/// Serializes bodies as text where they are UTF-8, else as bytes.
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
