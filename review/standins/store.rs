//! Stand-in of the platform's store: rows, conditional transactions, feeds, eras. Each machine
//! reaches it at an address of its own, at which it may be refused.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Json};

/// Maximum number of rows of a response.
const MAX_ROWS: usize = 500;

type Key = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes in order: version, row, and its value unless it was removed.
    log: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

impl Rows {
    fn write(&mut self, key: Key, value: Option<String>, version: u64) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), version));
            }
            None => {
                if self.rows.remove(&key).is_none() {
                    return;
                }
            }
        }
        self.log.push((version, key, value));
    }
}

struct Inner {
    now: Rows,
    /// Older copies with their times.
    copies: Vec<(Instant, Rows)>,
    era: u64,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    started: Instant,
    /// Whether the store is away for all.
    pub away: AtomicBool,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let inner = Inner {
            now: Rows::default(),
            copies: Vec::new(),
            era: 1,
        };
        Arc::new(Store {
            inner: Mutex::new(inner),
            changed: Condvar::new(),
            started: Instant::now(),
            away: AtomicBool::new(false),
        })
    }

    /// Opens an address of the store; `refused` tells whether its machine is turned away.
    pub fn listen(self: &Arc<Self>, refused: Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, refused) = (store.clone(), refused.clone());
                thread::spawn(move || store.serve(stream, &refused));
            }
        });
        addr
    }

    /// Writes or removes a row on behalf of the operator or an engine.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut inner = self.inner.lock().unwrap();
        inner.now.version += 1;
        let version = inner.now.version;
        let value = value.map(|v| http::base64(v.as_bytes()));
        let key = (table.to_owned(), String::new(), key.to_owned());
        inner.now.write(key, value, version);
        drop(inner);
        self.changed.notify_all();
    }

    /// Keeps a copy of the present rows.
    pub fn copy(&self) {
        let mut inner = self.inner.lock().unwrap();
        let copy = (Instant::now(), inner.now.clone());
        inner.copies.push(copy);
    }

    /// Comes back from the last copy, in a new era. What the operator and the engines wrote since
    /// then is written again. Returns the age of the copy.
    pub fn restore(&self) -> Duration {
        let mut inner = self.inner.lock().unwrap();
        let (at, copy) = inner.copies.pop().expect("a copy");
        let is_other = |key: &Key| key.0 == "op" || key.0 == "servers";
        let before = std::mem::replace(&mut inner.now, copy);
        inner.era += 1;
        let stale = inner.now.rows.keys().filter(|k| is_other(k));
        let stale = stale.filter(|k| !before.rows.contains_key(*k));
        let stale: Vec<_> = stale.cloned().collect();
        let again = before.rows.into_iter().filter(|(key, _)| is_other(key));
        for (key, value) in again
            .map(|(key, (value, _))| (key, Some(value)))
            .chain(stale.into_iter().map(|key| (key, None)))
        {
            inner.now.version += 1;
            let version = inner.now.version;
            inner.now.write(key, value, version);
        }
        drop(inner);
        self.changed.notify_all();
        at.elapsed()
    }

    fn serve(&self, mut stream: TcpStream, refused: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(head) = http::read_head(&mut reader) {
            let Some(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let is_refused = || refused.load(Ordering::SeqCst) || self.away.load(Ordering::SeqCst);
            thread::sleep(Duration::from_millis(4));
            let (status, body) = match is_refused() {
                true => (503, String::new()),
                false => self.answer(&head, &body),
            };
            let (status, body) = match is_refused() && head.word(0) == "GET" {
                true => (503, String::new()),
                false => (status, body),
            };
            let era = self.inner.lock().unwrap().era;
            let fields = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if !http::respond(&mut stream, status, &fields, body.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &[u8]) -> (u16, String) {
        let target = head.word(1);
        match target.split('?').next().unwrap_or_default() {
            "/rows-tx" => self.transaction(body),
            "/rows-get" => self.read(target),
            "/rows-feed" => self.feed(target),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transaction(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = http::parse_json(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| {
            let text = |name| row.text(name).unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut inner = self.inner.lock().unwrap();
        let found = |inner: &Inner, key: &Key| inner.now.rows.get(key).map_or(0, |r| r.1);
        let expected = call.list("expected");
        let holds = expected.iter().all(|row| {
            let wanted = row.text("ver").and_then(|v| v.parse::<u64>().ok());
            wanted == Some(found(&inner, &key(row)))
        });
        if !holds {
            let keys = expected.iter().map(key);
            let rows = keys.filter_map(|k| inner.now.rows.get_key_value(&k));
            let rows: Vec<_> = rows
                .map(|(k, (v, ver))| row_text(k, Some(v), *ver))
                .collect();
            return (412, self.page(&rows, inner.now.version));
        }
        inner.now.version += 1;
        let version = inner.now.version;
        for row in call.list("writes") {
            let value = row.text("value").unwrap_or_default().to_owned();
            inner.now.write(key(row), Some(value), version);
        }
        for row in call.list("remove") {
            inner.now.write(key(row), None, version);
        }
        drop(inner);
        self.changed.notify_all();
        (200, self.page(&[], version))
    }

    fn read(&self, target: &str) -> (u16, String) {
        let text = |name| http::parameter(target, name);
        let table = text("table").unwrap_or_default();
        let part = text("part").unwrap_or_default();
        let (from, to) = (text("from").unwrap_or_default(), text("to"));
        let inner = self.inner.lock().unwrap();
        let rows = inner.now.rows.iter().filter(|((t, p, k), _)| {
            *t == table && *p == part && *k >= from && to.as_ref().is_none_or(|to| k < to)
        });
        let rows: Vec<_> = rows
            .map(|(k, (v, ver))| row_text(k, Some(v), *ver))
            .collect();
        (200, self.page(&rows, inner.now.version))
    }

    fn feed(&self, target: &str) -> (u16, String) {
        let number = |name| http::parameter(target, name).and_then(|n| n.parse::<u64>().ok());
        let table = http::parameter(target, "table").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut inner = self.inner.lock().unwrap();
        let era = inner.era;
        loop {
            if after > inner.now.version || inner.era != era {
                return (410, "{}".to_owned());
            }
            let log = inner.now.log.iter();
            let changes = log.filter(|(ver, key, _)| *ver > after && key.0 == table);
            let changes = changes.take(MAX_ROWS);
            let rows: Vec<_> = changes
                .map(|(ver, k, v)| row_text(k, v.as_ref(), *ver))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.page(&rows, inner.now.version));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let rows = rows.join(",");
        let now = self.started.elapsed().as_millis();
        format!(r#"{{"rows":[{rows}],"hasMore":false,"ver":{version},"nowMs":{now}}}"#)
    }
}

fn row_text((table, part, key): &Key, value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""tombstone":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}",{value},"ver":{version}}}"#)
}
