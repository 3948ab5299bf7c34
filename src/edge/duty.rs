//! The holder's duty: taking over the orders, and giving them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::client::{SendError, Times};
use super::clock;
use super::gossip::ToldNote;
use super::members::Members;
use super::orders::{Order, Outcome, Report};
use super::peers;
use super::placement::{Act, Authority, Past, Placer, Scene};
use super::state::{Edge, Phase};
use super::store::{Commit, Page, Row, Table, Write};
use super::tenure::{Candidate, RENEW, Record, Seen, Step, Tenure, Word};
use crate::clock::Moment;
use crate::platform::orders;

/// Key of the row that names the holder.
const KEY: &str = "orders";
/// Period at which a candidate looks whether the orders are held.
const LOOK: Duration = Duration::from_millis(300);
/// Pause of the holder while something is under way.
const BUSY: Duration = Duration::from_millis(15);
/// Pause of the holder while nothing is.
const IDLE: Duration = Duration::from_millis(250);
/// Period at which all daemons are told again what engines hold.
const RETELL: Duration = Duration::from_millis(1_000);
/// Time limits of a call to an engine, which answers within milliseconds. An
/// order without an answer is repeated safely, as it names the number of
/// orders that the engine must have accepted before it.
const CALL: Times = Times {
    connect: Duration::from_millis(400),
    total: Duration::from_millis(250),
    most: 1 << 20,
};

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

/// Gives orders while this daemon holds them, and tells the others what
/// engines hold.
pub async fn orders(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut teller = Teller::default();
    loop {
        let busy = round(&edge);
        let notes = teller.notes(&edge);
        if !notes.is_empty() {
            take_notes(&edge, &notes);
            peers::tell(&edge, &socket, notes).await;
        }
        let pause = match busy {
            true => BUSY,
            false => IDLE,
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = edge.duty.notified() => {}
        }
    }
}

/// Believes at this daemon what the others are told.
fn take_notes(edge: &Edge, notes: &[ToldNote]) {
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

/// Decides once, and starts the calls decided on; true while something is
/// under way.
fn round(edge: &Rc<Edge>) -> bool {
    let now = clock::now();
    let fences = edge.settings().bounds.fences;
    let mut guard = edge.state.borrow_mut();
    let state = &mut *guard;
    let peers = state.peers(now);
    let Some(tenure) = &state.tenure else {
        return false;
    };
    if !tenure.may_order(peers, fences, now) || state.desired.version == 0 {
        return false;
    }
    let wants = state.all_wants(now);
    let demand = state.all_demand(now);
    let Some(placer) = &mut state.placer else {
        return false;
    };
    let scene = Scene {
        fleet: &state.fleet,
        desired: &state.desired,
        wants: &wants,
        demand: &demand,
        now,
    };
    let acts = placer.step(&scene);
    let busy = placer.busy(now) || !wants.is_empty();
    if acts.iter().any(|act| matches!(act, Act::Order(_)))
        && let Some(tenure) = &mut state.tenure
    {
        tenure.ordered = Some(now);
    }
    drop(guard);
    for act in acts {
        let edge = edge.clone();
        tokio::task::spawn_local(async move {
            match act {
                Act::Order(order) => give(&edge, order).await,
                Act::Report(engine) => ask(&edge, engine).await,
            }
            edge.duty.notify_one();
        });
    }
    busy
}

/// Gives one order.
async fn give(edge: &Rc<Edge>, order: Order) {
    let outcome = match call(edge, &order.engine, |addr| orders::request(&order, addr)).await {
        Ok(response) => orders::outcome(response.status()),
        Err(error) => {
            log::info!(engine = &*order.engine, error:%; "order unanswered");
            match error {
                // It was not sent.
                SendError::Unreached(_) => Outcome::Busy,
                SendError::Broken(_) => Outcome::Unanswered,
            }
        }
    };
    let verb: &'static str = order.verb.into();
    let result: &'static str = outcome.into();
    let engine = &*order.engine;
    let model = &*order.model;
    let adapter = order.adapter.as_deref().unwrap_or_default();
    let fence = order.fence;
    let expected = order.expected.unwrap_or(0);
    log::info!(engine, verb, model, adapter, fence, expected, result; "order given");
    let now = clock::now();
    let mut guard = edge.state.borrow_mut();
    let state = &mut *guard;
    let Some(placer) = state.placer.as_mut().filter(|p| p.fence() == fence) else {
        return;
    };
    if outcome == Outcome::Fenced {
        // Another daemon has taken over; the row tells at the next look.
        state.end_tenure();
        log::warn!(fence; "orders lost: an engine knows a higher fencing number");
        return;
    }
    let (wants, demand) = Default::default();
    let scene = Scene {
        fleet: &state.fleet,
        desired: &state.desired,
        wants: &wants,
        demand: &demand,
        now,
    };
    placer.answered(&scene, &order, outcome);
}

/// Asks one engine for its report.
async fn ask(edge: &Rc<Edge>, engine: Arc<str>) {
    let report = match call(edge, &engine, orders::report_request).await {
        Ok(response) => match orders::report(response.body()) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(engine = &*engine, error:%; "report cannot be read");
                None
            }
        },
        Err(error) => {
            log::info!(engine = &*engine, error:%; "no report");
            None
        }
    };
    log_report(&engine, report.as_ref());
    let now = clock::now();
    let mut state = edge.state.borrow_mut();
    if let Some(placer) = &mut state.placer {
        placer.reported(&engine, report.as_ref(), now);
    }
}

