//! Patterns of crashes: what is held, and what is served, over simulated time.

mod site;

use std::time::Duration;

use mastichinge::clock::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::{Effect, Outcome, Site, Stream};
use test_case::test_case;

const CRASH: Effect = Effect::Crash(Duration::from_millis(40));

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A stream of requests with these messages from the second second on.
fn stream(messages: &[&str], effect: Effect, period_ms: u64) -> Stream {
    Stream {
        messages: messages.iter().map(|m| m.to_string()).collect(),
        effect,
        first: seconds(2),
        period: Duration::from_millis(period_ms),
        length: Duration::from_millis(450),
    }
}

/// Sound conversations, all with one system prompt.
fn sound(length_ms: u64) -> Stream {
    Stream {
        first: Moment::ZERO,
        length: Duration::from_millis(length_ms),
        ..stream(&["system", "question {n}"], Effect::Sound, 60)
    }
}

fn run(engines: usize, silent: bool, streams: Vec<Stream>, end: Moment) -> Vec<Outcome> {
    let mut site = Site::new(engines, streams);
    site.silent = silent;
    site.run_until(end);
    site.outcomes
}

/// Checks that no sound request was refused because of crashes, and that few met so many that
/// they were given up.
fn check_sound(outcome: &Outcome) {
    let (served, failed) = (outcome.served.len(), outcome.failed.len());
    assert_eq!(outcome.refused, 0, "{served} served, {failed} failed");
    assert!(failed * 50 <= served, "{served} served, {failed} failed");
}

/// Guards against sound requests that are held because they were near two crashes, and against
/// a request that is sent to engines without end.
#[test_case(false, CRASH, 450; "at once")]
#[test_case(false, Effect::Crash(Duration::from_millis(300)), 450; "after the head")]
#[test_case(false, CRASH, 3_000; "beside long streams")]
#[test_case(false, Effect::CrashFrom(Duration::from_secs(6)), 450; "answered before")]
#[test_case(true, CRASH, 450; "engines fall silent")]
#[test_case(true, Effect::CrashFrom(Duration::from_secs(6)), 450; "silent, answered before")]
fn one_bad_request_costs_few_upstreams_and_no_sound_request(
    silent: bool,
    effect: Effect,
    length_ms: u64,
) {
    let bad = stream(&["system", "bad"], effect, 300);
    let outcomes = run(6, silent, vec![sound(length_ms), bad], seconds(40));
    check_sound(&outcomes[0]);
    assert!(outcomes[1].late(3) <= 3, "{:?}", outcomes[1]);
}

/// Guards against a message that all conversations share and that is held, so that every request
/// is refused, when many different requests crash engines at once.
#[test_case(false, 450; "beside streams of half a second")]
#[test_case(false, 2_000; "beside long streams")]
#[test_case(true, 450; "engines fall silent")]
fn many_bad_requests_at_once_do_not_hold_what_all_share(silent: bool, length_ms: u64) {
    let mut streams = vec![sound(length_ms)];
    for n in 0..12 {
        let messages = ["system", &format!("bad {n}")];
        let first = Duration::from_millis(2_000 + n * 300);
        streams.push(Stream {
            first,
            ..stream(&messages, CRASH, 3_600)
        });
    }
    let outcomes = run(8, silent, streams, seconds(60));
    check_sound(&outcomes[0]);
    for bad in &outcomes[1..] {
        assert!(bad.late(3) <= 3, "{bad:?}");
    }
}

/// Guards against trials that all go to bad requests, so that what all requests share stays held
/// where no engine has ever answered it.
#[test]
fn what_all_share_is_cleared_though_nothing_was_answered_before() {
    let bad = |text| stream(&["system", text, "question {n}"], CRASH, 300);
    let sound = Stream {
        first: seconds(2),
        ..sound(450)
    };
    let streams = vec![sound, bad("one"), bad("two"), bad("three {n}")];
    let outcomes = run(8, false, streams, seconds(20));
    let (served, refused) = (outcomes[0].served.len(), outcomes[0].refused as usize);
    assert!(refused * 10 <= served, "{refused} refused, {served} served");
    assert!(outcomes[1].late(5) <= 3, "{:?}", outcomes[1]);
    assert!(outcomes[2].late(5) <= 3, "{:?}", outcomes[2]);
}

