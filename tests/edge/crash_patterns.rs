//! Which requests are held while engines crash, over patterns of crashes in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::suspects::{CrashId, Feature, Suspects};
use mastichinge::edge::upstream::Lifetime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Part that all requests share.
const FIRST: Feature = Feature::Part(1);
/// Part on which engines crash.
const BAD: Feature = Feature::Part(2);
/// Time for hosts to learn of something, by the platform's rule.
const CONTACT: Duration = Duration::from_secs(3);
/// Sendings that the rule allows later.
const MAX_LATE: usize = 3;
/// Time from the start of an engine's answer after which its parts are sound.
const SETTLED: Duration = Duration::from_millis(500);
/// Length of the stream of a sound request.
const STREAM: Duration = Duration::from_millis(450);
/// Time from a crash to the return of the engine.
const DOWN: Duration = Duration::from_millis(1_500);
/// Time in which twelve requests are known, and tried one after the other.
const RUN_TIME: Duration = Duration::from_secs(90);
/// Time after the crashes of bad requests in which trials may cost engines.
const TRIAL_TIME: Duration = Duration::from_secs(15);
/// Part of the engines' time that trials may cost: nine of ten requests are to be served.
const MAX_LOST: f64 = 0.1;
const ATTEMPTS: usize = 2;
const MS: Duration = Duration::from_millis(1);

fn at(ms: u64) -> Moment {
    Moment::from_secs(1_000) + Duration::from_millis(ms)
}

fn sound(n: u64) -> Feature {
    Feature::Request(1_000 + n)
}

fn bad(n: u64) -> Feature {
    Feature::Request(n)
}

fn crash_id(n: u64) -> CrashId {
    CrashId::end_of(&Lifetime {
        engine: format!("e{n}").as_str().into(),
        incarnation: 1_000,
    })
}

fn crash(suspects: &mut Suspects, n: u64, features: &[Feature]) {
    let begun = features.iter().map(|f| (*f, true));
    suspects.record_crash(&crash_id(n), begun, at(100 * n));
}

fn held(suspects: &Suspects) -> Vec<Feature> {
    suspects.held().collect()
}

/// What crashes engines.
#[derive(Clone, Copy, PartialEq)]
enum Cause {
    /// So many requests, again and again.
    Requests(u64),
    /// [`BAD`], in requests that are never alike.
    Part,
}

/// When an engine crashes that runs a bad request.
#[derive(Clone, Copy, PartialEq)]
enum Crashes {
    Waiting,
    Begun,
}

#[derive(Clone)]
struct Running {
    features: Vec<Feature>,
    sent_at: Moment,
    attempts: usize,
    is_trial: bool,
    /// Number of the sound request.
    number: Option<usize>,
}

#[derive(Default)]
struct Engine {
    lives: u64,
    up_at: Moment,
    running: Vec<Running>,
}

/// Load on engines, and the sendings that count.
struct Play {
    cause: Cause,
    crashes: Crashes,
    /// Time from which bad requests crash engines.
    bad_from: Moment,
    suspects: Suspects,
    engines: Vec<Engine>,
    rng: ChaCha8Rng,
    now: Moment,
    /// Sendings of each bad request, or of the bad part.
    sendings: BTreeMap<Feature, Vec<Moment>>,
    /// When each sound request came, and whether it was served.
    sound: Vec<(Moment, bool)>,
    /// When engines crashed.
    crashes_at: Vec<Moment>,
}

impl Play {
    fn new(cause: Cause, crashes: Crashes) -> Self {
        Play {
            cause,
            crashes,
            bad_from: at(0),
            suspects: Suspects::default(),
            engines: (0..6).map(|_| Engine::default()).collect(),
            rng: ChaCha8Rng::seed_from_u64(49),
            now: at(0),
            sendings: BTreeMap::new(),
            sound: Vec::new(),
            crashes_at: Vec::new(),
        }
    }