fn log_report(engine: &str, report: Option<&Report>) {
    let Some(report) = report else {
        return;
    };
    let held: Vec<_> = report.held.keys().map(|m| &**m).collect();
    let held = held.join(",");
    let (orders, busy) = (report.orders, report.busy);
    log::debug!(engine, orders, busy, held = held.as_str(); "report");
}

async fn call<F>(
    edge: &Edge,
    engine: &str,
    request: F,
) -> Result<http::Response<bytes::Bytes>, SendError>
where
    F: FnOnce(&str) -> http::Result<http::Request<http_body_util::Full<bytes::Bytes>>>,
{
    let addr = {
        let state = edge.state.borrow();
        let engine = state.fleet.engines.get(engine);
        engine.map(|e| e.entry.addr)
    };
    let addr = addr.ok_or_else(|| SendError::Unreached("the engine is gone".to_owned()))?;
    let request = request(&addr.to_string());
    let request = request.map_err(|e| SendError::Unreached(e.to_string()))?;
    let outcome = edge.client.call(addr, request, CALL).await;
    if let Err(SendError::Unreached(_)) = &outcome {
        edge.unreached(engine);
    }
    outcome
}

/// Remembers what the other daemons were told.
#[derive(Debug, Default)]
struct Teller {
    fence: u64,
    turn: u64,
    last: BTreeMap<Arc<str>, Vec<String>>,
    all_at: Moment,
}

impl Teller {
    /// What has changed since, or everything when that is due.
    fn notes(&mut self, edge: &Edge) -> Vec<ToldNote> {
        let now = clock::now();
        let state = edge.state.borrow();
        let Some(placer) = &state.placer else {
            return Vec::new();
        };
        if self.fence != placer.fence() {
            *self = Teller {
                fence: placer.fence(),
                ..Teller::default()
            };
        }
        let all = now.saturating_sub(self.all_at) >= RETELL;
        if all {
            self.all_at = now;
        }
        self.last.retain(|id, _| placer.books.contains_key(id));
        let mut notes = Vec::new();
        for (id, book) in &placer.books {
            let targets = book.targets(now);
            let changed = self.last.get(id) != Some(&targets);
            if !changed && !all {
                continue;
            }
            self.turn += 1;
            notes.push(ToldNote {
                engine: id.to_string(),
                born: book.born,
                fence: self.fence,
                turn: self.turn,
                targets: targets.clone(),
            });
            self.last.insert(id.clone(), targets);
        }
        notes
    }
}
