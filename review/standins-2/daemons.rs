//! The project's daemons as processes, with settings as the template of the deploy file has them.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::Reader;

/// Command of the deploy file.
const COMMAND: [&str; 2] = ["target/release/mastichinged", "--edge"];

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Number of the signal that asks a process to stop.
const SIGTERM: i32 = 15;

pub struct Daemon {
    pub callers: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

impl Daemon {
    /// Starts the daemon `number` of a deployment, at an address of its own and free ports.
    pub fn start(
        number: u8,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
    ) -> std::io::Result<Self> {
        // Other addresses in each run, so that no port is taken by what another run has left.
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 1 + high % 250, 1 + low % 250, 10 + number);
        let held: Vec<_> = (0..5)
            .map(|_| TcpListener::bind(SocketAddrV4::new(ip, 0)))
            .collect::<Result<_, _>>()?;
        let ports: Vec<_> = held
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        drop(held);
        let [callers, ready, entry, peers, metrics] = ports[..] else {
            unreachable!("five ports");
        };
        let settings = format!(
            r#"{{
  "host": "edge-{zone}-{number}",
  "domain": "{zone}",
  "listen": {{"callers": "{callers}", "ready": "{ready}", "entry": "{entry}", "peers": "{peers}",
    "metrics": "{metrics}"}},
  "store": {{"addr": "{store}", "reads_per_s": 2000, "writes_per_s": 400}},
  "memory_mb": 260,
  "bounds": {{"drain_ms": 2000, "contact_ms": 3000, "grace_s": 8, "lease_ms": 3000, "fences": true,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "ceiling_window_s": 5,
    "entry_ttl_s": 5}},
}}
"#
        );
        let path = folder.join(format!("settings-{number}.jsonc"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("daemon-{number}.log")))?;
        let process = Command::new(COMMAND[0])
            .args(&COMMAND[1..])
            .env("MASTICHINGE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Daemon {
            callers,
            ready,
            process,
        })
    }

    /// Waits until the daemon says that it is ready; returns whether it does in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn stop(&self) -> std::io::Result<()> {
        // SAFETY: the process is a child that has not been waited for, so its id is its own.
        match unsafe { kill(self.process.id() as i32, SIGTERM) } {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let asked = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        let head = asked.and_then(|()| Reader::new(stream).head());
        head.is_ok_and(|h| h.is_some_and(|h| h.start.contains(" 200 ")))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
