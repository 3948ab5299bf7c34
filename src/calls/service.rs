//! The way of one request: admit, record the start, send, record the end.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::ask::Asker;
use super::batch::Writer;
use super::held::Held;
use super::read::Reader;
use super::refuse::{final_answer, not_run, reused, unknown};
use super::settle::{Ending, Settler, put};
use super::sweep::Sweep;
use super::{CallSettings, Peers, Request, SendEnd, Told, item};
use crate::clock::{Clock, Moment};
use crate::config::Name;
use crate::error::{Kind, Refusal};
use crate::outside::{Item, Precondition, Table, TableError};
use crate::protocol::calls::{
    Admit, Attempt, CallRecord, CallState, Reply, admit, free, may_send, orphaned,
};

/// What has been seen of the call before the deadline.
#[derive(Clone, Copy, PartialEq)]
enum Seen {
    /// The table was not read.
    Nothing,
    /// No attempt had run.
    Clear,
    /// Another attempt may be running.
    Other,
}

/// The record of a call as read from the table.
struct Read {
    expect: Precondition,
    record: Option<CallRecord>,
}

/// How the commit of a start ended.
enum Start {
    /// It is in the table; the state that the next write expects.
    Committed(Precondition),
    /// Another attempt was recorded first; what is seen of it.
    Taken(Seen),
    /// The attempt was given up before a byte was sent.
    Ended(Refusal),
}

/// One request on its way.
struct Way<'a> {
    request: &'a Request,
    item: Name,
    mine: CallRecord,
    deadline: Moment,
    seen: Seen,
}

/// Runs calls at most once.
pub struct Calls<T, P> {
    table: Arc<T>,
    asker: Arc<Asker<P>>,
    held: Arc<Held>,
    reader: Reader,
    writer: Writer,
    settler: Settler,
    settings: CallSettings,
    next: AtomicU64,
}

impl<T: Table, P: Peers> Calls<T, P> {
    /// Starts the threads; they end when the value is dropped.
    pub fn start(table: Arc<T>, peers: Arc<P>, settings: CallSettings) -> Self {
        let held = Arc::new(Held::new(settings.held));
        let (batch, retry) = (settings.batch, settings.retry);
        Calls {
            reader: Reader::start(&table, settings.readers),
            writer: Writer::start(table.clone(), batch),
            settler: Settler::start(table.clone(), held.clone(), batch, retry),
            asker: Arc::new(Asker::new(peers, held.clone(), &settings)),
            table,
            held,
            settings,
            next: AtomicU64::new(1),
        }
    }

    /// Runs the call unless an attempt has run it or may have, and answers by
    /// `deadline` plus the time that `send` takes.
    ///
    /// `send` is called at most once, after the start is committed. Errors:
    /// `NotRun` where no attempt had run the call, `OutcomeUnknown` where one
    /// may have, `KeyReused` and `BadRequest` for the key.
    pub fn run(
        &self,
        request: &Request,
        deadline: Moment,
        send: impl FnOnce() -> SendEnd,
    ) -> Result<Reply, Refusal> {
        let item = item(&request.key).map_err(|e| Refusal::new(Kind::BadRequest, e.to_string()))?;
        let mut way = Way {
            mine: self.draft(request),
            request,
            item,
            deadline,
            seen: Seen::Nothing,
        };
        loop {
            if let Some(result) = self.local(&mut way) {
                return result;
            }
            if self.past(deadline) {
                return Err(late(&way));
            }
            match self.step(&mut way) {
                Step::Again => self.pause(deadline),
                Step::Answer(result) => return result,
                Step::Send(expect) => return self.send(&way, expect, send),
            }
        }
    }

    /// Answers a peer's question about an attempt, or with an empty id about
    /// any attempt of the call.
    pub fn tell(&self, item: &str, attempt: &str) -> Told {
        self.asker.tell(item, attempt)
    }

    /// Number of this host's attempts whose end the table has not taken; a
    /// draining host waits for 0.
    pub fn unsettled(&self) -> usize {
        self.held.unsettled()
    }

    /// The removal of old records, for a thread of the caller.
    pub fn sweep(&self) -> Sweep<T, P> {
        Sweep::new(self.table.clone(), self.asker.clone())
    }

