//! Operators that patch the configuration, and a poller of each host.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender};
use mastichinge::fakes::site::OPERATOR_KEY;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::callers::{Targets, fetch_hosts, wait_or_stopped};
use crate::env::read_json;
use crate::history::{Event, PatchRecord, PollRecord};

/// Pause between the patches of one operator, ms.
const PATCH_PAUSE_MS: std::ops::Range<u64> = 300..2_000;
/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two polls of a host.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of attempts to send one patch.
const MAX_ATTEMPTS: usize = 3;

/// One operator.
pub struct Operator {
    /// Index, part of its attempt ids.
    pub number: usize,
    /// Random source of its choices.
    pub rng: ChaCha8Rng,
    /// Base URL for operators, by host.
    pub urls: Vec<String>,
    /// Hosts and models.
    pub targets: Arc<Targets>,
    /// Channel to the history.
    pub events: Sender<Event>,
    /// Closed to stop the operator.
    pub stop: Receiver<()>,
}

impl Operator {
    /// Sends patches until it is stopped.
    pub fn send_patches(mut self) {
        for turn in 0.. {
            let pause = Duration::from_millis(self.rng.random_range(PATCH_PAUSE_MS));
            if wait_or_stopped(&self.stop, pause) {
                return;
            }
            let host = self.rng.random_range(0..self.urls.len());
            let Some(base) = read_status(&self.urls[host])["config"].as_u64() else {
                continue;
            };
            let patch = self.random_patch();
            self.submit_patch(base, &format!("operator-{}-{turn}", self.number), &patch);
        }
    }

    fn random_patch(&mut self) -> Value {
        let model = self.rng.random_range(0..self.targets.models.len());
        let model = self.targets.models[model].clone();
        let fields = match self.rng.random_range(0..3) {
            0 => json!({"priority": self.rng.random_range(0..9)}),
            _ => json!({"limit": self.rng.random_range(1..4)}),
        };
        json!({"models": {model: fields}})
    }

    /// Sends a patch, and retries it at random hosts while there is no response or a server error.
    fn submit_patch(&mut self, base: u64, attempt: &str, patch: &Value) {
        for _ in 0..MAX_ATTEMPTS {
            let host = self.rng.random_range(0..self.urls.len());
            let url = format!("{}/v1/config", self.urls[host]);
            let (status, body) = crate::env::patch_config(&url, base, attempt, patch);
            let event = match (status, body["version"].as_u64()) {
                (200, Some(version)) => Event::Patch(PatchRecord {
                    version,
                    attempt: attempt.to_owned(),
                    at: Instant::now(),
                }),
                _ => Event::PatchFailed(status),
            };
            let _ = self.events.send(event);
            if status != 0 && status < 500 {
                return;
            }
        }
    }
}

/// Returns the status of the host at `url`, or null without a response.
fn read_status(url: &str) -> Value {
    read_json(&format!("{url}/v1/status"), OPERATOR_KEY, STATUS_TIMEOUT)
}

/// Polls one host until stopped.
pub fn poll_host(
    host: usize,
    url: &str,
    targets: &Targets,
    events: &Sender<Event>,
    stop: &Receiver<()>,
) {
    let list_url = format!("{}/v1/hosts", targets.caller_urls[host]);
    while !wait_or_stopped(stop, POLL_INTERVAL) {
        let at = Instant::now();
        let status = read_status(url);
        if status["ready"] != true {
            continue;
        }
        let _ = events.send(Event::Poll(PollRecord {
            host,
            at,
            version: status["config"].as_u64().unwrap_or(0),
            listed: fetch_hosts(&list_url),
        }));
    }
}
