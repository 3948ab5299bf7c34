//! Runs one call: admits it, records the start, sends it and records the end.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::attempt_lookup::AttemptLookup;
use super::attempt_store::AttemptStore;
use super::batch::BatchWriter;
use super::reader::TableReader;
use super::refusal::{not_run_refusal, recorded_result, reused_refusal, unknown_refusal};
use super::settler::{AttemptEnd, AttemptSettler, put_record};
use super::sweeper::RecordSweeper;
use super::{AttemptStatus, CallPeers, CallRequest, CallSettings, SendOutcome, record_key};
use crate::clock::{Clock, Moment};
use crate::config::Name;
use crate::error::{Kind, Refusal};
use crate::outside::{Item, Precondition, Table, TableError};
use crate::protocol::calls::{
    Attempt, CallAdmission, CallRecord, CallState, Reply, admit, may_send, no_attempt_ran,
    orphaned_record,
};

/// What is known about earlier attempts of the call.
#[derive(Clone, Copy, PartialEq)]
enum Observed {
    /// The table has not been read.
    NotRead,
    /// No attempt has run.
    NoneRan,
    /// Another attempt may have run or be running.
    MayRun,
}

/// The record of a call as read from the table, with the condition of a write.
struct StoredRecord {
    expect: Precondition,
    record: Option<CallRecord>,
}

/// Result of committing a start.
enum StartResult {
    /// The start is in the table; the condition of the next write.
    Committed(Precondition),
    /// Another attempt was recorded first; what is known about it.
    Superseded(Observed),
    /// The attempt was abandoned before a byte was sent.
    Refused(Refusal),
}

/// A call that is being run.
struct ActiveCall<'a> {
    request: &'a CallRequest,
    record_key: Name,
    new_record: CallRecord,
    deadline: Moment,
    observed: Observed,
}

/// Runs calls at most once.
pub struct CallRunner<T, P> {
    table: Arc<T>,
    lookup: Arc<AttemptLookup<P>>,
    attempts: Arc<AttemptStore>,
    reader: TableReader,
    writer: BatchWriter,
    settler: AttemptSettler,
    settings: CallSettings,
    next_attempt: AtomicU64,
}

impl<T: Table, P: CallPeers> CallRunner<T, P> {
    /// Starts the threads; they end when the runner is dropped.
    pub fn start(table: Arc<T>, peers: Arc<P>, settings: CallSettings) -> Self {
        let attempts = Arc::new(AttemptStore::new(settings.max_attempts));
        let (batch, retry) = (settings.batch_size, settings.retry_delay);
        CallRunner {
            reader: TableReader::start(&table, settings.reader_threads),
            writer: BatchWriter::start(table.clone(), batch),
            settler: AttemptSettler::start(table.clone(), attempts.clone(), batch, retry),
            lookup: Arc::new(AttemptLookup::new(peers, attempts.clone(), &settings)),
            table,
            attempts,
            settings,
            next_attempt: AtomicU64::new(1),
        }
    }

    /// Runs the call unless an attempt has or may have run it; returns by
    /// `deadline` plus the time that `send` takes.
    ///
    /// `send` is called at most once, after the start is committed, and not after the
    /// retention time: the record of another run may have been removed by then. Errors:
    /// `NotRun` if no attempt has run the call, `OutcomeUnknown` if one may have,
    /// `KeyReused` and `BadRequest` for the key.
    pub fn run(
        &self,
        request: &CallRequest,
        deadline: Moment,
        send: impl FnOnce() -> SendOutcome,
    ) -> Result<Reply, Refusal> {
        let record_key =
            record_key(&request.key).map_err(|e| Refusal::new(Kind::BadRequest, e.to_string()))?;
        let retention = Duration::from_secs(request.retention_s);
        let deadline = deadline.min(self.settings.clock.now().saturating_add(retention));
        let mut call = ActiveCall {
            new_record: self.new_record(request),
            request,
            record_key,
            deadline,
            observed: Observed::NotRead,
        };
        loop {
            if let Some(result) = self.local_result(&mut call) {
                return result;
            }
            if self.has_passed(deadline) {
                return Err(deadline_refusal(&call));
            }
            match self.next_step(&mut call) {
                CallStep::Retry => self.wait_to_retry(deadline),
                CallStep::Return(result) => return result,
                CallStep::Send(expect) => return self.send_call(&call, expect, send),
            }
        }
    }

