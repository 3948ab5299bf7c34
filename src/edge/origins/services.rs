//! Versions in service, and at which of them new streams may begin.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;

/// Time for which a stream can be taken up at most after it began.
pub(super) const STREAM_TIME: Duration = Duration::from_secs(60);

/// Time for which a base version may be missing from the list of engines, or the list not be read,
/// until its row has to be read again: well below the time after which another version becomes the
/// base, so that no stream lasts from one to the other.
const MAX_ABSENCE: Duration = Duration::from_secs(30);

/// Versions listed by service.
pub type ListedVersions = BTreeMap<Arc<str>, BTreeSet<Arc<str>>>;

/// The version at which the streams of a service began that have no row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The version.
    pub software: Arc<str>,
    /// Version of its row in the store.
    #[serde(skip)]
    pub row: u64,
    /// Era of the store in which the row was written.
    #[serde(default)]
    pub era: u64,
    /// Time of the store's clock at which rows of streams may have been missing, ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unsure_ms: Option<u64>,
    /// Time of the store's clock at which the row was written, ms.
    #[serde(default)]
    pub written_ms: u64,
}

/// Time and era of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreTime {
    /// Era.
    pub era: u64,
    /// Time of its clock, ms.
    pub now_ms: u64,
}

impl Base {
    /// Returns the base with which another version replaces this one. Rows that were missing before
    /// are missing still.
    pub fn replaced_by(&self, software: Arc<str>, era: u64) -> Base {
        Base {
            software,
            era,
            ..self.clone()
        }
    }

    /// Returns the base of a new era of the store; `unsure_ms` is its time if rows of streams may be
    /// missing since.
    pub fn of_era(&self, era: u64, unsure_ms: Option<u64>) -> Base {
        Base {
            era,
            unsure_ms: unsure_ms.or(self.unsure_ms),
            ..self.clone()
        }
    }

    /// Returns whether a stream without a row surely began at this version: since the time at
    /// which rows may have been missing, none can still be taken up. `several` tells whether
    /// other versions may have begun streams.
    pub fn holds(&self, store: StoreTime, several: bool) -> bool {
        let is_past = |at: u64| store.now_ms.saturating_sub(at) >= STREAM_TIME.as_millis() as u64;
        self.unsure_ms.is_none_or(is_past) && (self.era == store.era || !several)
    }
}

/// At which versions a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// At any.
    Any,
    /// At this one.
    Only(Arc<str>),
    /// At these.
    OneOf(Rc<BTreeSet<Arc<str>>>),
}

impl Allowed {
    /// Returns whether it may run at a version.
    pub fn contains(&self, software: &str) -> bool {
        match self {
            Allowed::Any => true,
            Allowed::Only(only) => **only == *software,
            Allowed::OneOf(versions) => versions.contains(software),
        }
    }

    /// Returns the only version at which it may run, if there is but one.
    pub fn only(&self) -> Option<&Arc<str>> {
        match self {
            Allowed::Only(software) => Some(software),
            Allowed::Any | Allowed::OneOf(_) => None,
        }
    }
}

/// How other hosts can know at which version a stream begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recording {
    /// By its row in the store.
    Store,
    /// The store does not answer this host, but others can be told.
    Hosts,
    /// By nothing but the base version.
    Absent,
}

#[derive(Debug, Default)]
struct Service {
    base: Option<Base>,
    /// As of when the list of engines last had the base version, without having missed it for
    /// [`MAX_ABSENCE`]; absent if the base row was never read while it was listed.
    seen_at: Option<Moment>,
    /// Versions that were listed before the base row was last read.
    confirmed: Rc<BTreeSet<Arc<str>>>,
    /// When a version was last listed that is not the base.
    several_at: Option<Moment>,
}

/// Versions of all services with streams that may be resumed.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    services: HashMap<Arc<str>, Service>,
    /// When the list of engines was last read.
    listed_at: Moment,
}

impl Service {
    /// Returns whether another version may be the base by now: the known one was missing from the
    /// list for a while, or the list was not read.
    fn has_lapsed(&self, listed_at: Moment) -> bool {
        let since = |seen_at| listed_at.saturating_sub(seen_at);
        self.seen_at.is_none_or(|at| since(at) >= MAX_ABSENCE)
    }
}

impl ServiceVersions {
    /// Returns the base version of a service, if it is known.
    pub fn base(&self, service: &str) -> Option<&Base> {
        self.services.get(service)?.base.as_ref()
    }

    /// Records that the list of engines has been read.
    pub fn record_list(&mut self, now: Moment) {
        self.listed_at = now;
    }

    /// Returns when the list of engines was last read.
    pub fn listed_at(&self) -> Moment {
        self.listed_at
    }