    /// Sends a sound request and a bad one, each with its period, for a time.
    fn run(&mut self, time: Duration, sound_ms: u128, bad_ms: u128) {
        let start = self.now;
        let mut bad_count = 0;
        while self.now < start + time {
            let ms = (self.now - start).as_millis();
            if ms.is_multiple_of(sound_ms) {
                let number = self.sound.len();
                self.sound.push((self.now, false));
                let other = Feature::Part(10 + number as u64 % 7);
                let features = vec![FIRST, other, sound(number as u64)];
                self.send(features, 0, Some(number));
            }
            if ms.is_multiple_of(bad_ms) {
                bad_count += 1;
                let features = match self.cause {
                    Cause::Requests(count) => vec![FIRST, bad(bad_count % count)],
                    Cause::Part => vec![FIRST, BAD, bad(bad_count)],
                };
                self.send(features, 0, None);
            }
            self.step();
            self.now += MS;
        }
    }

    fn counted(&self, features: &[Feature]) -> Feature {
        match self.cause {
            Cause::Requests(_) => *features.last().unwrap(),
            Cause::Part => BAD,
        }
    }

    fn send(&mut self, features: Vec<Feature>, attempts: usize, number: Option<usize>) {
        let trials = self.suspects.trials_in(&features, self.now);
        for (feature, _) in &trials {
            self.suspects.record_seen(*feature, self.now);
        }
        if trials.iter().any(|(_, wait)| *wait != Some(Duration::ZERO)) {
            return;
        }
        let up: Vec<_> = (0..self.engines.len())
            .filter(|e| self.engines[*e].up_at <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        for (feature, _) in &trials {
            self.suspects.begin_trial(*feature, self.now);
        }
        if number.is_none() {
            let counted = self.counted(&features);
            self.sendings.entry(counted).or_default().push(self.now);
        }
        let engine = up[self.rng.random_range(0..up.len())];
        self.engines[engine].running.push(Running {
            features,
            sent_at: self.now,
            attempts: attempts + 1,
            is_trial: !trials.is_empty(),
            number,
        });
    }

    fn step(&mut self) {
        for e in 0..self.engines.len() {
            let running = &self.engines[e].running;
            let is_bad = |r: &Running| r.number.is_none() && self.now >= self.bad_from;
            if running
                .iter()
                .any(|r| is_bad(r) && self.now >= r.sent_at + 5 * MS)
            {
                self.crash(e);
            }
            self.answer(e);
        }
    }

    fn answer(&mut self, e: usize) {
        let now = self.now;
        let running = std::mem::take(&mut self.engines[e].running);
        let (done, running) = running.into_iter().partition(|r| now >= r.sent_at + STREAM);
        self.engines[e].running = running;
        for run in done {
            self.suspects.record_answered(&run.features, now);
            if let Some(number) = run.number {
                self.sound[number].1 = true;
            }
        }
    }

    /// Ends an engine; what ran there is sent once more.
    fn crash(&mut self, e: usize) {
        let engine = &mut self.engines[e];
        engine.lives += 1;
        engine.up_at = self.now + DOWN;
        let id = CrashId::end_of(&Lifetime {
            engine: format!("e{e}").as_str().into(),
            incarnation: engine.lives,
        });
        self.crashes_at.push(self.now);
        let running = std::mem::take(&mut engine.running);
        let mut features = Vec::new();
        for run in &running {
            let since = self.now - run.sent_at;
            let begun = match run.number {
                Some(_) => since > 2 * MS && since < SETTLED,
                None => self.crashes == Crashes::Begun,
            };
            features.extend(run.features.iter().map(|f| (*f, begun)));
        }
        self.suspects.record_crash(&id, features, self.now);
        for run in running {
            if run.attempts < ATTEMPTS && !run.is_trial {
                self.send(run.features, run.attempts, run.number);
            }
        }
    }

    /// Returns the crashes after which sendings count.
    fn counted_crashes(&self) -> usize {
        match self.cause {
            Cause::Requests(_) => 3,
            Cause::Part => 5,
        }
    }

    /// Returns the crashes from which hosts know enough of a bad request, or of the bad part.
    fn known_crashes(&self) -> usize {
        match self.cause {
            Cause::Requests(_) if self.bad_from == at(0) => 2,
            Cause::Requests(_) | Cause::Part => self.counted_crashes(),
        }
    }

    /// Returns when the last bad request, or the bad part, had crashed this many engines.
    fn crashed_at(&self, crashes: usize) -> Moment {
        let bad = |times: &Vec<Moment>| {
            let mut times = times.iter().filter(|at| **at >= self.bad_from);
            times.nth(crashes - 1).copied()
        };
        self.sendings
            .values()
            .filter_map(bad)
            .max()
            .unwrap_or(self.bad_from)
    }

    fn assert_few_sent(&self) {
        let crashes = self.counted_crashes();
        for (feature, times) in &self.sendings {
            let times: Vec<_> = times.iter().filter(|at| **at >= self.bad_from).collect();
            let Some(counted) = times.get(crashes - 1) else {
                continue;
            };
            let late = times
                .iter()
                .filter(|at| ***at > **counted + CONTACT)
                .count();
            assert!(late <= MAX_LATE, "{feature}: {late} of {}", times.len());
        }
    }

    /// Checks that trials of the bad requests, all together, cost few engines.
    fn assert_engines_up(&self) {
        let from = self.crashed_at(self.known_crashes()) + 2 * CONTACT;
        let later = self.crashes_at.iter().filter(|at| **at >= from);
        let in_time = later.filter(|at| **at < from + TRIAL_TIME).count() as f64;
        let lost = in_time * DOWN.as_secs_f64();
        let share = lost / (TRIAL_TIME.as_secs_f64() * self.engines.len() as f64);
        assert!(share <= MAX_LOST, "{share} of the engines' time");
    }

    fn assert_served(&self) {
        self.assert_served_after(self.known_crashes());
        self.assert_served_after(self.counted_crashes());
    }

    fn assert_served_after(&self, crashes: usize) {
        let from = self.crashed_at(crashes) + 2 * CONTACT;
        let later: Vec<_> = self.sound.iter().filter(|(at, _)| *at >= from).collect();
        let ended = later.iter().filter(|(at, _)| *at + STREAM < self.now);
        let served = ended.clone().filter(|(_, served)| *served).count();
        let count = ended.count();
        assert!(count >= 100, "{count} requests");
        assert!(
            served * 10 >= count * 9,
            "{served} of {count}; {:?}",
            held(&self.suspects)
        );
    }
}

/// Guards against LOST: sound requests were held one after the other, then the part that they
/// share, for good.
#[test_case(Cause::Requests(1), Crashes::Waiting)]
#[test_case(Cause::Requests(1), Crashes::Begun)]
#[test_case(Cause::Requests(12), Crashes::Waiting)]
#[test_case(Cause::Requests(12), Crashes::Begun)]
#[test_case(Cause::Part, Crashes::Waiting)]
#[test_case(Cause::Part, Crashes::Begun)]
fn sound_requests_around_bad_ones_are_served(cause: Cause, crashes: Crashes) {
    for seed in 0..10 {
        for bad_from in [0, 3_000] {
            let mut play = Play::new(cause, crashes);
            play.rng = ChaCha8Rng::seed_from_u64(seed);
            play.bad_from = at(bad_from);
            play.run(RUN_TIME, 60, 300);
            play.assert_few_sent();
            play.assert_served();
            play.assert_engines_up();
        }
    }
}

/// Guards against BUDGET: evidence and trials of requests that come seldom.
#[test_case(Cause::Requests(1), Crashes::Waiting, 0)]
#[test_case(Cause::Requests(1), Crashes::Begun, 0)]
#[test_case(Cause::Requests(3), Crashes::Begun, 0)]
#[test_case(Cause::Requests(1), Crashes::Begun, 300_000; "answered before")]
#[test_case(Cause::Part, Crashes::Waiting, 0; "part")]
#[test_case(Cause::Part, Crashes::Begun, 300_000; "part answered before")]
fn an_hour_of_seldom_requests(cause: Cause, crashes: Crashes, bad_from: u64) {
    let mut play = Play::new(cause, crashes);
    play.bad_from = at(bad_from);
    play.run(Duration::from_secs(3_600), 500, 60_000);
    play.assert_few_sent();
    play.assert_served();
}

/// Guards against LOST: the requests that were in progress as a rack failed.
#[test]
fn a_rack_that_fails_leaves_nothing_held() {
    let mut suspects = Suspects::default();
    suspects.record_answered(&[FIRST, sound(0)], at(0));
    for n in 1..11 {
        let requests = (0..8).map(|i| sound(100 * n + i));
        let features: Vec<_> = requests.chain([FIRST]).collect();
        let begun = features.iter().map(|f| (*f, true));
        suspects.record_crash(&crash_id(n), begun, at(1_000));
    }
    let requests = |f: &Feature| matches!(f, Feature::Request(_));
    assert!(!suspects.held().any(|f| requests(&f)));
    // One request under no suspicion is enough.
    let wait = suspects.trials_in(&[FIRST, sound(5_000)], at(1_500));
    assert!(wait.iter().all(|(_, wait)| *wait == Some(Duration::ZERO)));
    suspects.record_answered(&[FIRST, sound(5_000)], at(1_600));
    assert_eq!(held(&suspects), []);
}

/// Guards against LOST: engines that are started again one after the other while streams run.
#[test]
fn a_rolling_restart_leaves_nothing_held() {
    let mut suspects = Suspects::default();
    for n in 1..40 {
        suspects.record_answered(&[FIRST, sound(10_000 + n)], at(100 * n - 50));
        let moved = [FIRST, sound(2 * n), sound(2 * n + 1)];
        crash(&mut suspects, n, &moved);
        suspects.record_answered(&moved, at(100 * n + 40));
        assert_eq!(held(&suspects), []);
    }
}

/// Guards against LOST: trials of many held requests ended engine after engine at the same time.
#[test]
fn held_requests_are_tried_one_after_the_other() {
    let mut suspects = Suspects::default();
    for n in 1..4 {
        crash(&mut suspects, 2 * n, &[FIRST, bad(n)]);
        crash(&mut suspects, 2 * n + 1, &[FIRST, bad(n)]);
    }
    suspects.record_answered(&[FIRST], at(800));
    let wait = |s: &Suspects, n, now| s.trials_in(&[FIRST, bad(n)], now)[0].1;
    assert_eq!(wait(&suspects, 1, at(5_000)), Some(Duration::ZERO));
    suspects.begin_trial(bad(1), at(5_000));
    assert_eq!(wait(&suspects, 2, at(5_000)), Some(CONTACT));
    crash(&mut suspects, 55, &[FIRST, bad(1)]);
    assert_eq!(wait(&suspects, 3, at(8_000)), Some(500 * MS));
    let minute = Duration::from_secs(60);
    for n in 100..700 {
        crash(&mut suspects, n, &[bad(n / 2)]);
    }
    let waits = [2, 3].map(|n| wait(&suspects, n, at(5_000) + minute));
    assert_eq!(waits, [Some(Duration::ZERO); 2], "not for ever");
}

/// Guards against LOST: a late trial of a sound part met a crash of another cause, so that the
/// part stayed held for a minute.
#[test]
fn a_late_trial_of_a_part_waits_for_calm() {
    let mut suspects = Suspects::default();
    for n in 1..7 {
        crash(&mut suspects, n, &[BAD, sound(n)]);
    }
    let wait = |s: &Suspects| s.trials_in(&[BAD, sound(50)], at(10_000))[0].1;
    assert_eq!(wait(&suspects), Some(Duration::ZERO));
    crash(&mut suspects, 99, &[bad(1)]);
    assert_eq!(wait(&suspects), Some(1_400 * MS));
}

/// Guards against LOST: a request that moved from engine to engine with the one that crashed
/// them.
#[test]
fn a_request_that_was_near_is_not_held_once_others_explain_its_crashes() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 1, &[FIRST, bad(1), sound(1)]);
    crash(&mut suspects, 2, &[FIRST, bad(1), sound(1)]);
    assert_eq!(held(&suspects), [], "either may be the cause");
    crash(&mut suspects, 3, &[FIRST, bad(1), sound(2)]);
    assert_eq!(held(&suspects), [bad(1)]);
    crash(&mut suspects, 4, &[FIRST, bad(2), sound(3)]);
    crash(&mut suspects, 5, &[FIRST, bad(3), sound(3)]);
    crash(&mut suspects, 6, &[FIRST, bad(2), sound(4)]);
    crash(&mut suspects, 7, &[FIRST, bad(3), sound(5)]);
    let requests: Vec<_> = suspects
        .held()
        .filter(|f| matches!(f, Feature::Request(_)))
        .collect();
    assert_eq!(requests, [bad(1), bad(2), bad(3)]);
}

