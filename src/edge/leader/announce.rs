//! Announces to the other daemons what engines hold.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::gossip::{AnnouncedModelsNote, ModelNote};
use crate::edge::peers;
use crate::edge::placement::engine_view::EngineView;
use crate::edge::state::{Edge, State};

/// Period at which the models of every engine are announced again; the engines take turns.
const FULL_PERIOD: Duration = Duration::from_secs(2);
/// Time after a change at which it is announced once more, as datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(120);

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

/// What was last announced of an engine.
#[derive(Clone, Copy, Debug)]
struct Announced {
    /// Hash of the models.
    models: u64,
    /// When they were last announced.
    sent_at: Moment,
    /// Whether they were announced more than once.
    repeated: bool,
}

/// Tracks what has been announced to the other daemons.
#[derive(Debug, Default)]
pub struct Announcer {
    fence: u64,
    sequence: u64,
    announced: BTreeMap<Arc<str>, Announced>,
    /// Engines whose turn to be announced again has come, as a fractional count.
    turns: f64,
    /// When turns were last added.
    turned_at: Moment,
}

impl Announcer {
    /// Returns notes on the engines that have changed since the last call or a little
    /// earlier, and on those whose turn has come.
    pub fn notes(&mut self, state: &State, now: Moment) -> Vec<AnnouncedModelsNote> {
        let Some(placer) = &state.placer else {
            return Vec::new();
        };
        if self.fence != placer.fence() {
            *self = Announcer {
                fence: placer.fence(),
                turned_at: now,
                announced: announced_before(state),
                ..Announcer::default()
            };
        }
        self.announced.retain(|id, _| placer.views.contains_key(id));
        let due = self.take_turns(placer.views.len(), now);
        let mut notes = Vec::new();
        for (id, view) in &placer.views {
            let models = hash_models(view.servable_models(now));
            let last = self.announced.get(id);
            let repeated = match last {
                Some(last) if last.models == models => {
                    let age = now.saturating_sub(last.sent_at);
                    let repeat = !last.repeated && age >= REPEAT_DELAY;
                    if !repeat && !due.contains(id) {
                        continue;
                    }
                    true
                }
                _ => false,
            };
            self.sequence += 1;
            notes.push(AnnouncedModelsNote {
                engine: id.to_string(),
                incarnation: view.incarnation,
                fence: self.fence,
                sequence: self.sequence,
                models: model_notes(view, now),
            });
            let sent_at = now;
            self.announced.insert(
                id.clone(),
                Announced {
                    models,
                    sent_at,
                    repeated,
                },
            );
        }
        notes
    }

    /// Returns the engines whose turn has come: those that were not announced for longest.
    fn take_turns(&mut self, engines: usize, now: Moment) -> BTreeSet<Arc<str>> {
        let elapsed = now.saturating_sub(self.turned_at).min(FULL_PERIOD);
        self.turned_at = now;
        self.turns += engines as f64 * elapsed.as_secs_f64() / FULL_PERIOD.as_secs_f64();
        let count = self.turns as usize;
        self.turns -= count as f64;
        let mut oldest: Vec<_> = self.announced.iter().collect();
        let count = count.min(oldest.len());
        if count == 0 {
            return BTreeSet::new();
        }
        oldest.select_nth_unstable_by_key(count - 1, |(_, last)| last.sent_at);
        let due = oldest[..count].iter();
        due.map(|(id, _)| (*id).clone()).collect()
    }
}

/// Returns what an earlier leader announced: only what differs from it is news to the other
/// daemons.
fn announced_before(state: &State) -> BTreeMap<Arc<str>, Announced> {
    let mut announced = BTreeMap::new();
    for (id, engine) in &state.fleet.engines {
        let Some(known) = &engine.announced else {
            continue;
        };
        let models = known.models.iter();
        let last = Announced {
            models: hash_models(models.map(|(model, adapters)| (model, adapters.iter()))),
            sent_at: known.received_at,
            repeated: true,
        };
        announced.insert(id.clone(), last);
    }
    announced
}

/// Hashes the models of an engine, each with its adapters.
fn hash_models<'a, A>(models: impl Iterator<Item = (&'a Arc<str>, A)>) -> u64
where
    A: Iterator<Item = &'a Arc<str>>,
{
    let mut hash = Xxh3::new();
    for (model, adapters) in models {
        hash.update(model.as_bytes());
        hash.update(&[0]);
        for adapter in adapters {
            hash.update(adapter.as_bytes());
            hash.update(&[1]);
        }
    }
    hash.digest()
}

fn model_notes(view: &EngineView, now: Moment) -> Vec<ModelNote> {
    let mut notes = Vec::new();
    for (model, adapters) in view.servable_models(now) {
        notes.push(ModelNote {
            model: model.to_string(),
            adapters: adapters.map(|a| a.to_string()).collect(),
        });
    }
    notes
}
