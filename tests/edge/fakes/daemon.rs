//! Daemon processes and callers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::store::Store;
use crate::loopback::network_octet;

/// Maximum wait for a condition; far above what any condition takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit of a question whether a daemon is ready that may be stopped.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits until `condition` is true; fails the test after [`WAIT_TIMEOUT`].
pub fn wait(expected: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {expected}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

/// A daemon process; dropping it kills the process.
pub struct Daemon {
    pub callers: SocketAddr,
    pub entry: SocketAddr,
    child: Child,
    /// Processes that were not waited for when another one was started.
    former: Vec<Child>,
    /// Whether the process was waited for, so that its id may name another process.
    waited: bool,
    lines: Arc<Mutex<Vec<Value>>>,
    settings: PathBuf,
    /// Number of processes started so far.
    pub lives: u64,
}

impl Daemon {
    /// Starts a daemon and waits until it is ready.
    pub fn start(store: &Store, host: &str) -> Self {
        let daemon = Daemon::launch(store, host);
        wait("ready", || daemon.get("/readyz").status == 200);
        daemon
    }

    /// Starts a daemon without waiting until it is ready.
    pub fn launch(store: &Store, host: &str) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        // A separate loopback address, so that no outgoing connection takes these ports.
        let [high, low] = u16::try_from(number + 1).unwrap().to_be_bytes();
        let at = |port: u16| SocketAddr::from(([127, network_octet(), high, low], port));
        let (callers, entry, peers) = (at(7_800), at(7_801), at(7_802));
        let settings = json!({
            "host": host, "domain": "north",
            "listen": {"callers": callers, "ready": entry, "entry": entry, "peers": peers},
            "store": {"addr": store.addr},
            "log": {"form": "json", "level": "debug"},
            "bounds": {"drain_ms": 300, "grace_s": 3.0, "lease_ms": 500, "retry_slack": 40},
        });
        let name = format!("mastichinge-edge-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        Daemon {
            callers,
            entry,
            child: spawn(&path, &lines),
            former: Vec::new(),
            waited: false,
            lines,
            settings: path,
            lives: 1,
        }
    }

    /// Kills the process and starts another one on the same ports.
    pub fn restart(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        self.child.wait().unwrap();
        self.end_former();
        self.child = spawn(&self.settings, &self.lines);
        self.waited = false;
        self.lives += 1;
    }

    /// Starts another process on the same ports, whether or not the one before has exited.
    pub fn start_another(&mut self) {
        let another = spawn(&self.settings, &self.lines);
        self.former
            .push(std::mem::replace(&mut self.child, another));
        self.waited = false;
        self.lives += 1;
    }

    /// Kills the processes before the last one.
    pub fn end_former(&mut self) {
        for mut child in self.former.drain(..) {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.waited = self.child.try_wait().unwrap().is_some();
        self.waited
    }

    /// Returns all log lines.
    pub fn lines(&self) -> Vec<Value> {
        self.lines.lock().unwrap().clone()
    }

    /// Returns the log lines with this message.
    pub fn logged(&self, message: &str) -> Vec<Value> {
        let lines = self.lines.lock().unwrap();
        let of = |l: &&Value| l["message"] == message;
        lines.iter().filter(of).cloned().collect()
    }

    /// Sends a query about the host.
    pub fn get(&self, path: &str) -> Response {
        let Ok(stream) = TcpStream::connect(self.entry) else {
            return Response::default();
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        exchange(stream, request.as_bytes())
    }

    /// Returns whether the daemon says within [`READY_TIMEOUT`] that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.entry, READY_TIMEOUT) else {
            return false;
        };
        stream.set_read_timeout(Some(READY_TIMEOUT)).unwrap();
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut bytes = Vec::new();
        // A stopped process does not answer; its bytes so far decide.
        let _ = stream
            .write_all(request)
            .and_then(|()| stream.read_to_end(&mut bytes));
        parse(&bytes).status == 200
    }

    /// Sends a request on a new connection.
    pub fn send(&self, request: &Request) -> Response {
        let Ok(stream) = TcpStream::connect(self.callers) else {
            return Response::default();
        };
        exchange(stream, &request.bytes(true))
    }

    /// Returns the most memory that the process has used, kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let number = line.unwrap().trim().trim_end_matches(" kB");
        number.parse().unwrap()
    }

    /// Applies a change to the settings file.
    pub fn write_settings(&self, change: impl Fn(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let mut settings = serde_json::from_str(&text).unwrap();
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).unwrap();
    }

    /// Sends a signal to the process, unless it is known to have exited.
    pub fn signal(&self, signal: i32) {
        if self.waited {
            return;
        }
        // SAFETY: the process is our child, and has not been waited for.
        let code = unsafe { libc::kill(self.child.id() as i32, signal) };
        assert_eq!(code, 0);
    }

    /// Waits until the process exits and returns its status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.waited = true;
        self.child.wait().unwrap()
    }
}

