//! Simulated site: hosts that share crash reports, engines, sound streams and bad requests.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::peer::wire::CrashReport;
use mastichinge::suspects::{
    RequestFingerprints, RunDecision, Suspects, TrialCandidate, TrialRequest, Trials,
};
use serde_json::json;

/// Step of the simulated time.
pub const STEP: Duration = Duration::from_millis(20);
/// Time until the engines that crashed are back.
const BACK_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for which a request waits at its host for a trial, as in the relay.
const HELD_WAIT: Duration = Duration::from_secs(2);
/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_secs(30);
/// Crashes after which the relay gives up.
const RELAY_CRASHES: u32 = 4;
/// Time after the counted crash from which a sending is late.
const CONTACT: Duration = Duration::from_secs(1);

/// When an engine that runs a request crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Sound,
    /// This long after the attempt began.
    Crash(Duration),
    /// Like `Crash`, from a moment on; sound before.
    CrashFrom(Moment),
}

/// A kind of request that comes again and again.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Messages, to which `{n}` adds the number of the request.
    pub messages: Vec<String>,
    pub effect: Effect,
    pub first: Moment,
    pub period: Duration,
    /// Time until the answer is complete.
    pub length: Duration,
}

/// What came of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When those arrived that were served.
    pub served: Vec<Moment>,
    pub refused: u32,
    /// When those arrived that met too many crashes, or waited too long.
    pub failed: Vec<Moment>,
    pub sent: Vec<Moment>,
    pub crashed: Vec<Moment>,
}

impl Outcome {
    /// Returns when the crash happened from which sendings are counted, if so many happened.
    pub fn counted_from(&self, counted: usize) -> Option<Moment> {
        self.crashed.get(counted - 1).map(|at| *at + CONTACT)
    }

    /// Returns how many were sent in an hour later than [`CONTACT`] after crash number `counted`.
    pub fn late(&self, counted: usize) -> usize {
        let Some(from) = self.counted_from(counted) else {
            return 0;
        };
        self.sent.iter().filter(|at| **at > from).count()
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    New(Moment),
    Trial(mastichinge::suspects::Fingerprint),
    Running { engine: usize, since: Moment },
    Done,
}

struct Request {
    id: String,
    stream: usize,
    prints: RequestFingerprints,
    host: usize,
    since: Moment,
    crashes: u32,
    trial: Option<mastichinge::suspects::Fingerprint>,
    avoid: Vec<String>,
    stage: Stage,
}

struct Engine {
    life: u32,
    down_until: Moment,
    /// Whether it keeps connections and says nothing while it is down.
    is_silent: bool,
}

/// The simulated site.
pub struct Site {
    pub now: Moment,
    /// Whether crashed engines keep their connections until they are back.
    pub silent: bool,
    pub streams: Vec<Stream>,
    pub outcomes: Vec<Outcome>,
    hosts: Vec<Suspects>,
    engines: Vec<Engine>,
    trials: Trials,
    requests: Vec<Request>,
    /// Reports on their way, with their senders.
    reports: Vec<(usize, CrashReport)>,
    /// Trials that ended; their owner hears of it after the reports.
    ended: Vec<String>,
    count: usize,
}

impl Site {
    pub fn new(engines: usize, streams: Vec<Stream>) -> Self {
        let engine = || Engine {
            life: 0,
            down_until: Moment::ZERO,
            is_silent: false,
        };
        Site {
            now: Moment::ZERO,
            silent: false,
            outcomes: vec![Outcome::default(); streams.len()],
            streams,
            hosts: vec![Suspects::default(); 3],
            engines: (0..engines).map(|_| engine()).collect(),
            trials: Trials::default(),
            requests: Vec::new(),
            reports: Vec::new(),
            ended: Vec::new(),
            count: 0,
        }
    }