    fn draft(&self, request: &Request) -> CallRecord {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let CallSettings {
            host, incarnation, ..
        } = &self.settings;
        CallRecord {
            identity: request.identity.clone(),
            attempt: Attempt {
                id: format!("{host}-{incarnation}-{number}").into(),
                host: host.clone(),
                incarnation: *incarnation,
            },
            state: CallState::Started,
            until: Clock::unix_seconds() + request.keep,
        }
    }

    fn past(&self, deadline: Moment) -> bool {
        self.settings.clock.now() >= deadline
    }

    fn pause(&self, deadline: Moment) {
        let left = deadline.saturating_sub(self.settings.clock.now());
        thread::sleep(left.min(self.settings.retry));
    }

    fn left(&self, way: &Way) -> Duration {
        way.deadline.saturating_sub(self.settings.clock.now())
    }

    fn until(&self, deadline: Moment) -> Instant {
        self.settings.clock.instant(deadline)
    }

    /// The answer that this host's memory has.
    fn local(&self, way: &mut Way) -> Option<Result<Reply, Refusal>> {
        let record = self.held.find(&way.item)?;
        if record.state == CallState::Started {
            way.seen = Seen::Other;
        }
        final_answer(&record, way.request)
    }

    fn step(&self, way: &mut Way) -> Step {
        let found = match self.reader.get(&way.item, self.until(way.deadline)) {
            Ok(found) => found,
            Err(error) => return self.unread(way, &error),
        };
        let read = match parse(found) {
            Ok(read) => read,
            Err(error) => return Step::Answer(Err(Refusal::new(Kind::Internal, error))),
        };
        match admit(read.record.as_ref(), None, &way.mine) {
            Admit::Ask(attempt) => self.other(way, &read, &attempt),
            admitted => self.admitted(way, &read, admitted),
        }
    }

    /// The table did not answer: a peer may know the end.
    fn unread(&self, way: &Way, error: &TableError) -> Step {
        log::debug!("call {}: {error}", way.item);
        let found = self.asker.find(&way.item, self.left(way));
        match found.and_then(|record| final_answer(&record, way.request)) {
            Some(result) => Step::Answer(result),
            None => Step::Again,
        }
    }

    /// Another attempt is recorded as started: its host knows more.
    fn other(&self, way: &mut Way, read: &Read, attempt: &Attempt) -> Step {
        way.seen = Seen::Other;
        match self.asker.ask(&way.item, attempt, self.left(way)) {
            Told::Record(told) => {
                let admitted = admit(read.record.as_ref(), Some(&told), &way.mine);
                match admitted {
                    Admit::Ask(_) => Step::Again,
                    admitted => self.admitted(way, read, admitted),
                }
            }
            Told::Gone => self.orphan(way, read),
            Told::Running | Told::Forgotten | Told::Silent => Step::Again,
        }
    }

    /// The host of the recorded attempt is gone: nobody can learn the outcome.
    fn orphan(&self, way: &Way, read: &Read) -> Step {
        let Some(record) = read.record.as_ref().and_then(orphaned) else {
            return Step::Again;
        };
        let write = put(&way.item, &record, read.expect);
        match self.writer.write(write, self.until(way.deadline)) {
            Ok(_) => Step::Answer(Err(unknown(way.request, "its host is gone"))),
            Err(_) => Step::Again,
        }
    }

    fn admitted(&self, way: &mut Way, read: &Read, admitted: Admit) -> Step {
        match admitted {
            Admit::Start(record) => {
                way.seen = Seen::Clear;
                self.begin(way, &record, read.expect)
            }
            Admit::Done(reply) => Step::Answer(Ok(reply)),
            Admit::Unknown => Step::Answer(Err(unknown(way.request, "an earlier attempt"))),
            Admit::Reused => Step::Answer(Err(reused(way.request))),
            Admit::Started | Admit::Ask(_) => Step::Again,
        }
    }

    fn begin(&self, way: &mut Way, record: &CallRecord, expect: Precondition) -> Step {
        if !self.held.begin(&way.item, record) {
            let full = "this host holds too many calls that the table has not taken";
            return Step::Answer(Err(not_run(way.request, full)));
        }
        match self.commit(way, record, expect) {
            Start::Committed(expect) => Step::Send(expect),
            Start::Ended(refusal) => Step::Answer(Err(refusal)),
            Start::Taken(seen) => {
                way.seen = seen;
                self.held.forget(&record.attempt.id);
                Step::Again
            }
        }
    }

