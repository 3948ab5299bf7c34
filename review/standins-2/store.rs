//! The platform's store: versioned rows, conditional writes and change feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, respond};
use crate::json::{Json, quote};

/// Time of a transaction.
const TX_TIME: Duration = Duration::from_millis(5);
/// Tables that only the operator and the engines write.
const FOREIGN: [&str; 2] = ["op", "servers"];

type Key = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    /// Base64; absent for a row that was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Clone, Debug, Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    ver: u64,
}

pub struct Store {
    pub addr: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts the store at a free port.
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Store {
            addr: listener.local_addr().expect("its address"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or an engine does.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let row = Row {
            value: Some(base64(value.as_bytes())),
            ver: rows.ver,
        };
        rows.rows
            .insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    /// Removes a row as the platform does with the entry of an engine that has ended.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let row = Row {
            value: None,
            ver: rows.ver,
        };
        rows.rows
            .insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            let (status, body) = self.answer(&request);
            let fields = [("Content-Type", "application/json")];
            if respond(&mut reader.stream, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        match request.path() {
            "/rows-get" => self.get(request),
            "/rows-feed" => self.feed(request),
            "/rows-tx" => self.transact(request),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn page(&self, rows: &[(&Key, &Row)], ver: u64) -> String {
        let rows: Vec<_> = rows.iter().map(|(key, row)| encode(key, row)).collect();
        let now = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"hasMore\":false,\"ver\":{ver},\"nowMs\":{now}}}")
    }

    fn get(&self, request: &Message) -> (&'static str, String) {
        let query = |name| request.query(name);
        let (table, part) = (
            query("table").unwrap_or_default(),
            query("part").unwrap_or_default(),
        );
        let (from, to) = (query("from").unwrap_or_default(), query("to"));
        let rows = self.rows.lock().unwrap();
        let is_found = |((t, p, k), row): &(&Key, &Row)| {
            let in_range = *k >= from && to.as_ref().is_none_or(|to| k < to);
            *t == table && *p == part && in_range && row.value.is_some()
        };
        let found: Vec<_> = rows.rows.iter().filter(is_found).collect();
        ("200 OK", self.page(&found, rows.ver))
    }

    fn feed(&self, request: &Message) -> (&'static str, String) {
        let table = request.query("table").unwrap_or_default();
        let number = |name| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let is_new = |((t, _, _), row): &(&Key, &Row)| *t == table && row.ver > after;
            let mut found: Vec<_> = rows.rows.iter().filter(is_new).collect();
            found.sort_by_key(|(_, row)| row.ver);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return ("200 OK", self.page(&found, rows.ver));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> (&'static str, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let key = |row: &Json| -> Key {
            let text = |name| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let written = call
            .get("writes")
            .list()
            .iter()
            .chain(call.get("remove").list());
        if written
            .into_iter()
            .any(|row| FOREIGN.contains(&row.get("table").text()))
        {
            return ("403 Forbidden", "{}".to_owned());
        }
        thread::sleep(TX_TIME);
        let mut rows = self.rows.lock().unwrap();
        let expected = call.get("expected").list();
        let current = |rows: &Rows, k: &Key| {
            let row = rows.rows.get(k).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.ver)
        };
        let holds = |row: &Json| current(&rows, &key(row)) == row.get("ver").number().unwrap_or(0);
        if !expected.iter().all(holds) {
            let keys: Vec<_> = expected.iter().map(key).collect();
            let found = keys.iter().filter_map(|k| rows.rows.get_key_value(k));
            let found: Vec<_> = found.filter(|(_, row)| row.value.is_some()).collect();
            return ("412 Precondition Failed", self.page(&found, rows.ver));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for row in call.get("writes").list() {
            let value = Some(row.get("value").text().to_owned());
            rows.rows.insert(key(row), Row { value, ver });
        }
        for row in call.get("remove").list() {
            rows.rows.insert(key(row), Row { value: None, ver });
        }
        self.changed.notify_all();
        ("200 OK", self.page(&[], ver))
    }
}

fn encode((table, part, key): &Key, row: &Row) -> String {
    let (table, part, key) = (quote(table), quote(part), quote(key));
    let content = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    let ver = row.ver;
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{content},\"ver\":{ver}}}")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0;
        for i in 0..3 {
            group = group << 8 | u32::from(*chunk.get(i).unwrap_or(&0));
        }
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(group >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
