//! Reading of the store: desired state, list of engines, list of daemons.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::clock;
use super::fleet::Entry;
use super::members::Record;
use super::state::{Edge, Phase};
use super::store::{Page, Row, StoreError, Table, Write};
use crate::platform::{desired, listing, rows};

/// Longest wait of one call for a new desired state. A connection that went
/// silent is noticed after this and the time limit of a call.
const FEED_WAIT: Duration = Duration::from_millis(1_500);
/// Part of the time within which a leaving engine must be left, at which the
/// list of engines is read.
const LIST_PART: f64 = 0.35;
/// Part of the store's rate of reads that goes to the list of engines.
const READS_PART: f64 = 0.5;
/// Pause after a call to the store failed.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// Period at which the list of daemons is read; new ones make themselves
/// heard before.
const MEMBERS_PERIOD: Duration = Duration::from_secs(8);
/// Least time between two readings of the list of daemons.
const MEMBERS_PAUSE: Duration = Duration::from_millis(500);

/// Keeps the desired state up to date.
pub async fn desired(edge: Rc<Edge>) {
    let mut after = None;
    loop {
        let outcome = match after {
            None => edge.store.read(Table::Desired).await,
            Some(version) => edge.store.feed(Table::Desired, version, FEED_WAIT).await,
        };
        match outcome {
            Ok(page) => {
                take_desired(&edge, &page);
                after = Some(page.version);
            }
            Err(StoreError::Forgotten) => {
                log::info!(after = after.unwrap_or(0); "history dropped, reading whole");
                after = None;
            }
            Err(error) => {
                log::debug!(error:%; "desired state not read");
                // What was missed meanwhile is found by a whole reading.
                after = None;
                tokio::time::sleep(FAILED_PAUSE).await;
            }
        }
    }
}

fn take_desired(edge: &Edge, page: &Page) {
    for row in &page.rows {
        if &*row.key != rows::DESIRED_KEY || !row.in_root {
            continue;
        }
        let Some(value) = &row.value else {
            continue;
        };
        let desired = match desired::decode(value) {
            Ok(desired) => desired,
            Err(error) => {
                log::error!(row = row.version, error:%; "desired state cannot be read");
                continue;
            }
        };
        let known = edge.state.borrow().desired.version;
        if desired.version <= known {
            continue;
        }
        let routes: usize = desired.routes.values().map(Vec::len).sum();
        let version = desired.version;
        log::info!(version, known, row = row.version, routes; "desired state in force");
        edge.metrics.set_config_version(version);
        edge.state.borrow_mut().desired = Rc::new(desired);
        edge.notify();
        edge.order_wake.notify_one();
    }
}

/// Keeps the list of engines up to date, and becomes ready when both it and
/// the desired state are known.
pub async fn engines(edge: Rc<Edge>) {
    let mut known_bad = BTreeSet::new();
    loop {
        let period = list_period(&edge);
        let begun = clock::now();
        match edge.store.read(Table::Engines).await {
            Ok(page) => {
                take_engines(&edge, page, &mut known_bad);
                if edge.phase.get() == Phase::Starting {
                    become_ready(&edge).await;
                }
            }
            Err(error) => log::debug!(error:%; "engines not read"),
        }
        let spent = clock::now().saturating_sub(begun);
        let pause = period.saturating_sub(spent).max(FAILED_PAUSE);
        tokio::time::sleep(pause).await;
    }
}

/// Period at which the list of engines is read: often enough for leaving
/// engines, and within this daemon's share of the store's rate.
fn list_period(edge: &Edge) -> Duration {
    let settings = edge.settings();
    let daemons = edge.state.borrow().members.sharing(clock::now());
    let share = settings.store.reads_per_s * READS_PART / daemons as f64;
    let least = Duration::try_from_secs_f64(1.0 / share).unwrap_or(FAILED_PAUSE);
    let wished = Duration::from_millis(settings.bounds.drain_ms).mul_f64(LIST_PART);
    wished.max(least)
}

