//! The pace of all trials together. Each may cost an engine; with many held requests, those that
//! are due for each of them would end engine after engine, and show nothing of a sound part.

use std::time::Duration;

use crate::clock::Moment;

/// Time after a crash or the start of a trial from which all hosts know its outcome: the
/// platform's default bound for hosts in touch to know of something.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Calm before a late trial of a part; it ends before a request is tried.
const PART_CALM: Duration = Duration::from_millis(1_500);
/// Maximum wait for calm: else requests that crash engines one after the other would keep
/// something sound held.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What a trial waits for beside the crashes near its own request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time without another crash or trial.
    calm: Duration,
    /// When the feature was last at a crash, or last tried.
    own: Option<Moment>,
    /// When others last crashed an engine, or were last tried.
    others: Option<Moment>,
}

impl Pace {
    /// Returns the pace of a held request with this number of crashes. Those with more wait for a
    /// longer calm, so that the requests go first that are held on the least evidence.
    pub fn of_request(crashes: u32, own: Option<Moment>, others: Option<Moment>) -> Self {
        let steps = crashes.saturating_sub(1).max(1);
        Pace {
            calm: CONTACT_TIME * steps,
            own,
            others,
        }
    }

    /// Returns the pace of the few late trials of a part. A crash of another cause beside one
    /// would keep a sound part held for long.
    pub fn of_late_part(own: Option<Moment>, others: Option<Moment>) -> Self {
        Pace {
            calm: PART_CALM,
            own,
            others,
        }
    }

    /// Returns the time until the trial may begin.
    pub fn wait(&self, now: Moment) -> Duration {
        let (Some(own), Some(others)) = (self.own, self.others) else {
            return Duration::ZERO;
        };
        let calm_at = others + self.calm;
        calm_at.min(own + MAX_WAIT).saturating_sub(now)
    }
}
