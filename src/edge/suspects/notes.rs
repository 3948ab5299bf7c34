//! Crashes in the datagrams between daemons.

use std::time::Duration;

use super::{Crash, CrashId, Evidence, Feature, HeldChange, Suspects};
use crate::clock::Moment;
use crate::edge::gossip::{CrashNote, FeatureNote};
use crate::edge::upstream::Lifetime;

impl Suspects {
    /// Returns the crashes of which this daemon has news, `limit` at most; the others are told
    /// by the heartbeats.
    pub fn take_news(&mut self, limit: usize, now: Moment) -> Vec<CrashNote> {
        let news = std::mem::take(&mut self.news);
        let known = news
            .iter()
            .filter_map(|id| self.crashes.get(id).map(|(_, c)| (id, c)));
        known
            .take(limit)
            .map(|(id, c)| encode(id, c, now))
            .collect()
    }

    /// Returns whether there are crashes to tell other daemons at once.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns the ids of all crashes, in order.
    pub fn crash_ids(&self) -> impl Iterator<Item = &CrashId> {
        self.crashes.keys()
    }

    /// Returns a crash to tell other daemons.
    pub fn note(&self, id: &CrashId, now: Moment) -> Option<CrashNote> {
        self.crashes.get(id).map(|(_, c)| encode(id, c, now))
    }

    /// Merges a crash that another daemon reports.
    pub fn apply(&mut self, note: &CrashNote, now: Moment) -> HeldChange {
        let ago = |ms| now.saturating_sub(Duration::from_millis(ms));
        let id = CrashId {
            lifetime: Lifetime {
                engine: note.engine.as_str().into(),
                incarnation: note.incarnation,
            },
            ended: note.ended,
        };
        let mut crash = Crash::new(&id, ago(note.age_ms), ago(note.seen_ms));
        for feature in &note.features {
            let evidence = Evidence {
                begun: feature.begun,
                known: feature.known,
                cleared: feature.cleared,
                repeated: feature.repeated,
            };
            crash.add(decode(feature), evidence);
        }
        let had_news = self.news.contains(&id);
        let change = self.merge(&id, &crash, now);
        // The sender tells the others, unless this daemon knows more.
        let adds = self.crashes.get(&id).is_some_and(|(_, known)| {
            let told = |(f, e): (&Feature, &Evidence)| crash.features.get(f) == Some(e);
            !known.features.iter().all(told)
        });
        if !had_news && !adds {
            self.news.remove(&id);
        }
        change
    }
}

fn decode(note: &FeatureNote) -> Feature {
    match note.is_request {
        true => Feature::Request(note.id),
        false => Feature::Part(note.id),
    }
}

fn encode(id: &CrashId, crash: &Crash, now: Moment) -> CrashNote {
    let since = |at: Moment| now.saturating_sub(at).as_millis() as u64;
    let features = crash.features.iter().map(|(feature, evidence)| {
        let (number, is_request) = match feature {
            Feature::Request(hash) => (*hash, true),
            Feature::Part(id) => (*id, false),
        };
        FeatureNote {
            id: number,
            is_request,
            begun: evidence.begun,
            known: evidence.known,
            cleared: evidence.cleared,
            repeated: evidence.repeated,
        }
    });
    CrashNote {
        engine: id.lifetime.engine.to_string(),
        incarnation: id.lifetime.incarnation,
        ended: id.ended,
        age_ms: since(crash.at),
        seen_ms: since(crash.seen_at),
        features: features.collect(),
    }
}