    /// Returns whether the base row of a service has to be read before the base is relied on.
    pub fn has_lapsed(&self, name: &str) -> bool {
        let service = self.services.get(name);
        service.is_none_or(|s| s.has_lapsed(self.listed_at))
    }

    /// Records which versions are listed now. Returns whether base rows have to be read: a version
    /// is listed that was not when they were last read, or the base again after it was missing.
    pub fn record_listed(&mut self, listed: &ListedVersions, now: Moment) -> bool {
        let mut is_new = false;
        for (name, versions) in listed {
            let service = self.services.entry(name.clone()).or_default();
            let base = service.base.iter().map(|base| &base.software);
            if base.chain(versions).collect::<BTreeSet<_>>().len() > 1 {
                service.several_at = Some(now);
            }
            is_new |= !versions.is_subset(&service.confirmed);
            let Some(base) = &service.base else {
                continue;
            };
            if versions.contains(&base.software) {
                match service.has_lapsed(self.listed_at) {
                    true => is_new = true,
                    false => service.seen_at = Some(self.listed_at),
                }
            }
        }
        is_new
    }

    /// Records the base of a service, read after `versions` were listed. Returns whether it is
    /// another version than before.
    pub fn confirm(&mut self, name: &Arc<str>, base: Base, versions: &BTreeSet<Arc<str>>) -> bool {
        let listed_at = self.listed_at;
        let service = self.services.entry(name.clone()).or_default();
        let has_changed = service
            .base
            .as_ref()
            .is_some_and(|known| known.software != base.software);
        if versions.contains(&base.software) {
            service.seen_at = Some(listed_at);
        } else if has_changed {
            service.seen_at = None;
        }
        let mut confirmed = versions.clone();
        confirmed.insert(base.software.clone());
        service.confirmed = Rc::new(confirmed);
        service.base = Some(base);
        has_changed
    }

    /// Forgets which versions the base rows hold for: the store has come back from an older copy.
    /// Streams may go on to begin at the base version.
    pub fn begin_era(&mut self) {
        for service in self.services.values_mut() {
            let base = service.base.iter().map(|base| base.software.clone());
            service.confirmed = Rc::new(base.collect());
        }
    }

    /// Returns whether a base row was written in an earlier era of the store than this.
    pub fn is_outdated(&self, era: u64) -> bool {
        let mut bases = self.services.values().filter_map(|s| s.base.as_ref());
        bases.any(|base| base.era < era)
    }

    /// Returns whether a stream of a service without a row surely began at its base version.
    pub fn is_base_sure(&self, name: &str, store: StoreTime, now: Moment) -> bool {
        let several = self.has_several(name, now);
        self.base(name)
            .is_some_and(|base| base.holds(store, several))
    }

    /// Returns at which versions new streams of a service may begin. Where their rows cannot be
    /// written now, that is the base version, unless no engine of it may be used and other hosts
    /// can be told.
    pub fn allowed_to_begin(
        &self,
        name: &str,
        recording: Recording,
        is_usable: impl FnOnce(&str) -> bool,
    ) -> Allowed {
        let Some(Service {
            base: Some(base),
            confirmed,
            ..
        }) = self.services.get(name)
        else {
            return Allowed::OneOf(Rc::default());
        };
        let is_open = match recording {
            _ if confirmed.len() <= 1 => true,
            Recording::Store => true,
            Recording::Hosts => !is_usable(&base.software),
            Recording::Absent => false,
        };
        match is_open {
            true => Allowed::OneOf(confirmed.clone()),
            false => Allowed::Only(base.software.clone()),
        }
    }

    /// Returns the version of all streams of a service that can still be taken up, if there was
    /// but one for so long.
    pub fn sole_version(&self, name: &str, now: Moment) -> Option<&Arc<str>> {
        let service = self.services.get(name)?;
        let is_sole = service
            .several_at
            .is_none_or(|at| now.saturating_sub(at) >= STREAM_TIME);
        let is_sole = is_sole && !service.has_lapsed(self.listed_at);
        let base = &service.base.as_ref()?.software;
        is_sole.then_some(base)
    }

    /// Returns the priority at its engine of a request with the priority of its route, where 0 is
    /// the most urgent. With several versions, a stream that goes on has fewer engines than a new
    /// request, so that it comes before those of its route.
    pub fn engine_priority(&self, name: &str, priority: u8, goes_on: bool, now: Moment) -> u8 {
        let is_behind = !goes_on && self.base(name).is_some() && self.has_several(name, now);
        priority.saturating_add(u8::from(is_behind))
    }

    /// Returns whether any service has, or had within the time of a stream, several versions.
    pub fn any_has_several(&self, now: Moment) -> bool {
        self.services.keys().any(|name| self.has_several(name, now))
    }

    /// Returns whether a service has, or had within the time of a stream, several versions.
    pub fn has_several(&self, name: &str, now: Moment) -> bool {
        self.sole_version(name, now).is_none()
    }
}
