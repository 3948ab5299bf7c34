//! Which teams' models and services callers may use, and with which priority.

use std::collections::BTreeMap;

use crate::config::rules::ALL_TEAMS;
use crate::config::{Config, Name};

/// Highest priority of the callers of each team.
#[derive(Debug)]
pub struct Access<'a> {
    /// Of callers that may use all teams.
    all: Option<u8>,
    teams: BTreeMap<&'a Name, u8>,
}

impl<'a> Access<'a> {
    /// Collects what the callers of a configuration may use.
    pub fn of(config: &'a Config) -> Self {
        let mut access = Access {
            all: None,
            teams: BTreeMap::new(),
        };
        for caller in config.callers.values() {
            for team in &caller.teams {
                if **team == *ALL_TEAMS {
                    access.all = access.all.max(Some(caller.priority));
                    continue;
                }
                let highest = access.teams.entry(team).or_default();
                *highest = (*highest).max(caller.priority);
            }
        }
        access
    }

    /// Returns the highest priority that a caller may request for models of `team`; none if no
    /// caller may use them.
    pub fn priority(&self, team: &Name) -> Option<u8> {
        self.all.max(self.teams.get(team).copied())
    }
}
