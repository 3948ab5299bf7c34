//! The holder's duty: taking over the orders, and giving them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::client::{SendError, Times};
use super::clock;
use super::gossip::ToldNote;
use super::orders::{Order, Outcome, Report};
use super::peers;
use super::placement::{Act, Authority, Placer, Scene};
use super::state::{Edge, Phase};
use super::store::{Commit, Page, Row, Table, Write};
use super::tenure::{CONFIRM, Candidate, Record, Seen, Step, Tenure};
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
/// Time limits of a call to an engine.
const CALL: Times = Times {
    connect: Duration::from_millis(400),
    total: Duration::from_millis(900),
    most: 1 << 20,
};

/// Takes the orders over when nobody holds them, and confirms the tenure.
pub async fn tenure(edge: Rc<Edge>) {
    let mut seen: Option<Seen> = None;
    let mut silent_since = clock::now();
    loop {
        let holding = edge.state.borrow().tenure.clone();
        let pause = match holding {
            Some(tenure) => {
                confirm(&edge, &tenure).await;
                seen = None;
                silent_since = clock::now();
                CONFIRM
            }
            None => {
                look(&edge, &mut seen, &mut silent_since).await;
                LOOK
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// One look of a candidate.
async fn look(edge: &Rc<Edge>, seen: &mut Option<Seen>, silent_since: &mut Moment) {
    let now = clock::now();
    let lease = edge.settings().bounds.lease();
    let heard = edge.state.borrow().members.holder(now).is_some();
    if heard {
        *silent_since = now;
    }
    let silent = now.saturating_sub(*silent_since);
    let known = seen.as_ref().and_then(|s| s.record.as_ref());
    let own = known.is_none_or(|r| r.host == edge.host || r.released);
    if heard || edge.phase.get() != Phase::Serving || (!own && silent < lease / 2) {
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
    let fresh = row(&page);
    let fresh = seen_now(fresh, now);
    let current = match seen.take() {
        Some(old) if old.version == fresh.version => old,
        _ => fresh,
    };
    let state = edge.state.borrow();
    let candidate = Candidate {
        host: edge.host.clone(),
        life: edge.life,
        rank: state.members.rank(&edge.host, now),
        lease,
    };
    drop(state);
    let step = candidate.step(&current, silent < lease, now);
    *seen = Some(current);
    let Step::Take {
        version,
        record,
        pause,
    } = step
    else {
        return;
    };
    take(edge, version, record, pause).await;
}

/// Writes the row that names this daemon.
async fn take(edge: &Rc<Edge>, version: u64, record: Record, pause: Duration) {
    let begun = clock::now();
    let fence = record.fence;
    let written = match edge.store.commit(&[write(version, &record)]).await {
        Ok(Commit::Done(written)) => written,
        Ok(Commit::Conflict(_)) => return,
        Err(error) => {
            // It may have been done; the row tells.
            log::info!(fence, error:%; "takeover unanswered");
            let Ok(page) = edge.store.read(Table::Tenure).await else {
                return;
            };
            let Some(row) = row(&page) else {
                return;
            };
            if decode(row).as_ref() != Some(&record) {
                return;
            }
            row.version
        }
    };
    let from = clock::now() + pause;
    let pause_ms = pause.as_millis() as u64;
    log::info!(fence, row = written, pause_ms; "orders taken over");
    let settings = edge.settings();
    let authority = Authority {
        host: edge.host.clone(),
        fence,
    };
    let placer = Placer::new(
        authority,
        settings.engines,
        settings.bounds.ceiling_window_s,
    );
    let mut state = edge.state.borrow_mut();
    state.tenure = Some(Tenure {
        fence,
        version: written,
        from,
        confirmed: begun,
    });
    state.placer = Some(placer);
    drop(state);
    edge.urgent.notify_one();
    edge.duty.notify_one();
}

/// Confirms that the row still names this daemon.
async fn confirm(edge: &Edge, tenure: &Tenure) {
    let begun = clock::now();
    let page = match edge.store.read(Table::Tenure).await {
        Ok(page) => page,
        Err(error) => {
            log::debug!(error:%; "tenure not confirmed");
            return;
        }
    };
    let ours = row(&page).is_some_and(|row| row.version == tenure.version);
    let mut state = edge.state.borrow_mut();
    if ours {
        if let Some(tenure) = &mut state.tenure {
            tenure.confirmed = begun;
        }
        return;
    }
    state.tenure = None;
    state.placer = None;
    let fence = tenure.fence;
    let holder = row(&page).and_then(decode);
    let holder = holder.as_ref().map_or("", |r| &*r.host);
    log::warn!(fence, holder; "orders lost to another daemon");
}

/// Gives the orders up, as this daemon leaves.
pub async fn release(edge: &Edge) {
    let tenure = edge.state.borrow_mut().tenure.take();
    let Some(tenure) = tenure else {
        return;
    };
    edge.state.borrow_mut().placer = None;
    let fence = tenure.fence;
    let record = Record {
        host: edge.host.clone(),
        life: edge.life,
        fence,
        released: true,
    };
    match edge.store.commit(&[write(tenure.version, &record)]).await {
        Ok(_) => log::info!(fence; "orders given up"),
        Err(error) => log::warn!(fence, error:%; "orders not given up in the store"),
    }
    edge.urgent.notify_one();
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

fn seen_now(row: Option<&Row>, now: Moment) -> Seen {
    Seen {
        version: row.map_or(0, |r| r.version),
        record: row.and_then(decode),
        since: now,
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
            let now = clock::now();
            let mut state = edge.state.borrow_mut();
            let mut changed = false;
            for note in &notes {
                changed |= state.fleet.tell(&note.engine, peers::told(note, now));
            }
            drop(state);
            if changed {
                edge.notify();
            }
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

/// Decides once, and starts the calls decided on; true while something is
/// under way.
fn round(edge: &Rc<Edge>) -> bool {
    let now = clock::now();
    let peers = edge.peers(now);
    let fences = edge.settings().bounds.fences;
    let mut guard = edge.state.borrow_mut();
    let state = &mut *guard;
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
        state.tenure = None;
        state.placer = None;
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
    edge.client.call(addr, request, CALL).await
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
