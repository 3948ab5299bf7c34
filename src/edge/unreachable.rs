//! Engines that could not be reached, and when they are asked again.

use std::time::Duration;

use crate::clock::Moment;

/// Time until an engine is asked for the first time.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Maximum time between two questions.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Time until the first question for each host of the deployment: an engine gets as many from all.
const PAUSE_PER_HOST: Duration = Duration::from_millis(20);

/// Why a request did not reach an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// It accepted no connection in time, or closed it at once.
    Refused,
    /// It accepted a connection and did not answer.
    Silent,
    /// It has started again since its entry was written.
    Restarted,
    /// Nothing was to be sent: it is no longer listed, or the request cannot be encoded.
    Unsent,
}

/// What is known of an engine that could not be reached. It gets no requests until it writes
/// another entry, or answers a question.
#[derive(Clone, Debug, PartialEq)]
pub struct Unreachable {
    /// Number of its latest entry then.
    pub sequence: u64,
    /// Why.
    pub cause: Cause,
    /// When that was found.
    pub since: Moment,
    /// When it is asked next.
    asked_at: Moment,
    /// Time between two questions.
    pause: Duration,
}

impl Unreachable {
    /// Creates the record of an engine that could not be reached at `now`. `hosts` is the number of
    /// hosts of the deployment.
    pub fn new(sequence: u64, cause: Cause, hosts: usize, now: Moment) -> Self {
        let first = FIRST_PAUSE.max(PAUSE_PER_HOST * hosts as u32);
        Unreachable {
            sequence,
            cause,
            since: now,
            asked_at: now + spread(first),
            pause: first,
        }
    }

    /// Returns whether the engine is to be asked now; if so, it is asked again later.
    pub fn take_question(&mut self, now: Moment) -> bool {
        if now < self.asked_at {
            return false;
        }
        self.pause = (self.pause * 2).min(MAX_PAUSE.max(self.pause));
        self.asked_at = now + spread(self.pause);
        true
    }
}

/// Returns a time from half of this to one and a half, so that hosts do not ask at the same time.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}