/// Guards against a message on which engines crash and that is never held, because engines answered
/// it before, or because requests with it are never alike.
#[test_case(false, CRASH; "at once")]
#[test_case(false, Effect::CrashFrom(Duration::from_secs(6)); "answered before")]
#[test_case(true, CRASH; "engines fall silent")]
#[test_case(true, Effect::CrashFrom(Duration::from_secs(6)); "silent, answered before")]
fn a_bad_message_costs_few_upstreams_and_no_sound_request(silent: bool, effect: Effect) {
    let bad = stream(&["system", "bad", "question {n}"], effect, 300);
    let outcomes = run(6, silent, vec![sound(450), bad], seconds(60));
    check_sound(&outcomes[0]);
    assert!(outcomes[1].late(5) <= 3, "{:?}", outcomes[1]);
}

/// Guards against a second cause that is not found beside the first one.
#[test]
fn two_bad_messages_at_once_are_both_found() {
    let bad = |text| stream(&["system", text, "question {n}"], CRASH, 300);
    let outcomes = run(
        8,
        false,
        vec![sound(450), bad("one"), bad("two")],
        seconds(60),
    );
    check_sound(&outcomes[0]);
    assert!(outcomes[1].late(5) <= 3, "{:?}", outcomes[1]);
    assert!(outcomes[2].late(5) <= 3, "{:?}", outcomes[2]);
}

/// Guards against requests that are held because the engines of a rack failed.
#[test_case(500; "in five seconds")]
#[test_case(40; "almost at once")]
fn engines_that_fail_by_themselves_hold_nothing(pause_ms: u64) {
    let mut site = Site::new(16, vec![sound(450), sound(3_000)]);
    site.run_until(seconds(5));
    for engine in 0..10 {
        site.crash(engine);
        site.run_until(site.now + Duration::from_millis(pause_ms));
    }
    site.run_until(seconds(40));
    site.outcomes.iter().for_each(check_sound);
}

/// Guards against a hold of what all requests share after all engines failed at once.
#[test]
fn a_site_that_fails_whole_is_served_once_it_is_back() {
    let mut site = Site::new(8, vec![sound(450), sound(3_000)]);
    site.run_until(seconds(5));
    (0..8).for_each(|engine| site.crash(engine));
    site.run_until(seconds(40));
    site.outcomes.iter().for_each(check_sound);
}

/// Guards against a request that is held because it met engines that were restarted.
#[test]
fn a_rolling_restart_holds_nothing() {
    let mut site = Site::new(12, vec![sound(450), sound(3_000)]);
    for engine in 0..12 {
        site.run_until(site.now + seconds(2));
        site.crash(engine);
    }
    site.run_until(seconds(60));
    site.outcomes.iter().for_each(check_sound);
}

/// Guards against trials that add up to more than the rule allows in an hour, where callers come
/// seldom or without pause.
#[test_case(60_000; "one a minute")]
#[test_case(500; "without pause")]
fn a_bad_request_stays_within_the_rule_for_an_hour(period_ms: u64) {
    let bad = stream(&["system", "bad"], CRASH, period_ms);
    let sound = Stream {
        period: seconds(1),
        ..sound(450)
    };
    let outcomes = run(6, false, vec![sound, bad], seconds(3_600));
    check_sound(&outcomes[0]);
    assert!(outcomes[1].late(3) <= 3, "{:?}", outcomes[1]);
}

