//! Operators that patch the configuration, and a watch over all hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender};
use mastichinge::fakes::site::OPERATOR_KEY;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::callers::{Hosts, names, stopped};
use crate::env::read_json;
use crate::record::{Look, Note, Patched};

/// Pause between the patches of one operator, ms.
const PAUSE_MS: std::ops::Range<u64> = 300..2_000;
/// Longest wait for a status.
const STATUS: Duration = Duration::from_secs(1);
/// Pause between two looks at a host.
const LOOK: Duration = Duration::from_millis(200);
/// Sendings of one patch.
const SENDINGS: usize = 3;

/// One operator.
pub struct Operator {
    /// Number, part of its attempt ids.
    pub number: usize,
    /// Source of its choices.
    pub rng: ChaCha8Rng,
    /// Base URL for operators, by host.
    pub urls: Vec<String>,
    /// The models.
    pub hosts: Arc<Hosts>,
    /// Where it writes down what it saw.
    pub notes: Sender<Note>,
    /// Closed when it shall end.
    pub stop: Receiver<()>,
}

impl Operator {
    /// Patches until it is stopped.
    pub fn patch_all(mut self) {
        for turn in 0.. {
            let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
            if stopped(&self.stop, pause) {
                return;
            }
            let host = self.rng.random_range(0..self.urls.len());
            let Some(base) = status(&self.urls[host])["config"].as_u64() else {
                continue;
            };
            let patch = self.draw();
            self.patch(base, &format!("operator-{}-{turn}", self.number), &patch);
        }
    }

    fn draw(&mut self) -> Value {
        let model = self.rng.random_range(0..self.hosts.models.len());
        let model = self.hosts.models[model].clone();
        let fields = match self.rng.random_range(0..3) {
            0 => json!({"priority": self.rng.random_range(0..9)}),
            _ => json!({"limit": self.rng.random_range(1..4)}),
        };
        json!({"models": {model: fields}})
    }

    /// Sends a patch, again at other hosts where no answer came.
    fn patch(&mut self, base: u64, attempt: &str, patch: &Value) {
        for _ in 0..SENDINGS {
            let host = self.rng.random_range(0..self.urls.len());
            let url = format!("{}/v1/config", self.urls[host]);
            let (status, body) = crate::env::patch_config(&url, base, attempt, patch);
            let note = match (status, body["version"].as_u64()) {
                (200, Some(version)) => Note::Patched(Patched {
                    version,
                    attempt: attempt.to_owned(),
                    at: Instant::now(),
                }),
                _ => Note::Unpatched(status),
            };
            let _ = self.notes.send(note);
            if status != 0 && status < 500 {
                return;
            }
        }
    }
}

/// Status of the host at `url`; null without an answer.
fn status(url: &str) -> Value {
    read_json(&format!("{url}/v1/status"), OPERATOR_KEY, STATUS)
}

/// Looks at one host until stopped.
pub fn watch(host: usize, url: &str, hosts: &Hosts, notes: &Sender<Note>, stop: &Receiver<()>) {
    let entry = format!("{}/v1/hosts", hosts.callers[host]);
    while !stopped(stop, LOOK) {
        let at = Instant::now();
        let status = status(url);
        if status["ready"] != true {
            continue;
        }
        let _ = notes.send(Note::Look(Look {
            host,
            at,
            version: status["config"].as_u64().unwrap_or(0),
            entry: names(&entry),
        }));
    }
}
