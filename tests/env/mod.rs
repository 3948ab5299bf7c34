//! A fake site whose daemons run as processes, for end-to-end tests and examples.

#![allow(dead_code)]

pub mod kept_connection;
pub mod loopback;
pub mod requests;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use mastichinge::fakes::site::{CALLER_KEY, OPERATOR_KEY, Site, SiteSettings};
use mastichinge::settings::Settings;
use serde_json::Value;

pub use loopback::network_octet;
pub use requests::{
    Booking, BookingReply, CompletionReply, patch_config, send_booking, send_messages, send_prompt,
};

/// Longest wait for a condition, far more than a run without faults needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fake site with its daemons.
pub struct Env {
    /// Fake platform, engines and service.
    pub site: Site,
    /// Entry hosts, one daemon each.
    pub hosts: Vec<Host>,
    /// Folder with the settings and logs of the daemons.
    pub dir: PathBuf,
    /// Whether the folder is kept at the end.
    pub keep_dir: bool,
    program: PathBuf,
    args: Vec<String>,
}

/// One entry host.
pub struct Host {
    /// Settings of the daemon.
    pub settings: Settings,
    child: Option<Child>,
}

impl Env {
    /// Starts a site and all its daemons with `program`, and waits until every host
    /// lists all hosts and a pool has an owner.
    pub fn start(settings: SiteSettings, program: &Path, args: &[&str]) -> Env {
        static NETWORK: AtomicU8 = AtomicU8::new(0);
        let network = NETWORK.fetch_add(1, Ordering::Relaxed);
        let settings = SiteSettings {
            network: [127, network_octet(), network],
            ..settings
        };
        let site = Site::start(settings).expect("the site starts");
        Env::with_site(site, program, args)
    }