/// Guards against the same where only a message is alike.
#[test_case(60_000; "one a minute")]
#[test_case(500; "without pause")]
fn a_bad_message_stays_within_the_rule_for_an_hour(period_ms: u64) {
    let bad = stream(&["system", "bad", "question {n}"], CRASH, period_ms);
    let sound = Stream {
        period: seconds(1),
        ..sound(450)
    };
    let outcomes = run(6, false, vec![sound, bad], seconds(3_600));
    check_sound(&outcomes[0]);
    assert!(outcomes[1].late(5) <= 3, "{:?}", outcomes[1]);
}

/// Guards against a hold that outlasts its cause: every request of a route crashed engines until
/// the engines were mended, and nothing was answered any more that could release it.
#[test]
fn a_route_that_crashes_engines_is_held_and_looked_at_again() {
    let streams = vec![Stream {
        first: Moment::ZERO,
        ..stream(
            &["system", "question {n}"],
            Effect::CrashFrom(seconds(5)),
            200,
        )
    }];
    let mut site = Site::new(6, streams);
    site.run_until(seconds(120));
    assert!(site.outcomes[0].late(5) <= 3, "{:?}", site.outcomes[0]);
    site.streams[0].effect = Effect::Sound;
    let before = site.outcomes[0].served.len();
    site.run_until(seconds(2 * 3_600));
    let refused = site.outcomes[0].refused;
    site.run_until(site.now + seconds(60));
    assert!(site.outcomes[0].served.len() > before + 290);
    assert_eq!(site.outcomes[0].refused, refused);
}

/// Draws numbers below a bound, the same ones each run.
struct Draws(ChaCha8Rng);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.random_range(0..bound)
    }
}

/// A bad stream or several with moments, rates and lengths drawn; returns them with the number of
/// crashes from which their sendings are counted.
fn draw_bad(draws: &mut Draws) -> (Vec<Stream>, usize) {
    let effect = match draws.below(2) {
        0 => Effect::Crash(Duration::from_millis(20 + draws.below(400))),
        _ => Effect::CrashFrom(seconds(6)),
    };
    let period = 150 + draws.below(1_500);
    let one = |messages: &[&str], period| stream(messages, effect, period);
    match draws.below(4) {
        0 => (vec![one(&["system", "bad"], period)], 3),
        1 => (vec![one(&["system", "bad", "question {n}"], period)], 5),
        2 => {
            let names = (0..6).map(|n| format!("bad {n}"));
            let streams = names.map(|name| one(&["system", &name], period * 4));
            (streams.collect(), 3)
        }
        _ => {
            let part = |name| one(&["system", name, "question {n}"], period);
            (vec![part("one"), part("two")], 5)
        }
    }
}

/// Guards against a decision that fits only the numbers of the other tests.
#[test]
fn drawn_patterns_keep_the_rule_and_refuse_no_sound_request() {
    let mut draws = Draws(ChaCha8Rng::seed_from_u64(49));
    for _ in 0..100 {
        let engines = 5 + draws.below(12) as usize;
        let mut streams = vec![Stream {
            period: Duration::from_millis(40 + draws.below(200)),
            ..sound(300 + draws.below(2_000))
        }];
        let (bad, counted) = draw_bad(&mut draws);
        streams.extend(bad);
        let outcomes = run(engines, false, streams.clone(), seconds(60));
        let text = format!("{engines} engines, {streams:?}");
        let counted_from = outcomes[1..].iter().map(|o| o.counted_from(counted));
        let settled = counted_from.max().flatten().unwrap_or_default() + seconds(1);
        let later = |arrivals: &[Moment]| arrivals.iter().filter(|at| **at > settled).count();
        let (served, failed) = (later(&outcomes[0].served), later(&outcomes[0].failed));
        let late: Vec<_> = outcomes[1..].iter().map(|o| o.late(counted)).collect();
        assert_eq!(outcomes[0].refused, 0, "{text}");
        assert!(
            failed * 10 <= served,
            "{failed} failed, {served} served: {text}"
        );
        assert!(late.iter().all(|l| *l <= 3), "{late:?}: {text}");
    }
}