/// Becomes ready once the desired state is known as well.
async fn become_ready(edge: &Edge) {
    let mut changes = edge.changed.subscribe();
    while edge.state.borrow().desired.version == 0 {
        if changes.changed().await.is_err() {
            return;
        }
    }
    if edge.phase.get() == Phase::Starting {
        edge.phase.set(Phase::Serving);
        log::info!(host = &*edge.host; "ready");
        edge.urgent.notify_one();
    }
}

fn take_engines(edge: &Edge, page: Page, known_bad: &mut BTreeSet<Arc<str>>) {
    let mut entries: Vec<Entry> = Vec::new();
    let mut unreadable = BTreeSet::new();
    for row in page.rows {
        if !row.in_root {
            continue;
        }
        match entry(&row) {
            Ok(entry) => entries.push(entry),
            Err(error) => {
                unreadable.insert(row.key.clone());
                if !known_bad.contains(&row.key) {
                    log::warn!(engine = &*row.key, row = row.version, error = error.as_str();
                        "entry ignored");
                }
            }
        }
    }
    *known_bad = unreadable.clone();
    let now = clock::now();
    let back = edge.store.reach().back;
    let mut state = edge.state.borrow_mut();
    let services = &state.desired.services;
    let strange: Vec<_> = entries
        .extract_if(.., |e| {
            !services.is_empty() && !services.contains_key(&e.service)
        })
        .collect();
    for entry in strange {
        unreadable.insert(entry.id);
    }
    let changes = state.fleet.read(entries, &unreadable, back, now);
    drop(state);
    for (engine, change) in &changes {
        let change: &'static str = change.into();
        log::info!(engine = &**engine, change, list = page.version; "engine changed");
    }
    edge.notify();
    if !changes.is_empty() {
        edge.order_wake.notify_one();
    }
}

fn entry(row: &Row) -> Result<Entry, String> {
    let value = row.value.as_ref().ok_or("no value")?;
    listing::decode(&row.key, value).map_err(|e| e.to_string())
}

/// Keeps this daemon's row and the list of the others up to date.
pub async fn members(edge: Rc<Edge>) {
    let mut written = false;
    loop {
        if !written {
            written = register(&edge).await;
        }
        match edge.store.read(Table::Members).await {
            Ok(page) => take_members(&edge, page),
            Err(error) => {
                log::debug!(error:%; "members not read");
                tokio::time::sleep(FAILED_PAUSE).await;
                continue;
            }
        }
        tokio::time::sleep(MEMBERS_PAUSE).await;
        tokio::select! {
            () = tokio::time::sleep(MEMBERS_PERIOD) => {}
            () = edge.stranger.notified() => {}
        }
    }
}

async fn register(edge: &Edge) -> bool {
    let settings = edge.settings();
    let record = Record {
        life: edge.life,
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        domain: settings.domain.clone(),
    };
    let write = Write {
        table: Table::Members,
        key: edge.host.clone(),
        expected: None,
        value: serde_json::to_vec(&record).ok(),
    };
    match edge.store.commit(&[write]).await {
        Ok(_) => true,
        Err(error) => {
            log::debug!(error:%; "member row not written");
            false
        }
    }
}

/// Drops this daemon's row, as it leaves.
pub async fn deregister(edge: &Edge) {
    let write = Write {
        table: Table::Members,
        key: edge.host.clone(),
        expected: None,
        value: None,
    };
    if let Err(error) = edge.store.commit(&[write]).await {
        log::info!(error:%; "member row stays");
    }
}

fn take_members(edge: &Edge, page: Page) {
    let mut records = Vec::new();
    for row in page.rows {
        let Some(value) = &row.value else {
            continue;
        };
        match serde_json::from_slice(value) {
            Ok(record) => records.push((row.key, record)),
            Err(error) => {
                log::warn!(member = &*row.key, error:%; "member row ignored");
            }
        }
    }
    let mut state = edge.state.borrow_mut();
    let before = state.members.all.len();
    state.members.read(records, &edge.host, clock::now());
    let after = state.members.all.len();
    drop(state);
    if before != after {
        log::info!(before, after; "list of members changed");
        edge.urgent.notify_one();
    }
}
