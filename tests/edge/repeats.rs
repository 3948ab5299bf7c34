//! Repeats of requests whose first try has not failed.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::repeats::{Denial, Facts, Repeats, Successor};
use mastichinge::edge::settings::RepeatSettings;
use test_case::test_case;

use crate::fakes::daemon::{Request, read_response, wait};
use crate::fakes::engine::Behavior;
use crate::site::Site;

const MS: Duration = Duration::from_millis(1);
/// Repeats that a host may have saved up for a service.
const SAVED: f64 = 5.0;

fn settings(share: f64) -> RepeatSettings {
    RepeatSettings { share }
}

fn free_engine(elapsed: Duration) -> Facts {
    let successor = Successor {
        running: 3,
        slots: 10,
        wait: MS,
    };
    Facts {
        elapsed,
        draining: false,
        suspect: false,
        has_key: true,
        limited: false,
        waiting: false,
        successor: Some(successor),
    }
}

const COUNT: u64 = 20_000;
const SLOW: Duration = Duration::from_millis(600);

/// Requests of one route, one each 10 ms; returns their times, and when each repeat was sent.
fn play(share: f64, is_slow: impl Fn(u64) -> bool) -> (Vec<Duration>, Vec<u64>) {
    let (route, service): (Arc<str>, Arc<str>) = ("look".into(), "desk".into());
    let mut repeats = Repeats::default();
    let (mut times, mut sent) = (Vec::new(), Vec::new());
    for i in 0..COUNT {
        let now = Moment::from_secs(1) + MS * 10 * i as u32;
        let usual = |n: u64| MS * (30 + (n * 37 % 40) as u32);
        let mut time = match is_slow(i) {
            true => SLOW,
            false => usual(i),
        };
        repeats.record_send(&service, &settings(share));
        let delay = repeats.delay(&route, MS * 300, &settings(share), now);
        if let Some(delay) = delay.filter(|d| *d < time)
            && repeats
                .check(&route, &service, &free_engine(delay), now)
                .is_ok()
        {
            repeats.record_repeat(&service);
            sent.push(i);
            time = time.min(delay + usual(i + 7));
        }
        repeats.record_answer(&route, time, now);
        times.push(time);
    }
    (times, sent)
}

fn quantile(times: &[Duration], part: f64) -> Duration {
    let mut sorted = times.to_vec();
    sorted.sort();
    sorted[(part * sorted.len() as f64) as usize]
}

/// Guards against repeats that don't help the slowest answers, change the others, or cost more than
/// the operator's share.
#[test]
fn a_slow_engine_among_fast_ones_costs_the_slowest_answers_less() {
    let (before, none) = play(0.0, |i| i % 40 == 0);
    let (after, sent) = play(0.05, |i| i % 40 == 0);
    assert_eq!(none, Vec::<u64>::new());
    assert_eq!(quantile(&before, 0.99), SLOW);
    assert!(quantile(&after, 0.99) < MS * 200);
    assert_eq!(quantile(&after, 0.5), quantile(&before, 0.5));
    assert!(sent.len() as f64 <= 0.05 * COUNT as f64, "{}", sent.len());
}

/// Guards against a share that holds only on average: requests in a row become slow.
#[test]
fn the_share_holds_over_any_window() {
    let (_, sent) = play(0.02, |i| i % 4_000 > 3_960);
    assert!(sent.len() as f64 > SAVED);
    for (index, first) in sent.iter().enumerate() {
        for (count, last) in sent[index..].iter().enumerate() {
            let allowed = SAVED + 0.02 * (last - first + 1) as f64;
            assert!((count + 1) as f64 <= allowed, "{first} to {last}");
        }
    }
}

/// Guards against a delay that rests on a few answers, or on those of another time: half of the
/// objective takes its place, as many hosts have few requests of a route each.
#[test]
fn a_route_with_few_recent_answers_has_half_of_its_objective_as_delay() {
    let route: Arc<str> = "look".into();
    let mut repeats = Repeats::default();
    let now = Moment::from_secs(1);
    for _ in 0..99 {
        repeats.record_answer(&route, MS * 5, now);
    }
    let half = Some(MS * 150);
    assert_eq!(repeats.delay(&route, MS * 300, &settings(0.02), now), half);
    repeats.record_answer(&route, MS * 5, now);
    // The floor.
    assert_eq!(
        repeats.delay(&route, MS * 300, &settings(0.02), now),
        Some(MS * 20)
    );
    assert_eq!(repeats.delay(&route, MS * 300, &settings(0.0), now), None);
    let later = now + Duration::from_secs(60);
    assert_eq!(
        repeats.delay(&route, MS * 300, &settings(0.02), later),
        half
    );
}

