//! Faults that engines may have, by the platform's protocol.

/// A fault of an engine at one request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum EngineFault {
    /// Resets the connection and does not run the request.
    ResetUnrun,
    /// Runs the request, in part if it is a stream, and resets the connection.
    ResetRun,
    /// Runs the request, in part if it is a stream, and closes the connection.
    CloseRun,
    /// Runs the request, in part if it is a stream, and sends nothing more.
    Hang,
    /// Is silent for a while before the run.
    SilenceBefore,
    /// Is silent for a while after the run, in a stream after some events.
    SilenceAfter,
    /// Rejects the request with 503 without running it.
    RejectFull,
    /// Rejects it with 429.
    RejectLimited,
    /// Rejects it with 421.
    RejectMisdirected,
    /// Rejects it with 400 without its id.
    RejectMalformed,
    /// Rejects it with 503 and asks for a pause.
    RejectPause,
    /// The same, without its id.
    RejectPauseAnonymous,
    /// Rejects it before its body has arrived, and reads the body later.
    RejectEarly,
    /// Rejects it with 503, and rejects it again when the next request has arrived.
    RejectAgain,
    /// Rejects it with 503 before its body has arrived, and resets the connection.
    RejectClosing,
    /// Sends another response to this request when the next one has arrived.
    ExtraAnswer,
    /// The same, a rejection.
    ExtraRejection,
    /// The same as [`EngineFault::ExtraAnswer`], without an id.
    ExtraAnonymous,
    /// The same as [`EngineFault::ExtraRejection`], without an id.
    ExtraAnonymousRejection,
    /// Sends another response directly after the first.
    ExtraAtOnce,
    /// Runs the request and answers without a length.
    Unframed,
    /// Runs the request, answers without a length and resets in the middle.
    UnframedReset,
    /// Runs a part of a stream and ends the response in order in the middle of an event.
    EndInside,
    /// Runs the request and answers 500.
    Failure,
    /// Runs the request and answers 504.
    TimeLimit,
    /// Runs the request and answers 503, which does not say that it has not run.
    FullAfterRun,
    /// Runs the request, answers it, and closes the connection when the next one arrives.
    CloseOnNext,
    /// Runs the request, answers it with `Connection: close`, and closes the connection.
    CloseAfter,
    /// Runs the request and closes the connection in the middle of the response.
    Truncated,
    /// Runs the request and sends bytes that are no response.
    Garbage,
    /// The engine neither reads nor writes on any connection for a while, and runs on what it has
    /// begun.
    SilentEngine,
    /// Is silent for a while between the head of a stream and its first event.
    SilentHead,
    /// Runs a request for as long as a silence; in a stream, before its head.
    LongRun,
}

impl EngineFault {
    /// Returns whether a request for `path` can have the fault.
    pub fn applies_to(self, path: &str) -> bool {
        let is_of_streams = matches!(self, EngineFault::EndInside | EngineFault::SilentHead);
        !is_of_streams || path.contains("stream")
    }

    /// Returns whether the fault leaves the caller without a complete response through
    /// no fault of the daemon.
    pub fn breaks_off(self) -> bool {
        use EngineFault as F;
        matches!(
            self,
            F::ResetUnrun
                | F::ResetRun
                | F::CloseRun
                | F::Hang
                | F::UnframedReset
                | F::EndInside
                | F::Truncated
                | F::Garbage
                | F::RejectClosing
        )
    }

    /// Returns whether the engine is silent for a while and goes on.
    pub fn is_silence(self) -> bool {
        use EngineFault as F;
        matches!(
            self,
            F::SilenceBefore | F::SilenceAfter | F::SilentEngine | F::SilentHead | F::LongRun
        )
    }
}
