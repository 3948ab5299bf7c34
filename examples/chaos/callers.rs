//! Callers that stream from many models, and callers that retry bookings under one idempotency key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use mastichinge::fakes::site::CRASH_TEXT;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::env::kept_connection::KeptConnection;
use crate::env::requests::send_prompt_until;
use crate::env::{Booking, CompletionReply, listed_hosts, send_booking};
use crate::history::{BookingRecord, Event, RequestRecord};

/// How long a host list is used, as set in the site's policy.
const HOST_LIST_TTL: Duration = Duration::from_secs(1);
/// Timeout of a request for the host list.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of a completion request, ms.
const REQUEST_DEADLINE_MS: u64 = 6_000;
/// Deadline of a booking, ms.
const BOOKING_DEADLINE_MS: u64 = 3_000;
/// Pause between the requests of one caller, ms.
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 20..400;
/// Pause between two prompts that crash engines.
const POISON_INTERVAL: Duration = Duration::from_secs(15);
/// Maximum number of attempts to send one booking.
const MAX_ATTEMPTS: usize = 5;

/// What callers and operators send requests to.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// Base URL for callers, by host.
    pub caller_urls: Vec<String>,
    /// Address for callers, by host.
    pub caller_addrs: Vec<SocketAddr>,
    /// Models and adapters.
    pub models: Vec<String>,
}

/// One caller.
pub struct Caller {
    /// Index, part of its prompts and keys.
    pub number: usize,
    /// Random source of its choices.
    pub rng: ChaCha8Rng,
    /// Hosts and models.
    pub targets: Arc<Targets>,
    /// Channel to the history.
    pub events: Sender<Event>,
    /// Closed to stop the caller.
    pub stop: Receiver<()>,
    /// When the host list was last fetched, and the hosts in it.
    pub host_list: Option<(Instant, Vec<usize>)>,
}

impl Caller {
    /// Sends completion requests until it is stopped.
    pub fn send_requests(mut self) {
        for turn in 0.. {
            let pause = Duration::from_millis(self.rng.random_range(REQUEST_PAUSE_MS));
            if wait_or_stopped(&self.stop, pause) {
                return;
            }
            let model = self.rng.random_range(0..self.targets.models.len());
            let model = self.targets.models[model].clone();
            let prompt = format!("caller-{} asks-{turn} of-{model}", self.number);
            let max_tokens = match self.rng.random_bool(0.1) {
                true => self.rng.random_range(1..8),
                false => usize::MAX,
            };
            self.send_request(&model, prompt, max_tokens);
        }
    }

    /// Sends completion requests until it is stopped, on one connection until its host closes it.
    pub fn send_requests_on_kept_connections(mut self) {
        let mut kept: Option<(usize, KeptConnection)> = None;
        for turn in 0.. {
            let pause = Duration::from_millis(self.rng.random_range(REQUEST_PAUSE_MS));
            if wait_or_stopped(&self.stop, pause) {
                return;
            }
            let open = kept.filter(|(_, connection)| !connection.is_closed());
            kept = open.or_else(|| self.connect());
            let Some((host, connection)) = &mut kept else {
                continue;
            };
            let model = self.rng.random_range(0..self.targets.models.len());
            let model = &self.targets.models[model];
            let prompt = format!("caller-{} asks-{turn} of-{model}", self.number);
            let deadline = REQUEST_DEADLINE_MS.to_string();
            let from = Instant::now();
            let reply = connection.send_prompt(model, &prompt, &[("X-Deadline-Ms", &deadline)]);
            let _ = self
                .events
                .send(request_event(*host, prompt, from, reply, false));
        }
    }

    fn connect(&mut self) -> Option<(usize, KeptConnection)> {
        let host = self.pick_host()?;
        let connection = KeptConnection::open(self.targets.caller_addrs[host]);
        Some((host, connection.ok()?))
    }

    /// Sends prompts that crash engines, each three times in a row.
    pub fn send_poison_requests(mut self) {
        for turn in 0.. {
            if wait_or_stopped(&self.stop, POISON_INTERVAL) {
                return;
            }
            for _ in 0..3 {
                let model = self.targets.models[0].clone();
                self.send_request(&model, format!("{CRASH_TEXT} poison-{turn}"), usize::MAX);
            }
        }
    }

