//! Refusals of calls, and what a record says without another attempt.

use std::time::Duration;

use super::CallRequest;
use crate::error::{Kind, Refusal};
use crate::protocol::calls::{CallRecord, CallState, Reply};

/// Time after which a call that did not run may come again.
const COME_BACK: Duration = Duration::from_secs(1);

/// The answer that a held record gives, if its attempt may have run.
pub fn final_answer(record: &CallRecord, request: &CallRequest) -> Option<Result<Reply, Refusal>> {
    if record.identity != request.identity {
        return Some(Err(reused(request)));
    }
    match &record.state {
        CallState::Done(reply) => Some(Ok(reply.clone())),
        CallState::Unknown => Some(Err(unknown(request, "an earlier attempt"))),
        CallState::Started | CallState::NotRun => None,
    }
}

/// No attempt had run the call.
pub fn not_run(request: &CallRequest, reason: &str) -> Refusal {
    let detail = format!("the call {} did not run: {reason}", request.key);
    Refusal::new(Kind::NotRun, detail).retry_after(COME_BACK)
}

/// An attempt may have run the call.
pub fn unknown(request: &CallRequest, reason: &str) -> Refusal {
    let detail = format!(
        "the outcome of the call {} is unknown: {reason}",
        request.key
    );
    Refusal::new(Kind::OutcomeUnknown, detail)
}

/// The key belongs to another call.
pub fn reused(request: &CallRequest) -> Refusal {
    let detail = format!(
        "the Idempotency-Key {} belongs to another call",
        request.key
    );
    Refusal::new(Kind::KeyReused, detail)
}
