//! Sends the arrivals to the daemons and brings about the scenario's fault.

use std::thread;
use std::time::{Duration, Instant};

use super::arrivals::Arrival;
use super::env::{CompletionReply, Env, send_prompt};
use super::firm::FirmPlan;
use super::scenario::{OPENING, Scenario};
use super::usage::{self, DaemonUse};

/// Factor on load times while the store is slow.
const SLOWNESS: f64 = 3.0;
/// Time after the opening at which a host or an engine dies.
const STRIKE: Duration = Duration::from_millis(500);
/// Time after which a crashed engine starts again.
const RESTART: Duration = Duration::from_secs(3);
/// Most hosts that a caller tries with one request.
const TRIES: usize = 5;

/// A request and what came of it.
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// When it was sent first.
    pub sent: Instant,
    /// Time to the first token, over all tries.
    pub first: Option<Duration>,
    /// The last answer.
    pub answer: CompletionReply,
    /// Tries after the first, at other hosts, because a host had died.
    pub resent: usize,
    /// Whether the answer's text is the one to this request.
    pub right: bool,
}

/// A whole run.
pub struct Driven {
    /// When it started.
    pub start: Instant,
    /// When the last request had ended.
    pub end: Instant,
    /// All requests.
    pub outcomes: Vec<Outcome>,
    /// What the daemons spent.
    pub daemons: Vec<DaemonUse>,
}

/// Sends all arrivals at their time and waits for all answers.
pub fn run(env: &mut Env, scenario: Scenario, plan: &FirmPlan, arrivals: &[Arrival]) -> Driven {
    let before = usage::read(env);
    let start = Instant::now();
    let mut strikes = Strikes::new(scenario);
    let mut open = Vec::new();
    for arrival in arrivals {
        strikes.until(env, plan, start, arrival.at);
        let urls: Vec<String> = (0..env.hosts.len())
            .map(|i| env.caller_url((arrival.host + i) % env.hosts.len(), "/v1/chat/completions"))
            .collect();
        let prompt = format!("request {} for {}", open.len(), arrival.model);
        let expected = env.expected_text(&prompt);
        let model = plan.asked(&arrival.model, arrival.host);
        let arrival = arrival.clone();
        open.push(thread::spawn(move || {
            send(arrival, &urls, &model, &prompt, &expected)
        }));
    }
    strikes.until(env, plan, start, scenario.length());
    let ended = open.into_iter().filter_map(|t| t.join().ok());
    let outcomes: Vec<Outcome> = ended.collect();
    let end = Instant::now();
    Driven {
        start,
        end,
        outcomes,
        daemons: usage::since(&before, &usage::read(env)),
    }
}

fn send(arrival: Arrival, urls: &[String], model: &str, prompt: &str, expected: &str) -> Outcome {
    let sent = Instant::now();
    let mut outcome = Outcome {
        sent,
        first: None,
        answer: CompletionReply::default(),
        resent: 0,
        right: false,
        arrival,
    };
    for (tried, url) in urls.iter().take(TRIES).enumerate() {
        let left = outcome.arrival.deadline.saturating_sub(sent.elapsed());
        let left = left.as_millis().to_string();
        let before = sent.elapsed();
        outcome.answer = send_prompt(url, model, prompt, &[("X-Deadline-Ms", &left)]);
        outcome.first = outcome.answer.first_token.map(|f| before + f);
        outcome.resent = tried;
        let cut = outcome.answer.status == 200 && !outcome.answer.complete;
        if outcome.answer.status != 0 && !(cut && outcome.answer.error_code.is_empty()) {
            break;
        }
    }
    outcome.right = outcome.answer.text == expected;
    outcome
}

/// What happens besides the arrivals, in order of time.
struct Strikes {
    due: Vec<(Duration, Strike)>,
}

#[derive(Clone, Copy)]
enum Strike {
    SlowStore,
    KillOwner,
    CrashEngine,
    RestartEngine,
    TableDown,
}

impl Strikes {
    fn new(scenario: Scenario) -> Self {
        let strike = OPENING + STRIKE;
        let due = match scenario {
            Scenario::StoreSlow => vec![(OPENING, Strike::SlowStore)],
            Scenario::HostLost => vec![(strike, Strike::KillOwner)],
            Scenario::EngineLost => vec![
                (strike, Strike::CrashEngine),
                (strike + RESTART, Strike::RestartEngine),
            ],
            Scenario::TableDown => vec![(OPENING - STRIKE, Strike::TableDown)],
            _ => Vec::new(),
        };
        Strikes { due }
    }

    /// Waits until `at`, and strikes on the way.
    fn until(&mut self, env: &mut Env, plan: &FirmPlan, start: Instant, at: Duration) {
        while let Some((due, strike)) = self.due.first().copied().filter(|(due, _)| *due <= at) {
            sleep_until(start + due);
            self.due.remove(0);
            strike.hit(env, plan);
        }
        sleep_until(start + at);
    }
}

impl Strike {
    fn hit(self, env: &mut Env, plan: &FirmPlan) {
        match self {
            Strike::SlowStore => {
                let state = &env.site.weights.state;
                state.change(|s| s.settings.slowdown = SLOWNESS);
            }
            Strike::KillOwner => {
                let owner = env.owner_of(&plan.pools()[0]);
                env.kill(owner.expect("the pool has an owner"));
            }
            Strike::CrashEngine => env.site.engines[0].crash(),
            Strike::RestartEngine => {
                let restarted = env.site.engines[0].restart();
                restarted.expect("the address is free again");
            }
            Strike::TableDown => env.site.platform.state.change(|s| s.faults.down = true),
        }
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