/// Guards against BUDGET: a request that crashed engines before any byte was cleared by those
/// whose answers had begun.
#[test]
fn a_waiting_request_is_held_beside_those_that_had_begun() {
    let mut suspects = Suspects::default();
    for n in 1..4 {
        let near = (0..40).map(|i| (sound(100 * n + i), true));
        let features: Vec<_> = near.chain([(FIRST, true), (bad(1), false)]).collect();
        suspects.record_crash(&crash_id(n), features, at(1_000 * n));
        suspects.record_answered(&[FIRST, sound(5_000 + n)], at(1_000 * n + 500));
    }
    assert_eq!(held(&suspects), [bad(1)]);
}

/// Guards against LOST: one bad request and crashes of other causes held the part of a route.
#[test]
fn two_causes_at_once_hold_only_the_request() {
    let mut suspects = Suspects::default();
    suspects.record_answered(&[FIRST], at(0));
    for n in 1..9 {
        crash(&mut suspects, n, &[FIRST, bad(1), sound(n)]);
    }
    crash(&mut suspects, 20, &[FIRST, sound(20)]);
    crash(&mut suspects, 21, &[FIRST, sound(21)]);
    assert_eq!(held(&suspects), [bad(1)]);
}

/// Guards against LOST: a crash that only one report tells of held a request or a part.
#[test]
fn a_report_of_one_crash_holds_nothing() {
    let mut liar = Suspects::default();
    crash(&mut liar, 1, &[FIRST, sound(1), bad(1)]);
    let mut suspects = Suspects::default();
    for id in liar.crash_ids() {
        let note = liar.note(id, at(200)).unwrap();
        for ms in 0..20 {
            suspects.apply(&note, at(200 + ms));
        }
    }
    assert_eq!(held(&suspects), []);
}