/// Guards against repeats that add load where it is short, or break a rule of another part.
#[test_case(|f, _| f.draining = true => Err(Denial::Draining); "the host shuts down")]
#[test_case(|f, _| f.suspect = true => Err(Denial::Suspect); "it may crash engines")]
#[test_case(|f, _| f.limited = true => Err(Denial::Limited); "an engine named a rate")]
#[test_case(|f, _| f.waiting = true => Err(Denial::Overload); "requests wait")]
#[test_case(|f, _| f.successor = None => Err(Denial::Busy); "no other engine")]
#[test_case(|f, _| f.successor.as_mut().unwrap().running = 8 => Err(Denial::Busy); "a full engine")]
#[test_case(|f, _| f.successor.as_mut().unwrap().wait = MS * 900 => Err(Denial::NotSooner);
    "the other would answer later")]
#[test_case(|_, r| r.record_refused(&"desk".into(), Moment::from_secs(9)) => Err(Denial::Overload);
    "one was refused")]
#[test_case(|_, r| r.record_refused(&"desk".into(), Moment::from_secs(7)) => Ok(());
    "one was refused before")]
#[test_case(|_, r| (0..5).for_each(|_| r.record_repeat("desk")) => Err(Denial::Share);
    "the share is used up")]
#[test_case(|_, _| {} => Ok(()); "nothing is against it")]
fn a_repeat_is_denied_when(change: fn(&mut Facts, &mut Repeats)) -> Result<(), Denial> {
    let now = Moment::from_secs(10);
    let mut repeats = Repeats::default();
    for i in 0..500 {
        repeats.record_send(&"desk".into(), &settings(0.02));
        let slow = i % 20 == 0;
        repeats.record_answer(&"look".into(), if slow { MS * 600 } else { MS * 40 }, now);
    }
    let mut facts = free_engine(MS * 50);
    change(&mut facts, &mut repeats);
    repeats.check("look", "desk", &facts, now)
}

/// Starts a deployment that repeats requests, with enough answers of the route.
fn site() -> Site {
    let site = Site::start();
    site.daemon
        .write_settings(|s| s["repeats"]["share"] = 0.2.into());
    site.daemon.signal(libc::SIGHUP);
    wait("the new settings", || {
        !site.daemon.logged("settings reloaded").is_empty()
    });
    for i in 0..110 {
        assert_eq!(site.send("/look/", &format!("w{i}")).status, 200);
    }
    site
}

/// Returns how the races of a request have ended.
fn ends(site: &Site, id: &str) -> Vec<(String, bool)> {
    let lines = site.daemon.logged("repeat ended");
    let of_request = lines.iter().filter(|l| l["request"] == id);
    let end = |l: &serde_json::Value| {
        let outcome = l["outcome"].as_str().unwrap().to_owned();
        (outcome, l["cancelled"].as_bool().unwrap())
    };
    of_request.map(end).collect()
}

/// Guards against a loser that goes on, and against a caller that gets two answers or that of
/// another request: the loser answers after all.
#[test_case(Behavior::Silent; "and never answers")]
#[test_case(Behavior::StallAtRequest; "and answers later")]
fn the_first_answer_wins_when_an_engine_is_slow(behavior: Behavior) {
    let site = site();
    site.plain[0].set_behavior(behavior);
    let mut caller = site.connect();
    let mut send = |id: &str| {
        let request = Request::new("/look/", id).bytes(false);
        std::io::Write::write_all(&mut caller, &request).unwrap();
        let answer = read_response(&mut caller);
        assert_eq!(
            (answer.status, &*answer.body),
            (200, &*format!("answer to {id}"))
        );
    };
    let mut ids = (0..).map(|i| format!("r{i}"));
    let slow = ids.find(|id| {
        send(id);
        site.plain[0].runs(id) > 0
    });
    let slow = slow.unwrap();
    wait("the end of the race", || !ends(&site, &slow).is_empty());
    assert_eq!(ends(&site, &slow), [("won".to_owned(), true)]);
    assert_eq!(site.arrivals(&slow), 2);
    match behavior {
        Behavior::Silent => wait("its cancellation", || {
            site.plain[0].cancelled().contains(&slow)
        }),
        _ => wait("the end of its run", || {
            let spans = site.plain[0].run_spans(&slow);
            spans.iter().all(|s| s.end.is_some())
        }),
    }
    site.plain[0].set_behavior(Behavior::Correct);
    ids.take(3).for_each(|id| send(&id));
}

/// Guards against a request that ends without the first engine's answer because the second, which
/// got the repeat, rejects it or breaks off.
#[test_case(Behavior::Full; "it rejects")]
#[test_case(Behavior::Reset; "it breaks off")]
fn a_slow_answer_comes_when_the_second_engine_cannot(other: Behavior) {
    let site = site();
    site.set(Behavior::StallAtRequest);
    let answer = std::thread::scope(|scope| {
        let sending = scope.spawn(|| site.send("/look/", "r1"));
        wait("a stalled engine", || {
            site.plain.iter().any(|e| e.has_stalled())
        });
        let others = site.plain.iter().filter(|e| !e.has_stalled());
        others.for_each(|e| e.set_behavior(other));
        sending.join().unwrap()
    });
    println!("repeats: {:?}", ends(&site, "r1"));
    assert_eq!((answer.status, &*answer.body), (200, "answer to r1"));
}