    pub fn run_until(&mut self, end: Moment) {
        while self.now < end {
            self.now += STEP;
            let ended = std::mem::take(&mut self.ended);
            self.deliver_reports();
            for ticket in ended {
                self.trials.end(&ticket);
            }
            self.end_silence();
            self.add_requests();
            for index in 0..self.requests.len() {
                self.advance(index);
            }
            self.requests.retain(|r| r.stage != Stage::Done);
        }
    }

    /// Ends an engine, with all that it runs.
    pub fn crash(&mut self, engine: usize) {
        if self.now < self.engines[engine].down_until {
            return;
        }
        self.engines[engine].down_until = self.now + BACK_TIME;
        self.engines[engine].is_silent = self.silent;
        if !self.silent {
            self.cut(engine);
        }
    }

    fn end_silence(&mut self) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].is_silent && self.now >= self.engines[engine].down_until {
                self.engines[engine].is_silent = false;
                self.cut(engine);
            }
        }
    }

    fn instance(&self, engine: usize) -> String {
        format!("e{engine}-{}", self.engines[engine].life)
    }

    /// Breaks all connections of an engine.
    fn cut(&mut self, engine: usize) {
        let instance = self.instance(engine);
        self.engines[engine].life += 1;
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            if !matches!(request.stage, Stage::Running { engine: at, .. } if at == engine) {
                continue;
            }
            let suspects = &mut self.hosts[request.host];
            let (messages, whole) = suspects.report_request_crash(
                &request.prints,
                "m",
                &instance,
                request.trial.as_deref(),
                self.now,
            );
            let from = request.host;
            let reports = messages.into_iter().chain([whole]);
            self.reports.extend(reports.map(|report| (from, report)));
            request.crashes += 1;
            request.avoid.push(instance.clone());
            request.stage = Stage::New(self.now + STEP);
            let ticket = request.id.clone();
            if request.crashes >= RELAY_CRASHES {
                self.outcomes[request.stream].failed.push(request.since);
                request.stage = Stage::Done;
            }
            request.trial = None;
            self.ended.push(ticket);
        }
    }

    fn deliver_reports(&mut self) {
        for (from, report) in std::mem::take(&mut self.reports) {
            for host in (0..self.hosts.len()).filter(|h| *h != from) {
                self.hosts[host].merge(&report, self.now);
                let release = self.hosts[host].refute(&report, self.now);
                self.reports.extend(release.map(|release| (host, release)));
            }
        }
    }

    fn add_requests(&mut self) {
        for (index, stream) in self.streams.iter().enumerate() {
            let Some(since) = self.now.checked_sub(stream.first) else {
                continue;
            };
            let due = |t: Duration| t.as_millis() / stream.period.as_millis();
            if since >= STEP && due(since) == due(since - STEP) {
                continue;
            }
            self.count += 1;
            let number = self.count.to_string();
            let texts = stream.messages.iter().map(|m| m.replace("{n}", &number));
            let prompt = json!(texts.collect::<Vec<_>>());
            self.requests.push(Request {
                id: format!("t{number}"),
                stream: index,
                prints: RequestFingerprints::new("m", &json!({ "messages": prompt }), &prompt),
                host: self.count % self.hosts.len(),
                since: self.now,
                crashes: 0,
                trial: None,
                avoid: Vec::new(),
                stage: Stage::New(self.now),
            });
        }
    }

    fn advance(&mut self, index: usize) {
        match self.requests[index].stage.clone() {
            Stage::New(at) if at <= self.now => self.decide(index),
            Stage::Trial(fingerprint) => self.start_trial(index, &fingerprint),
            Stage::Running { engine, since } => self.run(index, engine, since),
            Stage::New(_) | Stage::Done => {}
        }
    }

    fn decide(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if self.now - request.since > TIME_LIMIT {
            request.stage = Stage::Done;
            self.outcomes[request.stream].failed.push(request.since);
            return;
        }
        match self.hosts[request.host].decide(&request.prints, self.now) {
            RunDecision::Unrestricted => self.send(index),
            RunDecision::Trial(fingerprint) if request.trial.is_none() => {
                request.stage = Stage::Trial(fingerprint);
            }
            RunDecision::Trial(_) => self.send(index),
            RunDecision::Held { trial_in: wait, .. }
                if wait <= HELD_WAIT && request.trial.is_none() =>
            {
                request.stage = Stage::New(self.now + wait.max(STEP));
            }
            RunDecision::Held { .. } => {
                let ticket = request.id.clone();
                request.stage = Stage::Done;
                self.outcomes[request.stream].refused += 1;
                self.trials.end(&ticket);
            }
        }
    }

    fn candidates(&self, request: &Request) -> Vec<TrialCandidate> {
        let mut candidates = Vec::new();
        for (engine, state) in self.engines.iter().enumerate() {
            let is_down = self.now < state.down_until && !state.is_silent;
            if is_down || request.avoid.contains(&self.instance(engine)) {
                continue;
            }
            let is_here =
                |r: &&Request| matches!(r.stage, Stage::Running { engine: e, .. } if e == engine);
            candidates.push(TrialCandidate {
                engine: engine.to_string().as_str().into(),
                load: self.requests.iter().filter(is_here).count() as u32,
            });
        }
        candidates
    }

    fn send(&mut self, index: usize) {
        let candidates = self.candidates(&self.requests[index]);
        let rank = |c: &&TrialCandidate| (c.load, c.engine.clone());
        let Some(engine) = candidates.iter().min_by_key(rank) else {
            self.requests[index].stage = Stage::New(self.now + STEP);
            return;
        };
        let engine = engine.engine.parse().expect("a number");
        self.begin(index, engine);
    }

    fn begin(&mut self, index: usize, engine: usize) {
        let request = &mut self.requests[index];
        request.stage = Stage::Running {
            engine,
            since: self.now,
        };
        self.outcomes[request.stream].sent.push(self.now);
    }

    fn start_trial(&mut self, index: usize, fingerprint: &str) {
        let request = &self.requests[index];
        let candidates = self.candidates(request);
        let wanted = TrialRequest {
            ticket: request.id.as_str().into(),
            fingerprint: fingerprint.into(),
            host: "h".into(),
            deadline: Duration::MAX,
        };
        // A request that is released while it waits for its trial goes on without.
        let suspects = &mut self.hosts[request.host];
        if !matches!(
            suspects.decide(&request.prints, self.now),
            RunDecision::Trial(_)
        ) {
            self.requests[index].stage = Stage::New(self.now);
            return self.decide(index);
        }
        let Some(trial) = self.trials.start(wanted, &candidates) else {
            if self.now - self.requests[index].since > TIME_LIMIT {
                self.requests[index].stage = Stage::Done;
                let request = &self.requests[index];
                self.outcomes[request.stream].failed.push(request.since);
            }
            return;
        };
        let engine = trial.engine.parse().expect("a number");
        self.requests[index].trial = Some(fingerprint.into());
        self.begin(index, engine);
    }

    fn run(&mut self, index: usize, engine: usize, since: Moment) {
        let request = &self.requests[index];
        let stream = &self.streams[request.stream];
        if self.now < self.engines[engine].down_until {
            return;
        }
        let crash_at = match stream.effect {
            Effect::Sound => Moment::MAX,
            Effect::Crash(after) => since + after,
            Effect::CrashFrom(from) => from.max(since + STEP),
        };
        if self.now >= crash_at {
            self.outcomes[request.stream].crashed.push(self.now);
            return self.crash(engine);
        }
        if self.now < since + stream.length {
            return;
        }
        let request = &mut self.requests[index];
        request.stage = Stage::Done;
        let ticket = request.id.clone();
        let releases = self.hosts[request.host].record_answered(&request.prints, self.now);
        let from = request.host;
        self.reports.extend(releases.into_iter().map(|r| (from, r)));
        self.outcomes[request.stream].served.push(request.since);
        self.ended.push(ticket);
    }
}
