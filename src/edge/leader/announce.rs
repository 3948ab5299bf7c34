//! What the other daemons are told of the engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::gossip::ToldNote;
use crate::edge::peers;
use crate::edge::state::{Edge, State};

/// Period at which all daemons are told again what engines hold.
const FULL_PERIOD: Duration = Duration::from_millis(1_000);

/// Believes at this daemon what the others are told.
pub(super) fn apply_notes(edge: &Edge, notes: &[ToldNote]) {
    let now = clock::now();
    let mut state = edge.state.borrow_mut();
    let mut changed = false;
    for note in notes {
        changed |= state.fleet.tell(&note.engine, peers::told(note, now));
    }
    drop(state);
    if changed {
        edge.notify();
    }
}

/// Remembers what the other daemons were told.
#[derive(Debug, Default)]
pub struct Announcer {
    fence: u64,
    turn: u64,
    last: BTreeMap<Arc<str>, Vec<String>>,
    all_at: Moment,
}

impl Announcer {
    /// What has changed since, or everything when that is due.
    pub fn notes(&mut self, state: &State, now: Moment) -> Vec<ToldNote> {
        let Some(placer) = &state.placer else {
            return Vec::new();
        };
        if self.fence != placer.fence() {
            *self = Announcer {
                fence: placer.fence(),
                ..Announcer::default()
            };
        }
        let all = now.saturating_sub(self.all_at) >= FULL_PERIOD;
        if all {
            self.all_at = now;
        }
        self.last.retain(|id, _| placer.views.contains_key(id));
        let mut notes = Vec::new();
        for (id, view) in &placer.views {
            let targets = view.servable_targets(now);
            let changed = self.last.get(id) != Some(&targets);
            if !changed && !all {
                continue;
            }
            self.turn += 1;
            notes.push(ToldNote {
                engine: id.to_string(),
                born: view.born,
                fence: self.fence,
                turn: self.turn,
                targets: targets.clone(),
            });
            self.last.insert(id.clone(), targets);
        }
        notes
    }
}
