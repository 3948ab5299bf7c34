//! Callers: streams of many models, and bookings sent again under their key.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use mastichinge::fakes::site::CRASH_TEXT;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::env::{Booking, listed_hosts, send_booking, send_prompt_until};
use crate::record::{Asked, Note, Sent};

/// How long an entry answer is kept; as the site's policy says.
const KEEP: Duration = Duration::from_secs(1);
/// Longest wait for an entry answer.
const ENTRY: Duration = Duration::from_secs(1);
/// Deadline of a request, ms.
const ASK_MS: u64 = 6_000;
/// Deadline of a booking, ms.
const BOOK_MS: u64 = 3_000;
/// Pause between the requests of one caller, ms.
const PAUSE_MS: std::ops::Range<u64> = 20..400;
/// Pause between two requests that crash engines.
const POISON: Duration = Duration::from_secs(15);
/// Most sendings of one booking.
const SENDINGS: usize = 5;

/// Where the hosts are.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    /// Base URL for callers, by host.
    pub callers: Vec<String>,
    /// Models and adapters.
    pub models: Vec<String>,
}

/// One caller.
pub struct Caller {
    /// Number, part of its prompts and keys.
    pub number: usize,
    /// Source of its choices.
    pub rng: ChaCha8Rng,
    /// The hosts.
    pub hosts: Arc<Hosts>,
    /// Where it writes down what it saw.
    pub notes: Sender<Note>,
    /// Closed when it shall end.
    pub stop: Receiver<()>,
    /// Hosts of the last entry answer, and when it came.
    pub entry: Option<(Instant, Vec<usize>)>,
}

impl Caller {
    /// Asks for answers until it is stopped.
    pub fn ask_all(mut self) {
        for turn in 0.. {
            let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
            if stopped(&self.stop, pause) {
                return;
            }
            let model = self.rng.random_range(0..self.hosts.models.len());
            let model = self.hosts.models[model].clone();
            let prompt = format!("caller-{} asks-{turn} of-{model}", self.number);
            let most = match self.rng.random_bool(0.1) {
                true => self.rng.random_range(1..8),
                false => usize::MAX,
            };
            self.ask(&model, prompt, most);
        }
    }

    /// Sends requests that crash engines, each to three hosts in turn.
    pub fn poison_all(mut self) {
        for turn in 0.. {
            if stopped(&self.stop, POISON) {
                return;
            }
            for _ in 0..3 {
                let model = self.hosts.models[0].clone();
                self.ask(&model, format!("{CRASH_TEXT} poison-{turn}"), usize::MAX);
            }
        }
    }

    /// Books until it is stopped.
    pub fn book_all(mut self) {
        for turn in 0.. {
            let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
            if stopped(&self.stop, pause) {
                return;
            }
            self.book(&format!("caller-{}-books-{turn}", self.number));
        }
    }

    fn ask(&mut self, model: &str, prompt: String, most: usize) {
        let Some(host) = self.host() else {
            return;
        };
        let url = format!("{}/v1/chat/completions", self.hosts.callers[host]);
        let deadline = ASK_MS.to_string();
        let from = Instant::now();
        let answer = send_prompt_until(&url, model, &prompt, &[("X-Deadline-Ms", &deadline)], most);
        let note = Note::Asked(Asked {
            host,
            hung: !answer.complete && answer.text.split_whitespace().count() >= most,
            poison: prompt.contains(CRASH_TEXT),
            prompt,
            deadline: Duration::from_millis(ASK_MS),
            from,
            until: Instant::now(),
            answer,
        });
        let _ = self.notes.send(note);
    }

    /// Sends a booking, again at other hosts where it is not answered, and
    /// sometimes once more where it is.
    fn book(&mut self, key: &str) {
        for sending in 0..SENDINGS {
            let Some(host) = self.host() else {
                return;
            };
            let booking = Booking {
                key: key.to_owned(),
                body: format!("{{\"seat\": \"{key}\"}}"),
                first_attempt: sending == 0,
                deadline_ms: BOOK_MS,
            };
            let url = format!("{}/services/seats/bookings", self.hosts.callers[host]);
            let from = Instant::now();
            let booked = send_booking(&url, &booking);
            let answered = booked.status == 200 || booked.kind == "outcome_unknown";
            let _ = self.notes.send(Note::Sent(Sent {
                key: key.to_owned(),
                host,
                deadline: Duration::from_millis(BOOK_MS),
                from,
                until: Instant::now(),
                booked,
            }));
            let again = match answered {
                true => self.rng.random_bool(0.2),
                false => self.rng.random_bool(0.8),
            };
            if !again {
                return;
            }
        }
    }

    /// A host of an entry answer that is not too old.
    fn host(&mut self) -> Option<usize> {
        let fresh = |e: &&(Instant, Vec<usize>)| e.0.elapsed() < KEEP;
        if self.entry.as_ref().filter(fresh).is_none() {
            let at = Instant::now();
            self.entry = self.names().map(|names| (at, names));
        }
        let Some((_, names)) = &self.entry else {
            thread::sleep(Duration::from_millis(50));
            return None;
        };
        let pick = self.rng.random_range(0..names.len());
        Some(names[pick])
    }

    /// Asks a host for the hosts to use.
    fn names(&mut self) -> Option<Vec<usize>> {
        let asked = self.rng.random_range(0..self.hosts.callers.len());
        let url = format!("{}/v1/hosts", self.hosts.callers[asked]);
        let names = numbers(&names(&url));
        (!names.is_empty()).then_some(names)
    }
}

/// Hosts that the entry answer at `url` names; none without an answer.
pub fn names(url: &str) -> Vec<String> {
    listed_hosts(url, ENTRY)
}

fn numbers(names: &[String]) -> Vec<usize> {
    names.iter().filter_map(|n| number(n)).collect()
}

/// Number of a host or an engine from its name, `h1` being 0.
pub fn number(name: &str) -> Option<usize> {
    let number: usize = name.get(1..)?.parse().ok()?;
    number.checked_sub(1)
}

/// Waits; answers whether the channel was closed meanwhile.
pub fn stopped(stop: &Receiver<()>, pause: Duration) -> bool {
    stop.recv_timeout(pause) == Err(RecvTimeoutError::Disconnected)
}
