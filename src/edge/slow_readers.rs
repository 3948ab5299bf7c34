//! Decides whether a response is read on while its caller takes nothing.

use std::time::Duration;

use super::settings::SlowReaderSettings;

/// Bytes held for one response up to which its engine is read without waiting: a few
/// reads of a connection.
const WINDOW_BYTES: u64 = 64 << 10;
/// Divisor of the memory limit that gives the bytes held for all callers; a quarter of
/// the memory is for request bodies.
const HOST_DIVISOR: u64 = 8;
/// Divisor of the memory limit that gives the bytes held for one response.
const RESPONSE_DIVISOR: u64 = 256;
/// Bytes in a kB.
const KB: u64 = 1_000;

/// Limits of what is held for callers that have not read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldLimits {
    /// Bytes held for one response.
    pub response: u64,
    /// Bytes held for all responses.
    pub host: u64,
    /// Time for which an engine may be left unread.
    pub engine_wait: Duration,
    /// Time for which a caller may take nothing once its response is held in full.
    pub unread: Duration,
}

impl HoldLimits {
    /// Returns the limits of a host that may use `memory_mb`.
    pub fn new(settings: &SlowReaderSettings, memory_mb: u64) -> Self {
        let part = |kb: Option<u64>, divisor| match kb {
            Some(kb) => kb * KB,
            None => memory_mb * KB * KB / divisor,
        };
        HoldLimits {
            response: part(settings.connection_kb, RESPONSE_DIVISOR).max(WINDOW_BYTES),
            host: part(settings.host_kb, HOST_DIVISOR),
            engine_wait: Duration::from_millis(settings.engine_wait_ms),
            unread: Duration::from_millis(settings.unread_ms),
        }
    }

    /// Returns whether the host holds as much as it may.
    pub fn is_full(&self, host: u64) -> bool {
        host >= self.host
    }

    /// Decides whether the next part of a response is read.
    pub fn decide(&self, held: &Held) -> Next {
        let is_full = self.is_full(held.host);
        let window = if is_full { 0 } else { WINDOW_BYTES };
        if held.response <= window {
            return Next::Read;
        }
        if let Some(left) = time_left(self.engine_wait, held.paused) {
            return Next::Wait(left);
        }
        if is_full {
            return Next::End(UnreadCause::HostFull);
        }
        if held.response < self.response {
            return Next::Read;
        }
        match time_left(self.unread, held.unread) {
            Some(left) => Next::Wait(left),
            None => Next::End(UnreadCause::ResponseFull),
        }
    }
}

/// Returns what is left of `limit`, unless it has passed.
fn time_left(limit: Duration, passed: Duration) -> Option<Duration> {
    limit.checked_sub(passed).filter(|left| !left.is_zero())
}

/// What is held, and for how long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Bytes held for this response.
    pub response: u64,
    /// Bytes held for all responses.
    pub host: u64,
    /// Time for which the engine has been left unread and the caller has taken nothing.
    pub paused: Duration,
    /// Time for which the caller has taken nothing.
    pub unread: Duration,
}

/// What to do before the next part of a response is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read it.
    Read,
    /// Wait for the caller to take bytes, for so long at most.
    Wait(Duration),
    /// End the response.
    End(UnreadCause),
}

/// Why a response that is not read ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UnreadCause {
    /// As much is held for it as for one response.
    ResponseFull,
    /// As much is held as for all callers.
    HostFull,
}