    /// Returns the status of an attempt for a peer; an empty id stands for any
    /// attempt of the call.
    pub fn attempt_status(&self, record_key: &str, attempt: &str) -> AttemptStatus {
        self.lookup.local_status(record_key, attempt)
    }

    /// Returns the number of this host's attempts whose end is not in the table; a
    /// draining host waits for 0.
    pub fn unsettled_attempts(&self) -> usize {
        self.attempts.unsettled_count()
    }

    /// Returns a sweeper of old records, which runs on a thread of the caller.
    pub fn sweeper(&self) -> RecordSweeper<T, P> {
        RecordSweeper::new(self.table.clone(), self.lookup.clone())
    }

    fn new_record(&self, request: &CallRequest) -> CallRecord {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
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
            until: Clock::unix_seconds() + request.retention_s,
        }
    }

    fn has_passed(&self, deadline: Moment) -> bool {
        self.settings.clock.now() >= deadline
    }

    fn wait_to_retry(&self, deadline: Moment) {
        let remaining = deadline.saturating_sub(self.settings.clock.now());
        thread::sleep(remaining.min(self.settings.retry_delay));
    }

    fn remaining_time(&self, call: &ActiveCall) -> Duration {
        call.deadline.saturating_sub(self.settings.clock.now())
    }

    fn instant(&self, deadline: Moment) -> Instant {
        self.settings.clock.instant(deadline)
    }

    /// Returns the result that follows from the attempts in memory.
    fn local_result(&self, call: &mut ActiveCall) -> Option<Result<Reply, Refusal>> {
        let record = self.attempts.best_record(&call.record_key)?;
        if record.state == CallState::Started {
            call.observed = Observed::MayRun;
        }
        recorded_result(&record, call.request)
    }

    /// Reads the record and starts an attempt if no earlier one ran or may have run.
    fn next_step(&self, call: &mut ActiveCall) -> CallStep {
        let found = match self
            .reader
            .get(&call.record_key, self.instant(call.deadline))
        {
            Ok(found) => found,
            Err(error) => return self.query_peers(call, &error),
        };
        let stored = match parse_record(found) {
            Ok(stored) => stored,
            Err(error) => return CallStep::Return(Err(Refusal::new(Kind::Internal, error))),
        };
        match admit(stored.record.as_ref(), None, &call.new_record) {
            CallAdmission::AskHost(attempt) => self.query_attempt_host(call, &stored, &attempt),
            admission => self.apply_admission(call, &stored, admission),
        }
    }

    /// Queries the peers, since the table is unavailable and one of them may know
    /// the end.
    fn query_peers(&self, call: &ActiveCall, error: &TableError) -> CallStep {
        log::debug!("call {}: {error}", call.record_key);
        let found = self
            .lookup
            .find_record(&call.record_key, self.remaining_time(call));
        match found.and_then(|record| recorded_result(&record, call.request)) {
            Some(result) => CallStep::Return(result),
            None => CallStep::Retry,
        }
    }

    /// Queries the host of another attempt, which is recorded as started.
    fn query_attempt_host(
        &self,
        call: &mut ActiveCall,
        stored: &StoredRecord,
        attempt: &Attempt,
    ) -> CallStep {
        call.observed = Observed::MayRun;
        match self
            .lookup
            .status(&call.record_key, attempt, self.remaining_time(call))
        {
            AttemptStatus::Known(reported) => {
                let admission = admit(stored.record.as_ref(), Some(&reported), &call.new_record);
                match admission {
                    CallAdmission::AskHost(_) => CallStep::Retry,
                    admission => self.apply_admission(call, stored, admission),
                }
            }
            AttemptStatus::IncarnationEnded => self.record_unknown(call, stored),
            AttemptStatus::Running | AttemptStatus::NotHeld | AttemptStatus::NoAnswer => {
                CallStep::Retry
            }
        }
    }

    /// Records the outcome as unknown, since the incarnation that ran the recorded
    /// attempt has ended.
    fn record_unknown(&self, call: &ActiveCall, stored: &StoredRecord) -> CallStep {
        let Some(record) = stored.record.as_ref().and_then(orphaned_record) else {
            return CallStep::Retry;
        };
        let write = put_record(&call.record_key, &record, stored.expect);
        match self.writer.write(write, self.instant(call.deadline)) {
            Ok(_) => CallStep::Return(Err(unknown_refusal(call.request, "its host is gone"))),
            Err(_) => CallStep::Retry,
        }
    }

    fn apply_admission(
        &self,
        call: &mut ActiveCall,
        stored: &StoredRecord,
        admission: CallAdmission,
    ) -> CallStep {
        match admission {
            CallAdmission::Start(record) => {
                call.observed = Observed::NoneRan;
                self.start_attempt(call, &record, stored.expect)
            }
            CallAdmission::Done(reply) => CallStep::Return(Ok(reply)),
            CallAdmission::Unknown => {
                CallStep::Return(Err(unknown_refusal(call.request, "an earlier attempt")))
            }
            CallAdmission::KeyReused => CallStep::Return(Err(reused_refusal(call.request))),
            CallAdmission::Started | CallAdmission::AskHost(_) => CallStep::Retry,
        }
    }

    fn start_attempt(
        &self,
        call: &mut ActiveCall,
        record: &CallRecord,
        expect: Precondition,
    ) -> CallStep {
        if !self.attempts.insert(&call.record_key, record) {
            let reason = "this host holds too many calls that the table has not taken";
            return CallStep::Return(Err(not_run_refusal(call.request, reason)));
        }
        match self.commit_start(call, record, expect) {
            StartResult::Committed(expect) => CallStep::Send(expect),
            StartResult::Refused(refusal) => CallStep::Return(Err(refusal)),
            StartResult::Superseded(observed) => {
                call.observed = observed;
                self.attempts.remove(&record.attempt.id);
                CallStep::Retry
            }
        }
    }

    /// Commits a start. Retries the same write when the result is lost; a conflict
    /// then shows which start took effect, and a refusal leaves it open.
    fn commit_start(
        &self,
        call: &ActiveCall,
        record: &CallRecord,
        expect: Precondition,
    ) -> StartResult {
        let mut may_be_written = false;
        loop {
            if self.has_passed(call.deadline) {
                let reason = "the deadline passed before its start was recorded";
                return StartResult::Refused(self.abandon(call, expect, reason));
            }
            let write = put_record(&call.record_key, record, expect);
            match self.writer.write(write, self.instant(call.deadline)) {
                Ok(version) => return StartResult::Committed(Precondition::Version(version)),
                Err(TableError::Conflict { current, .. }) => {
                    return self.resolve_conflict(call, record, current);
                }
                Err(TableError::Unavailable(_)) => {
                    may_be_written = true;
                    self.wait_to_retry(call.deadline);
                }
                Err(TableError::Refused(reason)) if may_be_written => {
                    return StartResult::Refused(self.abandon(call, expect, &reason));
                }
                Err(TableError::Refused(reason)) => {
                    self.attempts.remove(&record.attempt.id);
                    return StartResult::Refused(not_run_refusal(call.request, &reason));
                }
            }
        }
    }

    fn resolve_conflict(
        &self,
        call: &ActiveCall,
        record: &CallRecord,
        current: Option<Item>,
    ) -> StartResult {
        let Ok(stored) = parse_record(current) else {
            return StartResult::Superseded(Observed::MayRun);
        };
        if may_send(stored.record.as_ref(), record) {
            return StartResult::Committed(stored.expect);
        }
        let observed = match no_attempt_ran(stored.record.as_ref()) {
            true => Observed::NoneRan,
            false => Observed::MayRun,
        };
        let is_own = stored.record.is_some_and(|r| r.attempt == record.attempt);
        if is_own {
            let reason = "another host took this one for gone";
            return StartResult::Refused(self.abandon(call, stored.expect, reason));
        }
        StartResult::Superseded(observed)
    }

    /// Ends an attempt before any byte of it was sent.
    fn abandon(&self, call: &ActiveCall, expect: Precondition, reason: &str) -> Refusal {
        self.record_end(call, expect, CallState::NotRun);
        not_run_refusal(call.request, reason)
    }

    fn record_end(&self, call: &ActiveCall, expect: Precondition, state: CallState) {
        let Some(record) = self.attempts.finish(&call.new_record.attempt.id, state) else {
            return;
        };
        self.settler.enqueue(AttemptEnd {
            record_key: call.record_key.clone(),
            record,
            expect,
        });
    }

    fn send_call(
        &self,
        call: &ActiveCall,
        expect: Precondition,
        send: impl FnOnce() -> SendOutcome,
    ) -> Result<Reply, Refusal> {
        if self.has_passed(call.deadline) {
            let reason = "the deadline passed before it was sent";
            return Err(self.abandon(call, expect, reason));
        }
        let mut guard = SendGuard {
            runner: self,
            call,
            expect,
            state: CallState::Unknown,
        };
        match send() {
            SendOutcome::Done(reply) => {
                guard.state = CallState::Done(reply.clone());
                Ok(reply)
            }
            SendOutcome::NotSent => {
                guard.state = CallState::NotRun;
                Err(not_run_refusal(call.request, "no upstream was reached"))
            }
            SendOutcome::NoAnswer => {
                Err(unknown_refusal(call.request, "the upstream did not answer"))
            }
        }
    }
}

