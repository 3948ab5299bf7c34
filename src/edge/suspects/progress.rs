//! How far the answer of a run was when its connection to the engine broke.

use std::time::Duration;

/// Time from the first event after which the engine has not ended because of the request: one
/// that crashes its engine does so as the engine begins to write the answer.
const BEGIN_TIME: Duration = Duration::from_millis(500);

/// How far an answer was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Progress {
    /// Nothing of it had arrived: the request may have been waiting at the engine.
    Waiting,
    /// It had just begun.
    Begun,
    /// It had begun well before.
    Settled,
}

impl Progress {
    /// Returns the progress of an answer whose head has arrived, and whose first event came
    /// `since` ago, if it has come.
    pub fn after_head(since: Option<Duration>) -> Self {
        match since {
            Some(since) if since >= BEGIN_TIME => Progress::Settled,
            _ => Progress::Begun,
        }
    }
}
