//! Measures the warm path: latency added to a direct call, tokens per second of
//! CPU time and memory of open streams.

use std::io::{BufRead, BufReader};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use mastichinge::fakes::firm as site;
use mastichinge::fakes::site::CALLER_KEY;
use serde_json::json;

use super::env::Env;
use super::figures::percentiles;
use super::firm::FirmPlan;
use super::{DAEMON_ARG, RunOptions, usage};

/// Streams that are open while first tokens are timed.
const OPEN_STREAMS: usize = 200;
/// Streams whose memory is measured.
const MEMORY_STREAMS: usize = 500;
/// Calls timed directly to the engine, and as many through the daemon.
const TIMED_CALLS: usize = 100;
/// Slots of an engine.
const ENGINE_SLOTS: u32 = 2_000;
/// Time between tokens while the relay throughput is measured.
const RELAY_TOKEN_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which the relay throughput is measured.
const RELAY_DURATION: Duration = Duration::from_secs(5);

/// Measures the warm path of one daemon.
pub fn measure(run: &RunOptions) -> Result<(), String> {
    let plan = FirmPlan::new(run.firm, run.policy, run.scale, Some(ENGINE_SLOTS));
    let env = start(&plan, Duration::from_millis(100))?;
    let bench = BenchTarget::new(&env, &plan);
    let before_kb = usage::resident_kb(bench.process_id);
    let streams = bench.open_streams(&bench.daemon_url, OPEN_STREAMS);
    let mut direct = Vec::new();
    let mut relayed = Vec::new();
    for _ in 0..TIMED_CALLS {
        direct.push(bench.first_token_us(&bench.engine_url));
        relayed.push(bench.first_token_us(&bench.daemon_url));
    }
    let (direct, relayed) = (percentiles(&direct), percentiles(&relayed));
    let more_streams = bench.open_streams(&bench.daemon_url, MEMORY_STREAMS - OPEN_STREAMS);
    let loaded_kb = usage::resident_kb(bench.process_id);
    println!("{} warm seed {}: times in us", run.firm, run.seed);
    println!("  direct {direct:?}");
    println!("  relayed {relayed:?} with {OPEN_STREAMS} streams open");
    println!(
        "  added p50 {} p99 {}",
        relayed.p50 as i64 - direct.p50 as i64,
        relayed.p99 as i64 - direct.p99 as i64
    );
    println!(
        "  memory {} kB, {} kB with {MEMORY_STREAMS} streams: {:.1} kB a stream",
        before_kb,
        loaded_kb,
        loaded_kb.saturating_sub(before_kb) as f64 / MEMORY_STREAMS as f64
    );
    drop((streams, more_streams));
    drop(env);
    measure_relay(&plan)
}

/// Measures the tokens that a daemon relays per second of CPU time.
fn measure_relay(plan: &FirmPlan) -> Result<(), String> {
    let env = start(plan, RELAY_TOKEN_INTERVAL)?;
    let bench = BenchTarget::new(&env, plan);
    let streams = bench.open_streams(&bench.daemon_url, OPEN_STREAMS);
    let cpu_before = usage::cpu_time_s(bench.process_id);
    let started = Instant::now();
    let counters: Vec<_> = streams
        .into_iter()
        .map(|s| thread::spawn(move || s.count_until(started + RELAY_DURATION)))
        .collect();
    let mut tokens = 0;
    for counter in counters {
        tokens += counter.join().unwrap_or(0);
    }
    let cpu_s = usage::cpu_time_s(bench.process_id) - cpu_before;
    println!(
        "  relay: {tokens} tokens in {:.1} s, {cpu_s:.2} s of processor time: {:.0} tokens a core second",
        started.elapsed().as_secs_f64(),
        tokens as f64 / cpu_s
    );
    Ok(())
}

/// Starts a site whose engines send very long answers.
fn start(plan: &FirmPlan, token_interval: Duration) -> Result<Env, String> {
    let mut settings = plan.settings();
    settings.engine.token_interval = token_interval;
    settings.engine.tokens = 100_000;
    let site = site::start(settings).map_err(|e| format!("cannot start the site: {e}"))?;
    let program = std::env::current_exe()
        .map_err(|e| format!("cannot find the path of this program: {e}"))?;
    Ok(Env::with_site(site, &program, &[DAEMON_ARG]))
}

/// A loaded model and the URLs that serve it.
struct BenchTarget {
    model: String,
    daemon_url: String,
    engine_url: String,
    process_id: u32,
}

/// An open stream.
struct OpenStream(BufReader<attohttpc::Response>);

impl BenchTarget {
    fn new(env: &Env, plan: &FirmPlan) -> Self {
        let bases = plan.models.iter().filter(|(_, m)| m.base.is_none());
        let (model, _) = bases
            .min_by_key(|(_, m)| m.memory)
            .expect("the firm has a base model");
        let daemon_url = env.caller_url(0, "/v1/chat/completions");
        let bench = BenchTarget {
            model: model.to_string(),
            engine_url: String::new(),
            process_id: env.process_id(0).expect("the daemon runs"),
            daemon_url,
        };
        // The first stream makes the daemon load the model.
        drop(bench.open_streams(&bench.daemon_url, 1));
        let mut engines = env.site.engines.iter();
        let engine = engines.find(|e| e.report().residents.iter().any(|r| r.model == *model));
        let addr = engine.expect("an engine has the model loaded").addr();
        BenchTarget {
            engine_url: format!("http://{addr}/v1/chat/completions"),
            ..bench
        }
    }

    fn start_stream(&self, url: &str) -> OpenStream {
        let body = json!({
            "model": self.model, "stream": true,
            "messages": [{"role": "user", "content": "warm"}],
        });
        let response = attohttpc::post(url)
            .bearer_auth(CALLER_KEY)
            .text(body.to_string())
            .send()
            .expect("the server sends a response");
        assert_eq!(response.status().as_u16(), 200, "{url} refuses the request");
        OpenStream(BufReader::new(response))
    }

    /// Returns the time to the first token, us.
    fn first_token_us(&self, url: &str) -> u64 {
        let started = Instant::now();
        let mut stream = self.start_stream(url);
        stream.next_token();
        started.elapsed().as_micros() as u64
    }

    /// Opens `count` streams at once and waits for the first token of each.
    fn open_streams(&self, url: &str, count: usize) -> Vec<OpenStream> {
        let barrier = Arc::new(Barrier::new(count));
        let mut streams = Vec::new();
        thread::scope(|scope| {
            let mut threads = Vec::new();
            for _ in 0..count {
                let barrier = barrier.clone();
                threads.push(scope.spawn(move || {
                    barrier.wait();
                    let mut stream = self.start_stream(url);
                    stream.next_token();
                    stream
                }));
            }
            for thread in threads {
                streams.push(thread.join().expect("the stream thread does not panic"));
            }
        });
        streams
    }
}

impl OpenStream {
    /// Waits for the next token and returns false at the end of the stream.
    fn next_token(&mut self) -> bool {
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
        while Instant::now() < until && self.next_token() {
            count += 1;
        }
        count
    }
}