/// Next step of a call.
enum CallStep {
    /// Retry after a delay.
    Retry,
    /// Return this result.
    Return(Result<Reply, Refusal>),
    /// Send the call, since its start is committed; the condition of the next write.
    Send(Precondition),
}

/// Guard of an attempt that is being sent; records its end on drop, also after a
/// panic.
struct SendGuard<'a, T: Table, P: CallPeers> {
    runner: &'a CallRunner<T, P>,
    call: &'a ActiveCall<'a>,
    expect: Precondition,
    /// End to record; `Unknown` until `send` has returned.
    state: CallState,
}

impl<T: Table, P: CallPeers> Drop for SendGuard<'_, T, P> {
    fn drop(&mut self) {
        let state = std::mem::replace(&mut self.state, CallState::Unknown);
        self.runner.record_end(self.call, self.expect, state);
    }
}

fn parse_record(found: Option<Item>) -> Result<StoredRecord, String> {
    let Some(found) = found else {
        return Ok(StoredRecord {
            expect: Precondition::Absent,
            record: None,
        });
    };
    let record = serde_json::from_value(found.value)
        .map_err(|e| format!("the record {} is not readable: {e}", found.key))?;
    Ok(StoredRecord {
        expect: Precondition::Version(found.version),
        record: Some(record),
    })
}

fn deadline_refusal(call: &ActiveCall) -> Refusal {
    let first = call.request.first_attempt;
    match call.observed {
        Observed::NoneRan => not_run_refusal(call.request, "the deadline passed before it started"),
        Observed::NotRead if first => not_run_refusal(call.request, "the table did not answer"),
        Observed::NotRead => {
            unknown_refusal(call.request, "this attempt did not run; an earlier one")
        }
        Observed::MayRun => unknown_refusal(call.request, "another attempt is in progress"),
    }
}