    /// Sends bookings until it is stopped.
    pub fn send_bookings(mut self) {
        for turn in 0.. {
            let pause = Duration::from_millis(self.rng.random_range(REQUEST_PAUSE_MS));
            if wait_or_stopped(&self.stop, pause) {
                return;
            }
            self.submit_booking(&format!("caller-{}-books-{turn}", self.number));
        }
    }

    fn send_request(&mut self, model: &str, prompt: String, max_tokens: usize) {
        let Some(host) = self.pick_host() else {
            return;
        };
        let url = format!("{}/v1/chat/completions", self.targets.caller_urls[host]);
        let deadline = REQUEST_DEADLINE_MS.to_string();
        let from = Instant::now();
        let reply = send_prompt_until(
            &url,
            model,
            &prompt,
            &[("X-Deadline-Ms", &deadline)],
            max_tokens,
        );
        let disconnected = !reply.complete && reply.text.split_whitespace().count() >= max_tokens;
        let _ = self
            .events
            .send(request_event(host, prompt, from, reply, disconnected));
    }

    /// Sends a booking, usually retries it while it has no answer, and
    /// sometimes sends it again after an answer.
    fn submit_booking(&mut self, key: &str) {
        for attempt in 0..MAX_ATTEMPTS {
            let Some(host) = self.pick_host() else {
                return;
            };
            let booking = Booking {
                key: key.to_owned(),
                body: format!("{{\"seat\": \"{key}\"}}"),
                first_attempt: attempt == 0,
                deadline_ms: BOOKING_DEADLINE_MS,
            };
            let url = format!("{}/services/seats/bookings", self.targets.caller_urls[host]);
            let from = Instant::now();
            let reply = send_booking(&url, &booking);
            let answered = reply.status == 200 || reply.kind == "outcome_unknown";
            let _ = self.events.send(Event::Booking(BookingRecord {
                key: key.to_owned(),
                host,
                deadline: Duration::from_millis(BOOKING_DEADLINE_MS),
                from,
                until: Instant::now(),
                reply,
            }));
            let send_again = match answered {
                true => self.rng.random_bool(0.2),
                false => self.rng.random_bool(0.8),
            };
            if !send_again {
                return;
            }
        }
    }

    /// Returns a random host of the host list, which it fetches again once it has expired.
    fn pick_host(&mut self) -> Option<usize> {
        let is_fresh = |e: &&(Instant, Vec<usize>)| e.0.elapsed() < HOST_LIST_TTL;
        if self.host_list.as_ref().filter(is_fresh).is_none() {
            let fetched_at = Instant::now();
            self.host_list = self.fetch_host_list().map(|hosts| (fetched_at, hosts));
        }
        let Some((_, hosts)) = &self.host_list else {
            thread::sleep(Duration::from_millis(50));
            return None;
        };
        let index = self.rng.random_range(0..hosts.len());
        Some(hosts[index])
    }

    /// Fetches the host list from a random host.
    fn fetch_host_list(&mut self) -> Option<Vec<usize>> {
        let host = self.rng.random_range(0..self.targets.caller_urls.len());
        let url = format!("{}/v1/hosts", self.targets.caller_urls[host]);
        let hosts = host_indices(&fetch_hosts(&url));
        (!hosts.is_empty()).then_some(hosts)
    }
}

/// Returns the names of the hosts listed at `url`, none without a response.
pub fn fetch_hosts(url: &str) -> Vec<String> {
    listed_hosts(url, HOST_LIST_TIMEOUT)
}

fn host_indices(names: &[String]) -> Vec<usize> {
    names.iter().filter_map(|n| parse_index(n)).collect()
}

/// Returns the index of a host or an engine from its name; `h1` is 0.
pub fn parse_index(name: &str) -> Option<usize> {
    let ordinal: usize = name.get(1..)?.parse().ok()?;
    ordinal.checked_sub(1)
}

/// Waits for `pause` and returns whether `stop` was closed meanwhile.
pub fn wait_or_stopped(stop: &Receiver<()>, pause: Duration) -> bool {
    stop.recv_timeout(pause) == Err(RecvTimeoutError::Disconnected)
}

/// Returns the event of a completion request that has just ended.
fn request_event(
    host: usize,
    prompt: String,
    from: Instant,
    reply: CompletionReply,
    disconnected: bool,
) -> Event {
    Event::Request(RequestRecord {
        host,
        disconnected,
        poison: prompt.contains(CRASH_TEXT),
        prompt,
        deadline: Duration::from_millis(REQUEST_DEADLINE_MS),
        from,
        until: Instant::now(),
        reply,
    })
}
