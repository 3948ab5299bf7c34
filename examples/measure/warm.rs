//! The warm path: time added to a direct call, tokens a second for each core,
//! memory of open streams.

use std::io::{BufRead, BufReader};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use mastichinge::fakes::firm as site;
use mastichinge::fakes::site::CALLER_KEY;
use serde_json::json;

use super::env::Env;
use super::figures::spread;
use super::firm::FirmPlan;
use super::{DAEMON, Run, usage};

/// Streams that stay open while first tokens are timed.
const OPEN: usize = 200;
/// Streams whose memory is taken.
const MANY: usize = 500;
/// Calls timed on each way.
const CALLS: usize = 100;
/// Slots of an engine.
const SLOTS: u32 = 2_000;
/// Time between tokens while the relay's speed is measured.
const FAST: Duration = Duration::from_millis(5);
/// Time for which the relay's speed is measured.
const RELAYED: Duration = Duration::from_secs(5);

/// Measures the warm path of one daemon.
pub fn measure(run: &Run) -> Result<(), String> {
    let plan = FirmPlan::new(run.firm, run.policy, run.scale, Some(SLOTS));
    let env = start(&plan, Duration::from_millis(100))?;
    let bench = Bench::new(&env, &plan);
    let before = usage::resident(bench.process);
    let open = bench.open(&bench.daemon, OPEN);
    let mut direct = Vec::new();
    let mut relayed = Vec::new();
    for _ in 0..CALLS {
        direct.push(bench.first(&bench.engine));
        relayed.push(bench.first(&bench.daemon));
    }
    let (direct, relayed) = (spread(&direct), spread(&relayed));
    let more = bench.open(&bench.daemon, MANY - OPEN);
    let held = usage::resident(bench.process);
    println!("{} warm seed {}: times in us", run.firm, run.seed);
    println!("  direct {direct:?}");
    println!("  relayed {relayed:?} with {OPEN} streams open");
    println!(
        "  added p50 {} p99 {}",
        relayed.p50 as i64 - direct.p50 as i64,
        relayed.p99 as i64 - direct.p99 as i64
    );
    println!(
        "  memory {} kB, {} kB with {MANY} streams: {:.1} kB a stream",
        before,
        held,
        held.saturating_sub(before) as f64 / MANY as f64
    );
    drop((open, more));
    drop(env);
    relay_speed(&plan)
}

/// Tokens a second of processor time of a daemon.
fn relay_speed(plan: &FirmPlan) -> Result<(), String> {
    let env = start(plan, FAST)?;
    let bench = Bench::new(&env, plan);
    let streams = bench.open(&bench.daemon, OPEN);
    let busy = usage::busy(bench.process);
    let begun = Instant::now();
    let counters: Vec<_> = streams
        .into_iter()
        .map(|s| thread::spawn(move || s.count_until(begun + RELAYED)))
        .collect();
    let mut tokens = 0;
    for counter in counters {
        tokens += counter.join().unwrap_or(0);
    }
    let spent = usage::busy(bench.process) - busy;
    println!(
        "  relay: {tokens} tokens in {:.1} s, {spent:.2} s of processor time: {:.0} tokens a core second",
        begun.elapsed().as_secs_f64(),
        tokens as f64 / spent
    );
    Ok(())
}

/// A site whose engines give very long answers.
fn start(plan: &FirmPlan, interval: Duration) -> Result<Env, String> {
    let mut settings = plan.settings();
    settings.engine.token_interval = interval;
    settings.engine.tokens = 100_000;
    let site = site::start(settings).map_err(|e| format!("the site: {e}"))?;
    let program = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    Ok(Env::with_site(site, &program, &[DAEMON]))
}

/// Where a loaded model is reached.
struct Bench {
    model: String,
    daemon: String,
    engine: String,
    process: u32,
}

/// A stream that is open.
struct Open(BufReader<attohttpc::Response>);

impl Bench {
    fn new(env: &Env, plan: &FirmPlan) -> Self {
        let bases = plan.models.iter().filter(|(_, m)| m.base.is_none());
        let (model, _) = bases.min_by_key(|(_, m)| m.memory).expect("a base model");
        let daemon = env.caller_url(0, "/v1/chat/completions");
        let bench = Bench {
            model: model.to_string(),
            engine: String::new(),
            process: env.process_id(0).expect("the daemon runs"),
            daemon,
        };
        drop(bench.open(&bench.daemon, 1));
        let mut engines = env.site.engines.iter();
        let holder = engines.find(|e| e.report().residents.iter().any(|r| r.model == *model));
        let addr = holder.expect("an engine holds the model").addr();
        Bench {
            engine: format!("http://{addr}/v1/chat/completions"),
            ..bench
        }
    }

    fn send(&self, url: &str) -> Open {
        let body = json!({
            "model": self.model, "stream": true,
            "messages": [{"role": "user", "content": "warm"}],
        });
        let answer = attohttpc::post(url)
            .bearer_auth(CALLER_KEY)
            .text(body.to_string())
            .send()
            .expect("an answer");
        assert_eq!(answer.status().as_u16(), 200, "{url} refuses");
        Open(BufReader::new(answer))
    }

    /// Time to the first token, us.
    fn first(&self, url: &str) -> u64 {
        let begun = Instant::now();
        let mut stream = self.send(url);
        stream.token();
        begun.elapsed().as_micros() as u64
    }

    /// Opens streams at once and waits for the first token of each.
    fn open(&self, url: &str, count: usize) -> Vec<Open> {
        let barrier = Arc::new(Barrier::new(count));
        let mut streams = Vec::new();
        thread::scope(|scope| {
            let mut threads = Vec::new();
            for _ in 0..count {
                let barrier = barrier.clone();
                threads.push(scope.spawn(move || {
                    barrier.wait();
                    let mut stream = self.send(url);
                    stream.token();
                    stream
                }));
            }
            for thread in threads {
                streams.push(thread.join().expect("a stream"));
            }
        });
        streams
    }
}

impl Open {
    /// Waits for the next token; false at the end.
    fn token(&mut self) -> bool {
        let mut line = String::new();
        loop {
            line.clear();
            match self.0.read_line(&mut line) {
                Ok(n) if n > 0 => {}
                _ => return false,
            }
            if line.starts_with("data: ") {
                return true;
            }
        }
    }

    fn count_until(mut self, until: Instant) -> usize {
        let mut count = 0;
        while Instant::now() < until && self.token() {
            count += 1;
        }
        count
    }
}
