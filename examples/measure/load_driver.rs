//! Sends the arrivals to the daemons and injects the scenario's faults.

use std::thread;
use std::time::{Duration, Instant};

use super::arrivals::Arrival;
use super::env::{CompletionReply, Env, send_prompt};
use super::firm::FirmPlan;
use super::scenario::{OPENING, Scenario};
use super::usage::{self, DaemonUsage};

/// Factor on load times while the weight store is slow.
const STORE_SLOWDOWN: f64 = 3.0;
/// Time after the opening at which a host or an engine fails, and before it at which
/// the table goes down.
const FAULT_OFFSET: Duration = Duration::from_millis(500);
/// Time after which a crashed engine restarts.
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of hosts that a caller tries for one request.
const MAX_ATTEMPTS: usize = 5;

/// A request and its outcome.
pub struct RequestOutcome {
    /// The request.
    pub arrival: Arrival,
    /// Time of the first attempt.
    pub sent_at: Instant,
    /// Time to the first token since the first attempt.
    pub first_token: Option<Duration>,
    /// Reply to the last attempt.
    pub reply: CompletionReply,
    /// Attempts after the first, at other hosts, because a host had failed.
    pub resends: usize,
    /// Whether the reply has the text expected for this request.
    pub text_matches: bool,
}

/// Result of a run.
pub struct RunResult {
    /// Start of the run.
    pub start: Instant,
    /// End of the last request.
    pub end: Instant,
    /// Outcomes of all requests.
    pub outcomes: Vec<RequestOutcome>,
    /// Resources used by the daemons that still run at the end.
    pub usage: Vec<DaemonUsage>,
}

/// Sends every arrival at its time and waits for all replies.
pub fn run(env: &mut Env, scenario: Scenario, plan: &FirmPlan, arrivals: &[Arrival]) -> RunResult {
    let before = usage::read_all(env);
    let start = Instant::now();
    let mut faults = FaultSchedule::new(scenario);
    let mut threads = Vec::new();
    for arrival in arrivals {
        faults.wait_until(env, plan, start, arrival.at);
        let urls: Vec<String> = (0..env.hosts.len())
            .map(|i| env.caller_url((arrival.host + i) % env.hosts.len(), "/v1/chat/completions"))
            .collect();
        let prompt = format!("request {} for {}", threads.len(), arrival.model);
        let expected = env.expected_text(&prompt);
        let model = plan.requested_name(&arrival.model, arrival.host);
        let arrival = arrival.clone();
        threads.push(thread::spawn(move || {
            send(arrival, &urls, &model, &prompt, &expected)
        }));
    }
    faults.wait_until(env, plan, start, scenario.length());
    let finished = threads.into_iter().filter_map(|t| t.join().ok());
    let outcomes: Vec<RequestOutcome> = finished.collect();
    let end = Instant::now();
    RunResult {
        start,
        end,
        outcomes,
        usage: usage::difference(&before, &usage::read_all(env)),
    }
}

fn send(
    arrival: Arrival,
    urls: &[String],
    model: &str,
    prompt: &str,
    expected: &str,
) -> RequestOutcome {
    let sent_at = Instant::now();
    let mut outcome = RequestOutcome {
        sent_at,
        first_token: None,
        reply: CompletionReply::default(),
        resends: 0,
        text_matches: false,
        arrival,
    };
    for (attempt, url) in urls.iter().take(MAX_ATTEMPTS).enumerate() {
        let remaining = outcome.arrival.deadline.saturating_sub(sent_at.elapsed());
        let remaining_ms = remaining.as_millis().to_string();
        let attempt_start = sent_at.elapsed();
        outcome.reply = send_prompt(url, model, prompt, &[("X-Deadline-Ms", &remaining_ms)]);
        outcome.first_token = outcome.reply.first_token.map(|f| attempt_start + f);
        outcome.resends = attempt;
        let interrupted = outcome.reply.status == 200 && !outcome.reply.complete;
        if outcome.reply.status != 0 && !(interrupted && outcome.reply.error_code.is_empty()) {
            break;
        }
    }
    outcome.text_matches = outcome.reply.text == expected;
    outcome
}

/// Faults of a scenario in order of time.
struct FaultSchedule {
    due: Vec<(Duration, Fault)>,
}

#[derive(Clone, Copy)]
enum Fault {
    SlowStore,
    KillOwner,
    CrashEngine,
    RestartEngine,
    TableDown,
}

impl FaultSchedule {
    fn new(scenario: Scenario) -> Self {
        let fault_time = OPENING + FAULT_OFFSET;
        let due = match scenario {
            Scenario::StoreSlow => vec![(OPENING, Fault::SlowStore)],
            Scenario::HostLost => vec![(fault_time, Fault::KillOwner)],
            Scenario::EngineLost => vec![
                (fault_time, Fault::CrashEngine),
                (fault_time + RESTART_DELAY, Fault::RestartEngine),
            ],
            Scenario::TableDown => vec![(OPENING - FAULT_OFFSET, Fault::TableDown)],
            _ => Vec::new(),
        };
        FaultSchedule { due }
    }

    /// Waits until `at` and injects the faults due before it.
    fn wait_until(&mut self, env: &mut Env, plan: &FirmPlan, start: Instant, at: Duration) {
        while let Some((due, fault)) = self.due.first().copied().filter(|(due, _)| *due <= at) {
            sleep_until(start + due);
            self.due.remove(0);
            fault.inject(env, plan);
        }
        sleep_until(start + at);
    }
}

impl Fault {
    fn inject(self, env: &mut Env, plan: &FirmPlan) {
        match self {
            Fault::SlowStore => {
                let state = &env.site.weights.state;
                state.change(|s| s.settings.slowdown = STORE_SLOWDOWN);
            }
            Fault::KillOwner => {
                let owner = env.owner_of(&plan.pools()[0]);
                env.kill(owner.expect("the pool has an owner"));
            }
            Fault::CrashEngine => env.site.engines[0].crash(),
            Fault::RestartEngine => {
                let restarted = env.site.engines[0].restart();
                restarted.expect("the address is free again");
            }
            Fault::TableDown => env.site.platform.state.change(|s| s.faults.down = true),
        }
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
