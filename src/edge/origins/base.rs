//! Rows that name the base versions of services.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::services::{Base, ListedVersions, StoreTime};
use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::state::{Edge, State};
use crate::edge::store::{CommitOutcome, RowChange, RowPage, StoreError, Table, UNNAMED_PART};

/// Period of checking which versions are listed, without a change of the list.
const CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Pause before base rows are read again that could not be read or written.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time for which no engine of a base version is listed before another becomes the base: longer
/// than any stream lasts that began at it without a row.
const RETIRE_AFTER: Duration = Duration::from_secs(90);
/// Age of the list of engines above which it does not tell that a version is missing.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// Time after a write of a base row in which it need not be written again so that earlier writes
/// fail.
const FENCE_TIME: Duration = Duration::from_secs(10);
/// Period of reading the base row of a service without engines of its base version.
const REREAD_PERIOD: Duration = Duration::from_secs(15);

/// Since when no engine of a base version is listed.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Moment,
    read_at: Moment,
    /// Version of the base row.
    row: u64,
}

/// Keeps the base versions up to date: reads them at the start, in each new era of the store and
/// when a version is listed for the first time, before that version is used.
pub async fn keep_bases(edge: Rc<Edge>) {
    let mut eras = edge.store.eras();
    let mut absences = HashMap::new();
    loop {
        if eras.has_changed().unwrap_or(false) {
            eras.mark_unchanged();
            edge.begin_origins_era();
        }
        let pause = match update_bases(&edge, &mut absences).await {
            Ok(()) => CHECK_PERIOD,
            Err(error) => {
                log::debug!(error:%; "base versions not read or written");
                RETRY_PAUSE
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = edge.origin_wake.notified() => {}
            _ = eras.changed() => eras.mark_changed(),
        }
    }
}

async fn update_bases(
    edge: &Rc<Edge>,
    absences: &mut HashMap<Arc<str>, Absence>,
) -> Result<(), StoreError> {
    let now = clock::now();
    let (listed, is_new) = {
        let mut state = edge.state.borrow_mut();
        if state.desired.version == 0 {
            return Ok(());
        }
        let listed = state.listed_versions();
        let is_new = state.origins.services.record_listed(&listed, now);
        (listed, is_new)
    };
    let is_due = is_new || !edge.origins_known.get() || edge.has_outdated_base();
    if is_due || reread_due(edge, &listed, absences, now) {
        read_bases(edge, &listed).await?;
        for absence in absences.values_mut() {
            absence.read_at = now;
        }
        // Versions that were listed meanwhile need another reading.
        if edge.state.borrow().listed_versions() == listed {
            edge.origins_known.set(true);
        }
        edge.notify_waiting();
    }
    retire_bases(edge, &listed, absences, now).await
}

/// Reads the base rows, and writes those of listed services that have none. One host writes those
/// of an earlier era again, as rows of streams may be missing since then; others do so now and then,
/// as the store may not answer that host.
async fn read_bases(edge: &Rc<Edge>, listed: &ListedVersions) -> Result<(), StoreError> {
    let page = edge.store.read_table(Table::Bases).await?;
    let mut bases = decode(&page);
    let hosts = edge.state.borrow().members.share_count(clock::now());
    let writes_again = edge.is_allocator() || rand::random_ratio(1, hosts as u32);
    for (service, versions) in listed {
        let mut base = bases.remove(service);
        let due = match &base {
            None => edge.first_base(service),
            Some(known) if known.era < page.era && writes_again => {
                Some(edge.base_of_era(service, known))
            }
            Some(known) => edge.fenced_base(service, known, versions),
        };
        if let Some(due) = due {
            base = write_base(edge, service, due).await?;
        }
        if let Some(base) = base {
            edge.confirm_base(service, base, versions);
        }
    }
    Ok(())
}

/// Writes the base row of a service if it has the version that `base` names; returns the row that
/// there is then.
async fn write_base(
    edge: &Edge,
    service: &Arc<str>,
    base: Base,
) -> Result<Option<Base>, StoreError> {
    let base = Base {
        written_ms: edge.store.now_ms(),
        ..base
    };
    let change = RowChange {
        table: Table::Bases,
        part: UNNAMED_PART,
        key: service.clone(),
        expected_version: Some(base.row),
        value: serde_json::to_vec(&base).ok(),
    };
    match edge.store.commit(&[change]).await? {
        CommitOutcome::Committed(row) => {
            let software = &*base.software;
            let (era, unsure_ms) = (base.era, base.unsure_ms);
            log::info!(service = &**service, software, row, era, unsure_ms:?; "base version written");
            Ok(Some(Base { row, ..base }))
        }
        CommitOutcome::Conflict(page) => Ok(decode(&page).remove(service)),
    }
}

/// Returns whether the base row of a service without engines of its base version is to be read
/// again: another daemon may have replaced it.
fn reread_due(
    edge: &Edge,
    listed: &ListedVersions,
    absences: &mut HashMap<Arc<str>, Absence>,
    now: Moment,
) -> bool {
    let state = edge.state.borrow();
    let mut is_due = false;
    for (service, versions) in listed {
        let Some(base) = state.origins.services.base(service) else {
            continue;
        };
        if versions.is_empty() || versions.contains(&base.software) {
            absences.remove(service);
            continue;
        }
        let row = base.row;
        let first = Absence {
            since: now,
            read_at: now,
            row,
        };
        let absence = absences.entry(service.clone()).or_insert(first);
        if absence.row != row {
            *absence = first;
        }
        is_due |= now.saturating_sub(absence.read_at) >= REREAD_PERIOD;
    }
    is_due
}

/// Replaces base versions of which no engine is left; one host does so for all.
async fn retire_bases(
    edge: &Rc<Edge>,
    listed: &ListedVersions,
    absences: &mut HashMap<Arc<str>, Absence>,
    now: Moment,
) -> Result<(), StoreError> {
    let listed_at = edge.state.borrow().origins.services.listed_at();
    let is_current = now.saturating_sub(listed_at) < MAX_LIST_AGE;
    if absences.is_empty() || !is_current || !edge.is_allocator() {
        return Ok(());
    }
    for (service, versions) in listed {
        let is_over = |a: &Absence| now.saturating_sub(a.since) >= RETIRE_AFTER;
        let Some(absence) = absences.get(service).copied().filter(is_over) else {
            continue;
        };
        absences.remove(service);
        let Some(base) = edge.next_base(service, absence.row) else {
            continue;
        };
        if let Some(base) = write_base(edge, service, base).await? {
            edge.confirm_base(service, base, versions);
        }
    }
    Ok(())
}

fn decode(page: &RowPage) -> HashMap<Arc<str>, Base> {
    let mut bases = HashMap::new();
    for row in &page.rows {
        let (Some(value), true) = (&row.value, row.unnamed_part) else {
            continue;
        };
        match serde_json::from_slice::<Base>(value) {
            Ok(base) => {
                let base = Base {
                    row: row.version,
                    ..base
                };
                bases.insert(row.key.clone(), base);
            }
            Err(error) => {
                log::warn!(service = &*row.key, error:%; "row of a base version ignored");
            }
        }
    }
    bases
}

impl Edge {
    /// Records the base of a service, read after `versions` were listed.
    fn confirm_base(
        self: &Rc<Self>,
        service: &Arc<str>,
        base: Base,
        versions: &BTreeSet<Arc<str>>,
    ) {
        let software = base.software.clone();
        let mut state = self.state.borrow_mut();
        let origins = &mut state.origins;
        let is_new = origins.services.base(service) != Some(&base);
        if origins.services.confirm(service, base, versions) {
            origins.streams.change_base(service, &software);
        }
        drop(state);
        if is_new {
            let versions: Vec<_> = versions.iter().map(|v| &**v).collect();
            let versions = versions.join(",");
            log::info!(service = &**service, software = &*software, versions; "base version known");
        }
        self.write_origins();
    }

    /// Reads the base rows again.
    pub(super) async fn refresh_bases(self: &Rc<Self>) -> Result<(), StoreError> {
        let listed = self.state.borrow().listed_versions();
        read_bases(self, &listed).await
    }

    /// Returns whether another host may have replaced the base version of a service.
    pub(super) fn may_be_replaced(&self, service: &str) -> bool {
        let state = self.state.borrow();
        let services = &state.origins.services;
        let base = services.base(service);
        let is_listed = base.is_some_and(|base| state.fleet.lists(service, &base.software));
        !is_listed || services.has_lapsed(service)
    }

    /// Returns the base of a service that has no row: the one that this host knows, as the store
    /// has lost its row, else the version that most listed engines have.
    fn first_base(&self, service: &str) -> Option<Base> {
        let state = self.state.borrow();
        if let Some(known) = state.origins.services.base(service) {
            return Some(Base {
                row: 0,
                ..self.base_of_era(service, known)
            });
        }
        Some(Base {
            software: state.most_listed(service)?,
            era: self.store.era(),
            ..Base::default()
        })
    }

    /// Returns the base that replaces the known one of a service, whose row has this version.
    fn next_base(&self, service: &str, row: u64) -> Option<Base> {
        let state = self.state.borrow();
        let known = state.origins.services.base(service)?;
        let software = state.most_listed(service)?;
        let base = known.replaced_by(software, self.store.era());
        Some(Base { row, ..base })
    }

    /// Returns the base of a service for the store's era. While several versions serve, rows of
    /// streams may be missing from now on.
    fn base_of_era(&self, service: &str, base: &Base) -> Base {
        let state = self.state.borrow();
        let several = state.origins.services.has_several(service, clock::now());
        let unsure_ms = several.then(|| self.store.now_ms());
        base.of_era(self.store.era(), unsure_ms)
    }

    /// Returns the base row of a service to be written once more when its version is listed again: a
    /// write that replaces it, and was not answered, then fails.
    fn fenced_base(
        &self,
        service: &str,
        base: &Base,
        versions: &BTreeSet<Arc<str>>,
    ) -> Option<Base> {
        let state = self.state.borrow();
        let services = &state.origins.services;
        let is_back = versions.len() > 1
            && versions.contains(&base.software)
            && services.base(service).is_some()
            && services.has_lapsed(service);
        let age_ms = self.store.now_ms().saturating_sub(base.written_ms);
        let is_due = is_back && age_ms >= FENCE_TIME.as_millis() as u64;
        is_due.then(|| base.clone())
    }

    /// Returns whether a base row was written in an earlier era of the store.
    fn has_outdated_base(&self) -> bool {
        let state = self.state.borrow();
        state.origins.services.is_outdated(self.store.era())
    }

    /// Returns the time and era of the store.
    pub(super) fn store_time(&self) -> StoreTime {
        StoreTime {
            era: self.store.era(),
            now_ms: self.store.now_ms(),
        }
    }

    /// Has the rows of streams written again, and base rows read before further versions are used.
    fn begin_origins_era(self: &Rc<Self>) {
        let now = clock::now();
        let mut guard = self.state.borrow_mut();
        let State {
            origins, members, ..
        } = &mut *guard;
        origins.services.begin_era();
        let services = &origins.services;
        let is_several = |service: &str| services.has_several(service, now);
        let is_alive = |host: &str| members.all.get(host).is_some_and(|m| m.is_alive(now));
        origins.streams.begin_era(is_several, is_alive);
        drop(guard);
        self.write_origins();
    }
}

impl State {
    /// Returns the versions of the listed engines of services with streams that may be resumed.
    fn listed_versions(&self) -> ListedVersions {
        let mut listed = ListedVersions::new();
        let routes = self.desired.routes.values().flatten();
        for route in routes.filter(|r| r.has_resumable_streams()) {
            for target in &route.targets {
                listed.entry(target.service.clone()).or_default();
            }
        }
        for engine in self.fleet.engines.values() {
            if let Some(versions) = listed.get_mut(&engine.entry.service) {
                versions.insert(engine.entry.software.clone());
            }
        }
        listed
    }

    /// Returns the version that most listed engines of a service have.
    fn most_listed(&self, service: &str) -> Option<Arc<str>> {
        let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for engine in self.fleet.engines.values() {
            if &*engine.entry.service == service {
                *counts.entry(&engine.entry.software).or_default() += 1;
            }
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count)?;
        Some(most.0.clone())
    }
}