/// Guards against LOST: a part that all requests of a route share was refused for good.
#[test]
fn a_part_that_most_requests_carry_is_held_until_one_is_answered() {
    let mut suspects = Suspects::default();
    suspects.record_answered(&[FIRST], at(0));
    for n in 1..13 {
        crash(&mut suspects, n, &[FIRST, bad(n)]);
    }
    assert!(held(&suspects).contains(&FIRST));
    let now = at(1_200) + Duration::from_millis(500);
    let wait = |s: &Suspects, request| s.trials_in(&[FIRST, request], now)[0].1;
    assert!(
        wait(&suspects, bad(3)) > Some(Duration::ZERO),
        "it may be the cause"
    );
    assert_eq!(wait(&suspects, sound(1)), Some(Duration::ZERO));
    suspects.record_answered(&[FIRST, sound(1)], now);
    assert_eq!(held(&suspects), []);
}

/// An operator's release ends a hold without further trials.
#[test]
fn operators_release_a_part_that_is_tried_no_more() {
    let mut suspects = Suspects::default();
    for n in 1..9 {
        crash(&mut suspects, n, &[BAD, bad(n)]);
    }
    for n in 1..4 {
        suspects.begin_trial(BAD, at(10_000 * n));
    }
    assert_eq!(suspects.trial_in(BAD, at(100_000_000)), None);
    suspects.record_answered(&[BAD], at(100_000_000));
    assert_eq!(held(&suspects), []);
}
