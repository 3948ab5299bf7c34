//! Evidence of whether a request may have run. It counts as run from the moment at which it is
//! handed to a connection; only a proof about that sending takes this back.

use std::marker::PhantomData;

use http::StatusCode;

use super::attribution::Attribution;
use crate::edge::carried::Earlier;
use crate::edge::client::SendError;
use crate::platform::headers::{self, ResponseHeaders};

/// Record of the sendings of one request that may have run.
#[derive(Debug, Default)]
pub(super) struct Exposure {
    sendings: u32,
}

impl Exposure {
    /// Records that the request is handed to a connection.
    pub fn begin(&mut self) -> Sending {
        self.sendings += 1;
        Sending(())
    }

    /// Takes a sending back that has not run.
    pub fn take_back(&mut self, _proof: NotRun) {
        self.sendings -= 1;
    }

    /// Adds the sendings of a second try at the same request.
    pub fn merge(&mut self, other: Exposure) {
        self.sendings += other.sendings;
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.sendings > 0
    }

    /// Returns the promise that the request has not run, unless it may have. It cannot be kept
    /// while the request is sent.
    pub fn promise(&self) -> Option<Promise<'_>> {
        (!self.may_have_run()).then_some(Promise(PhantomData))
    }
}

/// One sending of a request, which may run.
#[derive(Debug)]
#[must_use]
pub(super) struct Sending(());

impl Sending {
    /// Returns the proof that the sending has not run, if no byte of it was written.
    pub fn unsent(self, error: &SendError) -> Option<NotRun> {
        match error {
            SendError::NotSent(..) | SendError::Withheld => Some(NotRun(())),
            SendError::ConnectionLost(_) => None,
        }
    }

    /// Returns the proof that the sending has not run, as its engine rejected it.
    pub fn rejected(self, _rejection: Rejection) -> NotRun {
        NotRun(())
    }
}

/// Proof that one sending has not run.
#[derive(Debug)]
#[must_use]
pub(super) struct NotRun(());

/// Proof that an engine has rejected the sending on whose connection its response came.
#[derive(Debug)]
pub(super) struct Rejection(());

/// What a response proves about the sending on whose connection it came.
#[derive(Debug)]
pub(super) enum Verdict {
    /// The engine rejected it without running it.
    Rejected(Rejection),
    /// The response is to this sending, and no rejection.
    Answered,
    /// Nothing: it may be to another sending.
    Unproven,
}

impl Verdict {
    /// Judges a response to the request `id`, which is empty if it has none; `earlier` is what the
    /// connection had carried before.
    pub fn of(
        id: &str,
        status: StatusCode,
        response: &ResponseHeaders,
        earlier: Earlier,
    ) -> (Self, Attribution) {
        let attribution = Attribution::of(id, response, earlier);
        let rejected = headers::is_rejection(status, response);
        let believed = match attribution {
            Attribution::IdMatched => true,
            // An engine that cannot parse a request rejects it without its id.
            Attribution::FirstExchange => rejected || id.is_empty(),
            Attribution::NotBelieved => false,
        };
        let verdict = match (believed, rejected) {
            (true, true) => Verdict::Rejected(Rejection(())),
            (true, false) => Verdict::Answered,
            (false, _) => Verdict::Unproven,
        };
        (verdict, attribution)
    }
}

/// The promise that a request has not run, on which a refusal rests.
#[derive(Debug)]
pub struct Promise<'a>(PhantomData<&'a Exposure>);

impl Promise<'_> {
    /// Returns the promise for a request before its attempts at engines.
    pub(in crate::edge) fn before_attempts() -> Promise<'static> {
        Promise(PhantomData)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::edge::unreachable::Cause;

    #[test]
    fn a_request_may_have_run_until_each_sending_is_proven_not_to_have() {
        let mut exposure = Exposure::default();
        assert!(exposure.promise().is_some());
        let unsent = SendError::NotSent(Cause::Refused, String::new());
        let proof = exposure.begin().unsent(&unsent).unwrap();
        assert!(exposure.promise().is_none());
        exposure.take_back(proof);
        assert!(exposure.promise().is_some());
        let lost = SendError::ConnectionLost(String::new());
        assert!(exposure.begin().unsent(&lost).is_none());
        let proof = exposure.begin().rejected(Rejection(()));
        exposure.take_back(proof);
        assert!(exposure.promise().is_none());
    }
}