/// Starts a process, whose log lines are added to `lines`.
fn spawn(settings: &Path, lines: &Arc<Mutex<Vec<Value>>>) -> Child {
    // Lets a run by hand check another build of the daemon.
    let program = std::env::var("MASTICHINGED");
    let program = program.unwrap_or_else(|_| env!("CARGO_BIN_EXE_mastichinged").to_owned());
    let mut child = Command::new(program)
        .arg("--edge")
        .env("MASTICHINGE_SETTINGS", settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let (stdout, kept) = (child.stdout.take().unwrap(), lines.clone());
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let line: Value = serde_json::from_str(&line).expect("log line is not JSON");
            kept.lock().unwrap().push(line);
        }
    });
    child
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.end_former();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Request {
    pub fn new(path: &str, id: &str) -> Self {
        Request {
            method: "POST",
            path: path.to_owned(),
            id: id.to_owned(),
            headers: vec![("X-Mastichinge-Deadline-Ms", "20000".to_owned())],
            body: format!("body of {id}"),
        }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn bytes(&self, close: bool) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: firm.example\r\n",
            self.method, self.path
        );
        text.push_str(&format!("X-Mastichinge-Request-Id: {}\r\n", self.id));
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if close {
            text.push_str("Connection: close\r\n");
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        text.push_str(&self.body);
        text.into_bytes()
    }
}

/// A response as received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code; 0 when no response came.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body is complete.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.split("\r\n").filter_map(|l| l.split_once(':'));
        let mut named = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.trim())
    }
}

/// Sends bytes and reads the response until the connection ends.
pub fn exchange(mut stream: TcpStream, request: &[u8]) -> Response {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    // A daemon may answer and close before it has read the whole request. After a reset,
    // the bytes received so far are the response.
    let _ = stream.write_all(request);
    let _ = stream.read_to_end(&mut bytes);
    parse(&bytes)
}

/// Sends a request on a kept connection and reads its response.
pub fn call(stream: &mut TcpStream, id: &str) -> Response {
    let request = Request::new("/look/", id);
    // After a close, the empty response tells.
    let _ = stream.write_all(&request.bytes(false));
    read_response(stream)
}

/// Reads one response from a kept connection; an early end gives what has arrived.
pub fn read_response(stream: &mut TcpStream) -> Response {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let response = parse(&bytes);
        if response.complete {
            return response;
        }
        // After a reset, the bytes received so far are the response.
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&chunk[..n]),
            _ => return response,
        }
    }
}

fn parse(bytes: &[u8]) -> Response {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Response::default();
    };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let mut response = Response {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        ..Response::default()
    };
    if let Some(length) = response.header("content-length") {
        let length: usize = length.parse().unwrap();
        response.complete = body.len() == length;
        response.body = body.to_owned();
        return response;
    }
    let mut rest = body;
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return response;
        };
        if size == 0 {
            response.complete = true;
            return response;
        }
        if after.len() < size + 2 {
            return response;
        }
        response.body.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    response
}