    /// Starts the daemons of `site`, and waits as [`Env::start`] does.
    pub fn with_site(site: Site, program: &Path, args: &[&str]) -> Env {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("mastichinge-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("a folder for settings");
        let all_settings = site.daemon_settings();
        let hosts = all_settings.into_iter().map(|settings| Host {
            settings,
            child: None,
        });
        let mut env = Env {
            hosts: hosts.collect(),
            site,
            program: program.to_owned(),
            args: args.iter().map(|a| (*a).to_owned()).collect(),
            dir,
            keep_dir: false,
        };
        for host in 0..env.hosts.len() {
            env.start_daemon(host);
        }
        env.wait_until_ready();
        env
    }

    /// Starts the daemon of a host.
    pub fn start_daemon(&mut self, host: usize) {
        let settings = &self.hosts[host].settings;
        let path = self.dir.join(format!("{}.json", settings.host));
        let text = serde_json::to_string(settings).expect("settings are JSON");
        fs::write(&path, text).expect("the settings file is written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", settings.host)))
            .expect("a log file");
        let child = Command::new(&self.program)
            .args(&self.args)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.hosts[host].child = Some(child);
    }

    /// Waits until every running host lists all running hosts and a pool has an owner.
    pub fn wait_until_ready(&self) {
        let running = self.running();
        for host in &running {
            self.wait_host_count(*host, running.len());
        }
        self.wait("an owner", || {
            running
                .iter()
                .any(|host| !self.owned_pools(*host).is_empty())
        });
    }

    /// Waits until `host` lists `count` hosts to callers.
    pub fn wait_host_count(&self, host: usize, count: usize) {
        let what = format!("host {host} lists {count} hosts");
        self.wait(&what, || self.listed_hosts(host).len() == count);
    }

    /// Returns the hosts whose daemon is running.
    pub fn running(&self) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, h)| h.child.is_some())
            .map(|(i, _)| i)
            .collect()
    }

    /// Returns the hosts that `host` lists to callers.
    pub fn listed_hosts(&self, host: usize) -> Vec<String> {
        listed_hosts(&self.caller_url(host, "/v1/hosts"), Duration::from_secs(2))
    }

    /// Returns the URL of a path on the callers' port.
    pub fn caller_url(&self, host: usize, path: &str) -> String {
        format!("http://{}{path}", self.hosts[host].settings.listen.callers)
    }

    /// Returns the URL of a path on the operators' port.
    pub fn operator_url(&self, host: usize, path: &str) -> String {
        format!(
            "http://{}{path}",
            self.hosts[host].settings.listen.operators
        )
    }

    /// Reads JSON from a path on the operators' port; returns null if there was no response.
    pub fn operator_get(&self, host: usize, path: &str) -> Value {
        let url = self.operator_url(host, path);
        read_json(&url, OPERATOR_KEY, Duration::from_secs(5))
    }

    /// Patches the configuration through `host`; returns status and body.
    pub fn patch_config(
        &self,
        host: usize,
        base: u64,
        attempt: &str,
        changes: &Value,
    ) -> (u16, Value) {
        patch_config(
            &self.operator_url(host, "/v1/config"),
            base,
            attempt,
            changes,
        )
    }

    /// Returns the active configuration version of `host`.
    pub fn config_version(&self, host: usize) -> u64 {
        self.operator_get(host, "/v1/status")["config"]
            .as_u64()
            .unwrap_or(0)
    }

    /// Returns the running host that owns the pool `main`.
    pub fn owner(&self) -> Option<usize> {
        self.owner_of("main")
    }

    /// Returns the running host that owns `pool`.
    pub fn owner_of(&self, pool: &str) -> Option<usize> {
        let mut running = self.running().into_iter();
        running.find(|host| self.owned_pools(*host).iter().any(|p| p == pool))
    }

    /// Returns the pools that `host` owns.
    pub fn owned_pools(&self, host: usize) -> Vec<Value> {
        let status = self.operator_get(host, "/v1/status");
        status["pools"].as_array().cloned().unwrap_or_default()
    }

    /// Returns the process id of the daemon of a running host.
    pub fn process_id(&self, host: usize) -> Option<u32> {
        self.hosts[host].child.as_ref().map(Child::id)
    }

    /// Waits until `condition` is true; panics after [`WAIT_TIMEOUT`].
    pub fn wait(&self, what: &str, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition() {
            if Instant::now() >= deadline {
                panic!(
                    "timed out waiting for: {what}; logs in {}",
                    self.dir.display()
                );
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills the daemon of a host with `SIGKILL`.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.hosts[host].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the daemon of a host.
    pub fn signal(&self, host: usize, signal: libc::c_int) {
        let Some(child) = &self.hosts[host].child else {
            return;
        };
        let id = libc::pid_t::try_from(child.id()).expect("a process id");
        // SAFETY: the child has not been waited for, so the id still belongs to it.
        unsafe { libc::kill(id, signal) };
    }

    /// Stops the daemon of a host with `SIGSTOP`.
    pub fn freeze(&self, host: usize) {
        self.signal(host, libc::SIGSTOP);
    }

    /// Continues a frozen daemon.
    pub fn resume(&self, host: usize) {
        self.signal(host, libc::SIGCONT);
    }

    /// Tells a daemon to drain and exit; [`Env::wait_exit`] waits for the exit.
    pub fn terminate(&self, host: usize) {
        self.signal(host, libc::SIGTERM);
    }

    /// Waits until the daemon of a host has exited and returns its status.
    pub fn wait_exit(&mut self, host: usize) -> ExitStatus {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.try_exit(host) {
                return status;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("host {host} did not exit; logs in {}", self.dir.display());
    }

    /// Returns the exit status of the daemon of a host if it has exited.
    pub fn try_exit(&mut self, host: usize) -> Option<ExitStatus> {
        let child = self.hosts[host].child.as_mut().expect("a running daemon");
        let status = child.try_wait().ok().flatten()?;
        self.hosts[host].child = None;
        Some(status)
    }

    /// Sends a prompt and reads the complete stream.
    pub fn send_prompt(&self, host: usize, model: &str, prompt: &str) -> CompletionReply {
        send_prompt(
            &self.caller_url(host, "/v1/chat/completions"),
            model,
            prompt,
            &[],
        )
    }

    /// Sends a conversation and reads the response.
    pub fn send_conversation(&self, host: usize, model: &str, messages: &Value) -> CompletionReply {
        let url = self.caller_url(host, "/v1/chat/completions");
        send_messages(&url, model, messages, &[], usize::MAX)
    }

    /// Sends a booking and reads the response.
    pub fn send_booking(&self, host: usize, booking: &Booking) -> BookingReply {
        send_booking(&self.caller_url(host, "/services/seats/bookings"), booking)
    }

    /// Sends a booking on a separate thread.
    pub fn spawn_booking(&self, host: usize, booking: &Booking) -> JoinHandle<BookingReply> {
        let url = self.caller_url(host, "/services/seats/bookings");
        let booking = booking.clone();
        thread::spawn(move || send_booking(&url, &booking))
    }

    /// Sends a prompt on a separate thread.
    pub fn spawn_prompt(
        &self,
        host: usize,
        model: &str,
        prompt: &str,
    ) -> JoinHandle<CompletionReply> {
        let url = self.caller_url(host, "/v1/chat/completions");
        let (model, prompt) = (model.to_owned(), prompt.to_owned());
        thread::spawn(move || send_prompt(&url, &model, &prompt, &[]))
    }

    /// Returns the complete text that an engine of this site sends for `prompt`.
    pub fn expected_text(&self, prompt: &str) -> String {
        mastichinge::fakes::engine::answer_tokens(prompt, self.site.settings.tokens).concat()
    }
}

impl Drop for Env {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
        if !thread::panicking() && !self.keep_dir {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Reads JSON within `timeout`; returns null if there was no response.
pub fn read_json(url: &str, key: &str, timeout: Duration) -> Value {
    let response = attohttpc::get(url).bearer_auth(key).timeout(timeout).send();
    let Ok(text) = response.and_then(|r| r.text()) else {
        return Value::Null;
    };
    serde_json::from_str(&text).unwrap_or(Value::Null)
}

/// Returns the hosts listed at `url`; none if there was no response.
pub fn listed_hosts(url: &str, timeout: Duration) -> Vec<String> {
    let body = read_json(url, CALLER_KEY, timeout);
    let hosts = body["hosts"].as_array().cloned().unwrap_or_default();
    let names = hosts.iter().filter_map(|h| h["host"].as_str());
    names.map(str::to_owned).collect()
}
