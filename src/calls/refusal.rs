//! Refusals of calls, and results that follow from a record alone.

use std::time::Duration;

use super::CallRequest;
use crate::error::{Kind, Refusal};
use crate::protocol::calls::{CallRecord, CallState, Reply};

/// Delay before the caller should retry a call that did not run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the result of a call from the record of an attempt; `None` if that
/// attempt did not run or is in progress. Refuses a request with another identity.
pub fn recorded_result(
    record: &CallRecord,
    request: &CallRequest,
) -> Option<Result<Reply, Refusal>> {
    if record.identity != request.identity {
        return Some(Err(reused_refusal(request)));
    }
    match &record.state {
        CallState::Done(reply) => Some(Ok(reply.clone())),
        CallState::Unknown => Some(Err(unknown_refusal(request, "an earlier attempt"))),
        CallState::Started | CallState::NotRun => None,
    }
}

/// Returns the refusal of a call that no attempt has run.
pub fn not_run_refusal(request: &CallRequest, reason: &str) -> Refusal {
    let detail = format!("the call {} did not run: {reason}", request.key);
    Refusal::new(Kind::NotRun, detail).retry_after(RETRY_AFTER)
}

/// Returns the refusal of a call that an attempt may have run.
pub fn unknown_refusal(request: &CallRequest, reason: &str) -> Refusal {
    let detail = format!(
        "the outcome of the call {} is unknown: {reason}",
        request.key
    );
    Refusal::new(Kind::OutcomeUnknown, detail)
}

/// Returns the refusal of a call whose key belongs to another call.
pub fn reused_refusal(request: &CallRequest) -> Refusal {
    let detail = format!(
        "the Idempotency-Key {} belongs to another call",
        request.key
    );
    Refusal::new(Kind::KeyReused, detail)
}
