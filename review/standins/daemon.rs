//! Processes of the daemon, started as the deploy file says.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;

/// Processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that run.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: sends a signal to a process that this one has started and not waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    /// Whether the store turns this machine away.
    pub refused: Arc<AtomicBool>,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// Returns an address of three octets under which `count` machines have their ports free.
pub fn free_network(count: usize) -> String {
    let pid = std::process::id();
    for step in 0..200 {
        let number = pid.wrapping_mul(31).wrapping_add(step);
        let network = format!("127.{}.{}", 50 + number % 150, 1 + number / 150 % 250);
        let is_free = (1..=count).all(|host| {
            TcpListener::bind(format!("{network}.{host}:9464")).is_ok()
                && UdpSocket::bind(format!("{network}.{host}:7380")).is_ok()
        });
        if is_free {
            return network;
        }
    }
    panic!("no free addresses");
}

fn free_port(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Daemon {
    /// Writes the settings of machine `number` and starts its process.
    pub fn start(store: &Arc<Store>, folder: &Path, network: &str, number: usize) -> Self {
        let name = format!("edge-derby-{number}");
        let ip = format!("{network}.{number}");
        let refused = Arc::new(AtomicBool::new(false));
        let addr = store.listen(refused.clone());
        let [front, ready, entry] = [(); 3].map(|()| free_port(&ip));
        // As the platform fills the template of the deploy file in.
        let settings = format!(
            r#"{{
  "host": "{name}",
  "domain": "derby",
  "listen": {{
    "callers": "{front}",
    "ready": "{ready}",
    "entry": "{entry}",
    "peers": "{ip}:7380",
    "metrics": "{ip}:9464",
  }},
  "store": {{
    "addr": "{addr}",
    "reads_per_s": 2000,
    "writes_per_s": 400,
  }},
  "memory_mb": 390,
  "bounds": {{
    "drain_ms": 2000,
    "contact_ms": 3000,
    "grace_s": 8,
    "lease_ms": 3000,
    "fences": true,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "ceiling_window_s": 5,
    "entry_ttl_s": 5,
  }},
}}"#
        );
        fs::write(folder.join(format!("{name}.jsonc")), settings).expect("settings");
        let mut daemon = Daemon {
            name,
            front,
            ready,
            refused,
            folder: folder.to_owned(),
            child: None,
            starts: 0,
        };
        daemon.launch();
        daemon
    }

    /// Starts its process.
    pub fn launch(&mut self) {
        self.starts += 1;
        let log = self
            .folder
            .join(format!("{}.{}.log", self.name, self.starts));
        let log = File::create(log).expect("a log");
        let mut command = Command::new("target/release/mastichinged");
        // SAFETY: makes one system call between fork and exec: no process outlives this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg("--edge")
            .env_clear()
            .env(
                "MASTICHINGE_SETTINGS",
                self.folder.join(format!("{}.jsonc", self.name)),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = child.expect("the daemon starts");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Sends a signal to its process.
    pub fn signal(&mut self, signal: i32) {
        if let Some(child) = &mut self.child
            && matches!(child.try_wait(), Ok(None))
        {
            // SAFETY: sends a signal to a process that this one has started and not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = self.child.as_mut() else {
            return true;
        };
        let mut running = RUNNING.lock().unwrap();
        let has_ended = !matches!(child.try_wait(), Ok(None));
        if has_ended {
            running.retain(|pid| *pid != child.id());
        }
        has_ended
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let mut running = RUNNING.lock().unwrap();
            running.retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = format!("GET /readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let head = http::read_head(&mut BufReader::new(stream));
        head.is_some_and(|h| h.status() == 200)
    }

    /// Waits until it is ready.
    pub fn await_ready(&self, most: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < most {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
