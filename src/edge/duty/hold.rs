//! The tenure: taking the orders over, renewing the row, giving them up.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::Moment;
use crate::edge::clock;
use crate::edge::members::Members;
use crate::edge::placement::{Authority, Past, Placer};
use crate::edge::state::{Edge, Phase};
use crate::edge::store::{Commit, Page, Row, Table, Write};
use crate::edge::tenure::{Candidate, RENEW, Record, Seen, Step, Tenure, Word};

/// Key of the row that names the holder.
const KEY: &str = "orders";
/// Period at which a candidate looks whether the orders are held.
const LOOK: Duration = Duration::from_millis(300);

/// Takes the orders over when nobody holds them, and renews the tenure.
pub async fn tenure(edge: Rc<Edge>) {
    let mut seen: Option<Seen> = None;
    loop {
        let holding = edge.state.borrow().tenure.is_some();
        let pause = match holding {
            true => {
                seen = None;
                match renew(&edge).await {
                    true => RENEW,
                    false => LOOK,
                }
            }
            false => {
                look(&edge, &mut seen).await;
                LOOK
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// One look of a candidate.
async fn look(edge: &Rc<Edge>, seen: &mut Option<Seen>) {
    let now = clock::now();
    let held = {
        let state = edge.state.borrow();
        let holder = state.members.holder(now);
        let told = holder.and_then(|(_, m)| m.tenure.as_ref());
        told.is_some_and(|t| !t.offered)
    };
    if held || edge.phase.get() != Phase::Serving {
        *seen = None;
        return;
    }
    let page = match edge.store.read(Table::Tenure).await {
        Ok(page) => page,
        Err(error) => {
            log::debug!(error:%; "holder not read");
            return;
        }
    };
    let now = clock::now();
    let row = row(&page);
    let version = row.map_or(0, |r| r.version);
    let mut current = match seen.take() {
        Some(old) if old.version == version => old,
        _ => Seen {
            version,
            record: row.and_then(decode),
            since: now,
        },
    };
    let bounds = edge.settings().bounds;
    let step = {
        let state = edge.state.borrow();
        let word = word(&state.members, &mut current, now);
        let candidate = Candidate {
            host: edge.host.clone(),
            life: edge.life,
            rank: state.members.rank(&edge.host, now),
            lease: bounds.lease(),
            fences: bounds.fences,
        };
        candidate.step(&current, word, now)
    };
    *seen = Some(current);
    let Step::Take {
        version,
        record,
        from,
    } = step
    else {
        return;
    };
    take(edge, version, record, from).await;
}

/// What the holder that the row names said last. A row that it has not
/// renewed since it was heard stands since then.
fn word(members: &Members, seen: &mut Seen, now: Moment) -> Word {
    let Some(record) = &seen.record else {
        return Word::Silent;
    };
    let Some((member, told)) = members.told(&record.host, record.fence) else {
        return Word::Silent;
    };
    if told.row == seen.version {
        seen.since = seen.since.min(told.renewed);
    }
    if told.offered {
        return Word::Offers(told.ordered);
    }
    match member.alive(now) {
        true => Word::Holds,
        false => Word::Silent,
    }
}

/// Writes the row that names this daemon.
async fn take(edge: &Rc<Edge>, version: u64, record: Record, from: Moment) {
    let begun = clock::now();
    let fence = record.fence;
    let written = match put(edge, version, &record).await {
        Put::Done(written) | Put::Found(written) => written,
        // If it was done after all, the row names this host, and the next
        // look takes it over from there.
        Put::Lost | Put::Unknown => return,
    };
    let pause_ms = from.saturating_sub(clock::now()).as_millis() as u64;
    log::info!(fence, row = written, pause_ms; "orders taken over");
    let settings = edge.settings();
    let authority = Authority {
        host: edge.host.clone(),
        fence,
    };
    let mut state = edge.state.borrow_mut();
    let past = past_loads(&state.members, version);
    let placer = Placer::new(authority, &settings, past);
    state.tenure = Some(Tenure {
        record,
        version: written,
        from,
        renewed: begun,
        ordered: None,
        sent: None,
    });
    state.placer = Some(placer);
    drop(state);
    edge.urgent.notify_one();
    edge.duty.notify_one();
}

/// What is known of the loads before a takeover of the row with `version`.
fn past_loads(members: &Members, version: u64) -> Past {
    if version == 0 {
        return Past::None;
    }
    let told = members.all.values().filter_map(|m| m.tenure.as_ref());
    match told.max_by_key(|t| t.fence) {
        Some(told) => Past::Known(told.loads.clone()),
        None => Past::Until(clock::now()),
    }
}

/// What became of a write of the holder's row.
enum Put {
    /// Done; the version that it made.
    Done(u64),
    /// An earlier sending of the same was done; the version that it made.
    Found(u64),
    /// The row is another's.
    Lost,
    /// Not known.
    Unknown,
}

impl Put {
    /// Looks whether a row is what was to be written.
    fn of(row: Option<&Row>, record: &Record) -> Self {
        match row {
            Some(row) if decode(row).is_some_and(|r| r.same(record)) => Put::Found(row.version),
            _ => Put::Lost,
        }
    }
}

/// Writes the row under the condition of its version.
async fn put(edge: &Edge, version: u64, record: &Record) -> Put {
    let fence = record.fence;
    match edge.store.commit(&[write(version, record)]).await {
        Ok(Commit::Done(written)) => Put::Done(written),
        // An earlier write of ours without an answer may have been done.
        Ok(Commit::Conflict(page)) => Put::of(row(&page), record),
        Err(error) => {
            log::info!(fence, error:%; "holder's row not written");
            Put::Unknown
        }
    }
}

/// Renews the row; false when that failed.
async fn renew(edge: &Edge) -> bool {
    let begun = clock::now();
    let writing = {
        let mut state = edge.state.borrow_mut();
        let tenure = state.tenure.as_mut();
        tenure.map(|t| (t.version, t.renew(begun)))
    };
    let Some((version, record)) = writing else {
        return false;
    };
    let fence = record.fence;
    let written = put(edge, version, &record).await;
    let now = clock::now();
    let mut state = edge.state.borrow_mut();
    let peers = state.peers(now);
    let Some(tenure) = state.tenure.as_mut().filter(|t| t.record.fence == fence) else {
        return false;
    };
    match written {
        Put::Done(version) => {
            tenure.renewed(record, version, begun);
            return true;
        }
        Put::Found(version) => {
            tenure.found(record, version);
            return false;
        }
        Put::Lost => {
            log::warn!(fence; "orders lost: the row is another's");
            state.end_tenure();
            return false;
        }
        Put::Unknown => {}
    }
    if tenure.offers(peers, now) {
        let age_ms = now.saturating_sub(tenure.renewed).as_millis() as u64;
        log::warn!(fence, age_ms; "orders offered: the row cannot be renewed");
        if !edge.settings().bounds.fences {
            state.end_tenure();
        }
        drop(state);
        edge.urgent.notify_one();
    }
    false
}

/// Gives the orders up, as this daemon leaves; `begun` is when that began.
/// False when the store does not take it.
pub async fn release(edge: &Edge, begun: Moment) -> bool {
    let tenure = edge.state.borrow().tenure.clone();
    let Some(tenure) = tenure else {
        return true;
    };
    let now = clock::now();
    let fences = edge.settings().bounds.fences;
    let mut idle = tenure.idle(fences, now);
    if fences {
        // Late orders are refused by fencing; those from before count.
        idle = idle.max(now.saturating_sub(begun));
    }
    let fence = tenure.record.fence;
    let record = Record {
        released: Some(idle.as_millis() as u64),
        ..tenure.record
    };
    match put(edge, tenure.version, &record).await {
        Put::Done(row) | Put::Found(row) => log::info!(fence, row; "orders given up"),
        Put::Lost => log::info!(fence; "orders were taken over"),
        Put::Unknown => return false,
    }
    edge.state.borrow_mut().end_tenure();
    edge.urgent.notify_one();
    true
}

fn write(version: u64, record: &Record) -> Write {
    Write {
        table: Table::Tenure,
        key: KEY.into(),
        expected: Some(version),
        value: serde_json::to_vec(record).ok(),
    }
}

fn row(page: &Page) -> Option<&Row> {
    page.rows.iter().find(|row| &*row.key == KEY)
}

fn decode(row: &Row) -> Option<Record> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(row = row.version, error:%; "holder's row cannot be read");
            None
        }
    }
}