    /// Commits a start. After a lost answer the same write goes again: a
    /// conflict shows the start that took effect.
    fn commit(&self, way: &Way, record: &CallRecord, expect: Precondition) -> Start {
        loop {
            if self.past(way.deadline) {
                let late = "the deadline passed before its start was recorded";
                return Start::Ended(self.give_up(way, expect, late));
            }
            let write = put(&way.item, record, expect);
            match self.writer.write(write, self.until(way.deadline)) {
                Ok(version) => return Start::Committed(Precondition::Version(version)),
                Err(TableError::Conflict { current, .. }) => {
                    return self.conflict(way, record, current);
                }
                Err(TableError::Unavailable(_)) => self.pause(way.deadline),
                Err(TableError::Refused(reason)) => {
                    self.held.forget(&record.attempt.id);
                    return Start::Ended(not_run(way.request, &reason));
                }
            }
        }
    }

    fn conflict(&self, way: &Way, record: &CallRecord, current: Option<Item>) -> Start {
        let Ok(read) = parse(current) else {
            return Start::Taken(Seen::Other);
        };
        if may_send(read.record.as_ref(), record) {
            return Start::Committed(read.expect);
        }
        let seen = match free(read.record.as_ref()) {
            true => Seen::Clear,
            false => Seen::Other,
        };
        let own = read.record.is_some_and(|r| r.attempt == record.attempt);
        if own {
            let closed = "another host took this one for gone";
            return Start::Ended(self.give_up(way, read.expect, closed));
        }
        Start::Taken(seen)
    }

    /// Ends an attempt of which no byte was sent.
    fn give_up(&self, way: &Way, expect: Precondition, reason: &str) -> Refusal {
        self.end(way, expect, CallState::NotRun);
        not_run(way.request, reason)
    }

    fn end(&self, way: &Way, expect: Precondition, state: CallState) {
        let Some(record) = self.held.end(&way.mine.attempt.id, state) else {
            return;
        };
        self.settler.push(Ending {
            item: way.item.clone(),
            record,
            expect,
        });
    }

    fn send(
        &self,
        way: &Way,
        expect: Precondition,
        send: impl FnOnce() -> SendEnd,
    ) -> Result<Reply, Refusal> {
        if self.past(way.deadline) {
            let late = "the deadline passed before it was sent";
            return Err(self.give_up(way, expect, late));
        }
        let mut guard = Sending {
            calls: self,
            way,
            expect,
            state: CallState::Unknown,
        };
        match send() {
            SendEnd::Done(reply) => {
                guard.state = CallState::Done(reply.clone());
                Ok(reply)
            }
            SendEnd::Unsent => {
                guard.state = CallState::NotRun;
                Err(not_run(way.request, "no upstream was reached"))
            }
            SendEnd::Lost => Err(unknown(way.request, "the upstream did not answer")),
        }
    }
}

/// What a request does next.
enum Step {
    /// Look again after a pause.
    Again,
    /// It is answered.
    Answer(Result<Reply, Refusal>),
    /// Its start is committed.
    Send(Precondition),
}

/// An attempt whose bytes may be sent; its end is recorded when it is dropped,
/// also by a panic.
struct Sending<'a, T: Table, P: Peers> {
    calls: &'a Calls<T, P>,
    way: &'a Way<'a>,
    expect: Precondition,
    state: CallState,
}

impl<T: Table, P: Peers> Drop for Sending<'_, T, P> {
    fn drop(&mut self) {
        let state = std::mem::replace(&mut self.state, CallState::Unknown);
        self.calls.end(self.way, self.expect, state);
    }
}

fn parse(found: Option<Item>) -> Result<Read, String> {
    let Some(found) = found else {
        return Ok(Read {
            expect: Precondition::Absent,
            record: None,
        });
    };
    let record = serde_json::from_value(found.value)
        .map_err(|e| format!("the record {} is not readable: {e}", found.key))?;
    Ok(Read {
        expect: Precondition::Version(found.version),
        record: Some(record),
    })
}

fn late(way: &Way) -> Refusal {
    let first = way.request.first;
    match way.seen {
        Seen::Clear => not_run(way.request, "the deadline passed before it started"),
        Seen::Nothing if first => not_run(way.request, "the table did not answer"),
        Seen::Nothing => unknown(way.request, "this attempt did not run; an earlier one"),
        Seen::Other => unknown(way.request, "another attempt is in progress"),
    }
}
