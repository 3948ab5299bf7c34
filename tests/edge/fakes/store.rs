//! Fake of the platform's store: versioned rows in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::{ReceivedRequest, read_request, runtime, write_response};

/// Maximum number of entries of a transaction, which are of one part.
const MAX_ENTRIES: usize = 100;

/// Table, part and key.
type RowKey = (String, String, String);

/// Returns the time of the stores' steady clock, ms.
fn now_ms() -> u64 {
    static STARTED_AT: LazyLock<Instant> = LazyLock::new(Instant::now);
    STARTED_AT.elapsed().as_millis() as u64
}

/// Returns the key of a row in the unnamed part of a table.
fn unnamed_part(table: &str, key: &str) -> RowKey {
    (table.to_owned(), String::new(), key.to_owned())
}

#[derive(Clone, Default)]
struct StoreState {
    version: u64,
    /// Value of the header that names the era, if any.
    era: Option<String>,
    /// Version and value of each row.
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    /// Version of the removal of each removed row.
    tombstones: BTreeMap<RowKey, u64>,
    /// First version in the history; feeds from earlier versions get 410.
    history_start: u64,
    down: bool,
    /// Whether calls get no answer.
    silent: bool,
    /// Time added to each call.
    delay: Duration,
    /// Whether connections are closed instead of answered.
    closing: bool,
    calls: u64,
    /// Tables that were read whole, one entry a call.
    whole_reads: Vec<String>,
}

impl StoreState {
    fn remove(&mut self, key: RowKey) {
        if self.rows.remove(&key).is_some() {
            self.tombstones.insert(key, self.version);
        }
    }
}

/// Rows and versions of a fake store at a moment.
pub struct StoreCopy(StoreState);

