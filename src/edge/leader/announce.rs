//! Announces to the other daemons what engines hold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::gossip::AnnouncedModelsNote;
use crate::edge::peers;
use crate::edge::state::{Edge, State};

/// Period at which the state of all engines is announced again.
const FULL_PERIOD: Duration = Duration::from_millis(1_000);

/// Applies the announced notes at this daemon.
pub(super) fn apply_notes(edge: &Edge, notes: &[AnnouncedModelsNote]) {
    let now = clock::now();
    let mut state = edge.state.borrow_mut();
    let mut changed = false;
    for note in notes {
        changed |= state
            .fleet
            .record_announcement(&note.engine, peers::decode_announcement(note, now));
    }
    drop(state);
    if changed {
        edge.notify_waiting();
    }
}

/// Tracks what has been announced to the other daemons.
#[derive(Debug, Default)]
pub struct Announcer {
    fence: u64,
    sequence: u64,
    announced: BTreeMap<Arc<str>, Vec<String>>,
    last_full: Moment,
}

impl Announcer {
    /// Returns notes on the engines that have changed since the last call, or on all
    /// once per [`FULL_PERIOD`].
    pub fn notes(&mut self, state: &State, now: Moment) -> Vec<AnnouncedModelsNote> {
        let Some(placer) = &state.placer else {
            return Vec::new();
        };
        if self.fence != placer.fence() {
            *self = Announcer {
                fence: placer.fence(),
                ..Announcer::default()
            };
        }
        let all = now.saturating_sub(self.last_full) >= FULL_PERIOD;
        if all {
            self.last_full = now;
        }
        self.announced.retain(|id, _| placer.views.contains_key(id));
        let mut notes = Vec::new();
        for (id, view) in &placer.views {
            let targets = view.servable_targets(now);
            let changed = self.announced.get(id) != Some(&targets);
            if !changed && !all {
                continue;
            }
            self.sequence += 1;
            notes.push(AnnouncedModelsNote {
                engine: id.to_string(),
                incarnation: view.incarnation,
                fence: self.fence,
                sequence: self.sequence,
                targets: targets.clone(),
            });
            self.announced.insert(id.clone(), targets);
        }
        notes
    }
}