/// Handle of the fake store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    /// Whether calls to this address get 503.
    turned_away: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Self {
        Store::listen(Arc::default(), Arc::default())
    }

    /// Returns the same store at another address, for daemons that it may turn away.
    pub fn other_address(&self) -> Self {
        Store::listen(self.state.clone(), self.changed.clone())
    }

    fn listen(state: Arc<Mutex<StoreState>>, changed: Arc<Notify>) -> Self {
        let (sender, receiver) = std::sync::mpsc::channel();
        runtime().spawn(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let store = Store {
                addr: listener.local_addr().unwrap(),
                state,
                changed,
                turned_away: Arc::default(),
            };
            sender.send(store.clone()).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(store.clone().serve(stream));
            }
        });
        receiver.recv().unwrap()
    }

    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = unnamed_part(table, key);
        state.rows.insert(key, (version, value.to_vec()));
        drop(state);
        self.changed.notify_waiters();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.remove(unnamed_part(table, key));
    }

    /// Sets the header that names the era in all responses.
    pub fn set_era(&self, era: &str) {
        self.state.lock().unwrap().era = Some(era.to_owned());
    }

    /// Returns a copy of the rows and versions, to go back to.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().clone())
    }

    /// Goes back to a copy, in a new era.
    pub fn go_back(&self, copy: &StoreCopy, era: &str) {
        let mut state = self.state.lock().unwrap();
        state.version = copy.0.version;
        state.rows.clone_from(&copy.0.rows);
        state.tombstones.clone_from(&copy.0.tombstones);
        state.era = Some(era.to_owned());
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns how often a table was read whole.
    pub fn whole_reads(&self, table: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.whole_reads.iter().filter(|t| *t == table).count()
    }

    /// Returns the number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.rows.keys().filter(|(t, _, _)| t == table).count()
    }

    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let (_, value) = state.rows.get(&unnamed_part(table, key))?;
        serde_json::from_slice(value).ok()
    }

    /// Sets whether every call gets 503.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_waiters();
    }

    /// Sets whether every call to this address gets 503.
    pub fn turn_away(&self, turned_away: bool) {
        self.turned_away.store(turned_away, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Leaves all further calls without an answer.
    pub fn silence(&self) {
        self.state.lock().unwrap().silent = true;
        self.changed.notify_waiters();
    }

    /// Sets the time added to each call.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Sets whether connections are closed instead of answered.
    pub fn set_closing(&self, closing: bool) {
        self.state.lock().unwrap().closing = closing;
        self.changed.notify_waiters();
    }

    /// Expires the history: feeds from earlier versions get 410.
    pub fn expire_history(&self) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.history_start = state.version;
        drop(state);
        self.changed.notify_waiters();
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut rest).await {
            let (status, body) = match self.turned_away.load(Ordering::SeqCst) {
                true => (503, json!({})),
                false => self.call(&request).await,
            };
            if self.state.lock().unwrap().silent {
                std::future::pending::<()>().await;
            }
            let body = body.to_string();
            let (delay, closing, era) = {
                let state = self.state.lock().unwrap();
                (state.delay, state.closing, state.era.clone())
            };
            let era = era.as_deref().map(|era| ("Store-Era", era));
            if closing {
                return;
            }
            sleep(delay).await;
            if self.state.lock().unwrap().closing {
                return;
            }
            if write_response(&mut stream, status, era.as_slice(), body.as_bytes())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn call(&self, request: &ReceivedRequest) -> (u16, Value) {
        self.state.lock().unwrap().calls += 1;
        let number = |name| {
            request
                .query(name)
                .and_then(|v| v.parse().ok())
                .unwrap_or(0)
        };
        let table = request.query("table").unwrap_or_default();
        match request.path() {
            "/rows-get" => {
                let mut state = self.state.lock().unwrap();
                state.whole_reads.push(table.to_owned());
                drop(state);
                let text = |name| request.query(name).unwrap_or_default();
                let (from, to) = (text("from"), text("to"));
                self.page(table, 0, |part, key| {
                    part == text("part") && key >= from && (to.is_empty() || key < to)
                })
            }
            "/rows-feed" => {
                let after: u64 = number("after");
                let wait = Duration::from_millis(number("waitMs"));
                let wake = self.changed.notified();
                if self.newest_version(table) <= after {
                    let _ = timeout(wait, wake).await;
                }
                let is_kept = {
                    let state = self.state.lock().unwrap();
                    (state.history_start..=state.version).contains(&after)
                };
                if !is_kept {
                    return (410, json!({}));
                }
                self.page(table, after, |_, _| true)
            }
            "/rows-tx" => self.transaction(&request.body),
            _ => (404, json!({})),
        }
    }

    fn newest_version(&self, table: &str) -> u64 {
        let state = self.state.lock().unwrap();
        let of = state.rows.iter().filter(|((t, _, _), _)| t == table);
        of.map(|(_, (version, _))| *version).max().unwrap_or(0)
    }

    /// Returns the rows of a table that have changed since a version, of those whose part and key
    /// are wanted.
    fn page(&self, table: &str, after: u64, wanted: impl Fn(&str, &str) -> bool) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        if state.down {
            return (503, json!({}));
        }
        let mut page = Vec::new();
        for ((t, part, key), (version, value)) in &state.rows {
            if t == table && *version > after && wanted(part, key) {
                page.push(json!({"table": t, "part": part, "key": key, "ver": version,
                    "value": STANDARD.encode(value)}));
            }
        }
        for ((t, part, key), version) in &state.tombstones {
            if after > 0 && t == table && *version > after {
                page.push(json!({"table": t, "part": part, "key": key, "ver": version,
                    "tombstone": true}));
            }
        }
        (
            200,
            json!({"rows": page, "hasMore": false, "ver": state.version, "nowMs": now_ms()}),
        )
    }

    fn transaction(&self, body: &[u8]) -> (u16, Value) {
        let transaction: Value = serde_json::from_slice(body).unwrap();
        let key = |row: &Value| -> RowKey {
            let text = |name: &str| row[name].as_str().unwrap().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        if state.down {
            return (503, json!({}));
        }
        let entries = ["expected", "writes", "remove"].map(list).concat();
        let is_one_part = entries.windows(2).all(|e| e[0]["part"] == e[1]["part"]);
        if !is_one_part || entries.len() > MAX_ENTRIES {
            return (400, json!({}));
        }
        for row in list("expected") {
            let current = state.rows.get(&key(&row));
            if current.map_or(0, |(version, _)| *version) != row["ver"].as_u64().unwrap() {
                let current_row = current.map(|(version, value)| {
                    json!({"table": row["table"], "part": row["part"], "key": row["key"],
                        "ver": version, "value": STANDARD.encode(value)})
                });
                let current_rows: Vec<Value> = current_row.into_iter().collect();
                return (
                    412,
                    json!({"rows": current_rows, "ver": state.version, "nowMs": now_ms()}),
                );
            }
        }
        state.version += 1;
        let version = state.version;
        for row in list("writes") {
            let value = STANDARD.decode(row["value"].as_str().unwrap()).unwrap();
            state.tombstones.remove(&key(&row));
            state.rows.insert(key(&row), (version, value));
        }
        for row in list("remove") {
            state.remove(key(&row));
        }
        drop(state);
        self.changed.notify_waiters();
        (200, json!({"ver": version, "nowMs": now_ms()}))
    }
}
