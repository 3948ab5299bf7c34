//! Each check finds a history in which its promise is broken, and no other.

use std::time::Duration;

use test_case::test_case;

use crate::checks::{Rule, violations};
use crate::engine_faults::EngineFault;
use crate::left_runs::taken_up_running;
use crate::links::{Link, disturbed};
use crate::record::{
    Answer, Attempt, DesiredWrite, EngineStep, History, Kind, Outcome, PartCrash, RateSpan,
    ReceivedOrder, RunSpan, Span, Step, TakeUp, answer_body, event_count, event_text,
    repeated_name,
};
use crate::relay::LinkFault;

const ID: &str = "1-1-1";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a correct response to the request.
fn answer(kind: Kind) -> Answer {
    let events = (1..=event_count(ID)).map(|n| event_text(ID, n, "v1"));
    Answer {
        status: 200,
        id: ID.to_owned(),
        stamp: format!("desk0.{ID}"),
        body: match kind.is_stream() {
            true => events.collect::<String>().into_bytes(),
            false => answer_body(ID),
        },
        complete: true,
        ..Answer::default()
    }
}

/// Returns an answer of a daemon itself.
fn refusal(status: u16) -> Outcome {
    Outcome::Answered(Answer {
        status,
        id: ID.to_owned(),
        complete: true,
        ..Answer::default()
    })
}

/// Returns the history of one request, which took from 1.0 s to 1.8 s and ran as
/// `steps` say.
fn history(kind: Kind, outcome: Outcome, steps: &[Step]) -> History {
    let attempt = Attempt {
        kind,
        extra_route: None,
        daemon: 0,
        reused: false,
        started_at: at(1_000),
        sent_at: Some(at(1_010)),
        ended_at: at(1_800),
        time_limit: at(4_000),
        take_up: None,
        broken_off: false,
        outcome,
    };
    let mut history = History::default();
    history.attempts.insert(ID.to_owned(), attempt);
    let recorded = steps.iter().map(|step| EngineStep {
        engine: "desk0".to_owned(),
        at: at(1_100),
        step: step.clone(),
    });
    history.steps.insert(ID.to_owned(), recorded.collect());
    history
}

/// Steps of an engine that runs a request and answers it.
const RUN: [Step; 4] = [
    Step::Arrived(None),
    Step::Began(true),
    Step::Ended,
    Step::Answered(200),
];

fn broken_rules(history: &History) -> Vec<Rule> {
    violations(history).iter().map(|v| v.rule).collect()
}

#[test_case(Kind::Lookup; "lookup")]
#[test_case(Kind::Booking; "booking")]
#[test_case(Kind::Stream; "stream")]
#[test_case(Kind::RigidStream; "rigid stream")]
fn a_correct_response_breaks_no_rule(kind: Kind) {
    let history = history(kind, Outcome::Answered(answer(kind)), &RUN);
    assert_eq!(broken_rules(&history), []);
}

#[test_case(429)]
#[test_case(503)]
#[test_case(408)]
#[test_case(421)]
fn a_run_of_a_booking_that_was_refused_is_found(status: u16) {
    let ran = history(Kind::Booking, refusal(status), &RUN);
    assert_eq!(broken_rules(&ran), [Rule::Refused]);
    let rejected = [Step::Arrived(None), Step::Answered(503)];
    let not_run = history(Kind::Booking, refusal(status), &rejected);
    assert_eq!(broken_rules(&not_run), []);
    let lookup = history(Kind::Lookup, refusal(status), &RUN);
    assert_eq!(broken_rules(&lookup), []);
}

#[test_case(Kind::Booking; "booking")]
#[test_case(Kind::RigidStream; "rigid stream")]
fn a_second_run_is_found(kind: Kind) {
    let steps = [&RUN[..], &RUN[..]].concat();
    let twice = history(kind, Outcome::Answered(answer(kind)), &steps);
    assert_eq!(broken_rules(&twice), [Rule::Twice]);
    let left = history(kind, Outcome::Left, &steps);
    assert_eq!(broken_rules(&left), [Rule::Twice]);
}

/// Returns the history of a request of which each try ended with an outcome and took these steps.
fn history_of_tries(kind: Kind, tries: &[(Outcome, &[Step])]) -> History {
    let mut whole = History::default();
    for (number, (outcome, steps)) in tries.iter().enumerate() {
        let name = format!("1-1-{}", number + 1);
        let mut outcome = outcome.clone();
        if let Outcome::Answered(answer) = &mut outcome {
            answer.id.clone_from(&name);
            answer.stamp = answer.stamp.replace(ID, &name);
            if answer.status == 200 {
                answer.body = answer_body(&name);
            }
        }
        let one = history(kind, outcome, steps);
        let attempts = one.attempts.into_values().map(|a| (name.clone(), a));
        whole.attempts.extend(attempts);
        let steps = one.steps.into_values().map(|s| (name.clone(), s));
        whole.steps.extend(steps);
        whole.tries.entry(ID.to_owned()).or_default().push(name);
    }
    whole
}

/// Guards against runs of a booking at several of its tries, each of which ran once only.
#[test]
fn a_booking_of_which_two_tries_ran_is_found() {
    let done = || Outcome::Answered(answer(Kind::Booking));
    let rules = |kind, tries: &[_]| broken_rules(&history_of_tries(kind, tries));
    let failed = Outcome::NotSent;
    let twice = [(failed.clone(), &RUN[..]), (done(), &RUN[..])];
    assert_eq!(rules(Kind::Booking, &twice), [Rule::Twice]);
    assert_eq!(rules(Kind::Lookup, &twice), []);
    let once = [(refusal(503), &[][..]), (failed, &[]), (done(), &RUN)];
    assert_eq!(rules(Kind::Booking, &once), []);
    let false_promise = [(refusal(503), &RUN[..]), (done(), &RUN)];
    assert_eq!(
        rules(Kind::Booking, &false_promise),
        [Rule::Refused, Rule::Twice]
    );
}

/// Guards against a last refusal of a booking that ran at an earlier try.
#[test_case(429)]
#[test_case(503)]
#[test_case(408)]
#[test_case(421)]
fn a_refused_booking_of_which_an_earlier_try_ran_is_found(status: u16) {
    let rules = |kind, tries: &[_]| broken_rules(&history_of_tries(kind, tries));
    let ran = [(Outcome::NotSent, &RUN[..]), (refusal(status), &[])];
    assert_eq!(rules(Kind::Booking, &ran), [Rule::Refused]);
    assert_eq!(rules(Kind::Lookup, &ran), []);
    let not_run = [(refusal(503), &[][..]), (refusal(status), &[])];
    assert_eq!(rules(Kind::Booking, &not_run), []);
    let failed = [(Outcome::NotSent, &RUN[..]), (refusal(502), &[])];
    assert_eq!(rules(Kind::Booking, &failed), [], "no promise");
}

/// Guards against faults of links that excuse more than the daemons at the link, or runs.
#[test]
fn faults_of_links_excuse_losses_at_their_daemons_and_no_runs() {
    let cut = LinkFault::Cut { refuses: true };
    let delay = LinkFault::Delay(at(100));
    assert_eq!(disturbed(Link::Callers(1), cut, 3), 1..2);
    assert_eq!(disturbed(Link::Store(0), cut, 3), 0..1);
    assert_eq!(disturbed(Link::Engine(5), cut, 3), 0..3);
    assert!(disturbed(Link::Engine(5), delay, 3).is_empty());
    let with_spans = |mut history: History| {
        history.spans = disturbed(Link::Engine(5), cut, 3)
            .map(|daemon| stop_of(daemon, 500, 2_500))
            .collect();
        broken_rules(&history)
    };
    let lost = history(Kind::Booking, Outcome::Closed, &RUN);
    assert_eq!(with_spans(lost), []);
    let refused = history(Kind::Booking, refusal(503), &RUN);
    assert_eq!(with_spans(refused), [Rule::Refused]);
    let done = Outcome::Answered(answer(Kind::Booking));
    let twice = [(refusal(503), &RUN[..]), (done, &RUN)];
    let twice = history_of_tries(Kind::Booking, &twice);
    assert_eq!(with_spans(twice), [Rule::Refused, Rule::Twice]);
}

/// Guards against counting the run of one try at another that has the same id.
#[test]
fn tries_that_share_an_id_are_told_apart() {
    let mut history = history_of_tries(
        Kind::Booking,
        &[
            (refusal(503), &[]),
            (Outcome::Answered(answer(Kind::Booking)), &RUN),
        ],
    );
    let name = repeated_name(ID, 1);
    let mut attempt = history.attempts.remove("1-1-2").unwrap();
    attempt.outcome = Outcome::Answered(answer(Kind::Booking));
    history.attempts.insert(name.clone(), attempt);
    let steps = history.steps.remove("1-1-2").unwrap();
    history.steps.insert(name.clone(), steps);
    history
        .tries
        .insert(ID.to_owned(), vec![ID.to_owned(), name.clone()]);
    assert_eq!(broken_rules(&history), []);
    history.attempts.get_mut(&name).unwrap().outcome = refusal(503);
    assert_eq!(broken_rules(&history), [Rule::Refused]);
}

#[test]
fn a_response_that_is_not_the_engines_is_found() {
    let changes: [fn(&mut Answer); 6] = [
        |a| a.id = "1-1-2".to_owned(),
        |a| a.stamp.clear(),
        |a| a.stamp = "desk0.1-1-2".to_owned(),
        |a| a.stamp = "desk0".to_owned(),
        |a| a.body.truncate(3),
        // An engine answered 200.
        |a| a.status = 500,
    ];
    for change in changes {
        let mut answer = answer(Kind::Booking);
        change(&mut answer);
        let history = history(Kind::Booking, Outcome::Answered(answer.clone()), &RUN);
        assert_eq!(broken_rules(&history), [Rule::Mixed], "{answer:?}");
    }
}

/// Guards against responses without an id, other than that a head has not arrived in time.
#[test]
fn a_response_without_an_id_is_found_unless_no_head_was_read() {
    let slow = |change: fn(&mut Answer), steps: &[Step]| {
        let mut slow = Answer {
            status: 408,
            closes: true,
            complete: true,
            ..Answer::default()
        };
        change(&mut slow);
        history(Kind::Booking, Outcome::Answered(slow), steps)
    };
    let calm = slow(|_| {}, &[]);
    assert_eq!(broken_rules(&calm), [Rule::Mixed], "the head was sent");
    let mut unsent = calm;
    unsent.attempts.get_mut(ID).unwrap().sent_at = None;
    assert_eq!(broken_rules(&unsent), []);
    let rules = |change: fn(&mut Answer), steps: &[Step]| {
        let mut disturbed = slow(change, steps);
        disturbed.spans.push(stop_of(0, 500, 2_500));
        broken_rules(&disturbed)
    };
    assert_eq!(rules(|_| {}, &[]), []);
    assert_eq!(rules(|_| {}, &[Step::Arrived(None)]), [Rule::Mixed]);
    let changes: [fn(&mut Answer); 4] = [
        |a| a.status = 503,
        |a| a.id = "1-1-2".to_owned(),
        |a| a.closes = false,
        |a| a.stamp = format!("desk0.{ID}"),
    ];
    for change in changes {
        assert_eq!(rules(change, &[]), [Rule::Mixed]);
    }
}

#[test]
fn events_that_miss_come_twice_or_belong_to_another_request_are_found() {
    let whole = |events: &[u64]| -> Vec<u8> {
        let texts = events.iter().map(|n| event_text(ID, *n, "v1"));
        texts.collect::<String>().into_bytes()
    };
    let other = event_text("1-1-2", 1, "v1").into_bytes();
    for body in [whole(&[1, 3]), whole(&[1, 1, 2]), whole(&[2]), other] {
        for complete in [true, false] {
            let answer = Answer {
                body: body.clone(),
                complete,
                ..answer(Kind::Stream)
            };
            let mut steps = RUN.to_vec();
            steps.push(Step::Cut);
            let history = history(Kind::Stream, Outcome::Answered(answer), &steps);
            assert_eq!(broken_rules(&history), [Rule::Order]);
        }
    }
    let early = Answer {
        body: whole(&[1, 2]),
        ..answer(Kind::Stream)
    };
    let early = history(Kind::Stream, Outcome::Answered(early), &RUN);
    assert_eq!(broken_rules(&early), [Rule::Order]);
}

#[test]
fn a_changed_body_and_a_refused_path_are_found() {
    let steps = [Step::Arrived(None), Step::Began(false), Step::Answered(200)];
    let changed = history(
        Kind::Booking,
        Outcome::Answered(answer(Kind::Booking)),
        &steps,
    );
    assert_eq!(broken_rules(&changed), [Rule::Changed]);
    let denied = history(Kind::Booking, refusal(404), &[]);
    assert_eq!(broken_rules(&denied), [Rule::Denied]);
}

/// Returns the ways in which a request may get no complete response.
fn losses(kind: Kind) -> [Outcome; 3] {
    let truncated = Answer {
        body: Vec::new(),
        complete: false,
        ..answer(kind)
    };
    [
        Outcome::Answered(truncated),
        Outcome::Closed,
        Outcome::TimedOut,
    ]
}

#[test]
fn a_lost_request_is_found() {
    for outcome in losses(Kind::Booking) {
        let lost = history(Kind::Booking, outcome.clone(), &RUN);
        assert_eq!(broken_rules(&lost), [Rule::Lost], "{outcome:?}");
        // An engine's silence is no reason.
        let silent = [
            Step::Arrived(Some(EngineFault::SilenceAfter)),
            Step::Began(true),
            Step::Answered(200),
        ];
        let lost = history(Kind::Booking, outcome, &silent);
        assert_eq!(broken_rules(&lost), [Rule::Lost]);
    }
    let unread = history(Kind::Booking, Outcome::Closed, &[]);
    assert_eq!(
        broken_rules(&unread),
        [Rule::Lost],
        "closed long after its last byte"
    );
}

#[test]
fn a_request_that_is_given_up_at_a_silent_engine_is_found() {
    let silent = |fault| vec![Step::Arrived(fault), Step::Began(true)];
    for fault in [None, Some(EngineFault::SilenceAfter)] {
        let given_up = history(Kind::Booking, refusal(504), &silent(fault));
        assert_eq!(broken_rules(&given_up), [Rule::GivenUp]);
    }
    let hung = silent(Some(EngineFault::Hang));
    assert_eq!(
        broken_rules(&history(Kind::Booking, refusal(504), &hung)),
        []
    );
    let mut late = history(Kind::Booking, refusal(504), &silent(None));
    late.attempts.get_mut(ID).unwrap().ended_at = at(4_900);
    assert_eq!(broken_rules(&late), []);
}

#[test]
fn a_loss_is_excused_by_its_engine_or_by_its_daemons_stop() {
    let outcome = || Outcome::Closed;
    for step in [Step::Arrived(Some(EngineFault::ResetRun)), Step::Cut] {
        let steps = [Step::Arrived(None), Step::Began(true), step];
        let history = history(Kind::Booking, outcome(), &steps);
        assert_eq!(broken_rules(&history), []);
    }
    let span = |daemon, start, end, planned| Span {
        daemon,
        start: at(start),
        end: at(end),
        planned,
    };
    let with_span = |span| {
        let mut history = history(Kind::Booking, outcome(), &RUN);
        history.spans.push(span);
        broken_rules(&history)
    };
    assert_eq!(with_span(span(0, 1_500, 2_500, false)), []);
    assert_eq!(with_span(span(1, 1_500, 2_500, false)), [Rule::Lost]);
    assert_eq!(with_span(span(0, 2_000, 2_500, false)), [Rule::Lost]);
    // A shutdown excuses nothing until late in its grace period.
    assert_eq!(with_span(span(0, 900, 3_900, true)), [Rule::Lost]);
}

/// Returns a history in which `desk0` said at 1.1 s that it leaves or asked for a pause, and
/// got further requests, sent by the daemon at these times.
fn history_with_statement(leaving: bool, daemon: usize, later: &[u64]) -> History {
    let steps = match leaving {
        true => RUN.to_vec(),
        false => vec![
            Step::Arrived(Some(EngineFault::RejectPause)),
            Step::Answered(503),
            Step::Paused(at(2_000)),
        ],
    };
    let answer = match leaving {
        true => Outcome::Answered(Answer {
            leaving: true,
            head_at: at(1_100),
            ..answer(Kind::Booking)
        }),
        false => refusal(503),
    };
    let mut history = history(Kind::Booking, answer, &steps);
    for (number, ms) in later.iter().enumerate() {
        let id = format!("1-1-{}", number + 2);
        let attempt = Attempt {
            daemon,
            started_at: at(*ms),
            outcome: Outcome::Left,
            ..history.attempts[ID].clone()
        };
        history.attempts.insert(id.clone(), attempt);
        let arrived = EngineStep {
            engine: "desk0".to_owned(),
            at: at(*ms + 10),
            step: Step::Arrived(None),
        };
        history.steps.insert(id, vec![arrived]);
    }
    history
}

fn stop_of(daemon: usize, start: u64, end: u64) -> Span {
    Span {
        daemon,
        start: at(start),
        end: at(end),
        planned: false,
    }
}

#[test]
fn a_request_at_an_engine_that_leaves_is_found() {
    let rules = |daemon, ms| broken_rules(&history_with_statement(true, daemon, &[ms]));
    assert_eq!(rules(0, 1_500), [Rule::Drain]);
    assert_eq!(rules(0, 1_350), [], "within the drain time");
    assert_eq!(rules(1, 1_500), [], "from another daemon");
    let mut misdirected = history_with_statement(true, 0, &[1_500]);
    let steps = misdirected.steps.get_mut("1-1-2").unwrap();
    steps.push(EngineStep {
        step: Step::Answered(421),
        ..steps[0].clone()
    });
    assert_eq!(broken_rules(&misdirected), []);
    let mut other = history_with_statement(true, 0, &[1_500]);
    other.steps.get_mut("1-1-2").unwrap()[0].engine = "desk1".to_owned();
    assert_eq!(broken_rules(&other), []);
    let mut frozen = history_with_statement(true, 0, &[1_500]);
    frozen.spans.push(stop_of(0, 1_200, 1_400));
    assert_eq!(broken_rules(&frozen), []);
    frozen.spans[0] = stop_of(0, 500, 1_000);
    assert_eq!(broken_rules(&frozen), [Rule::Drain]);
}

#[test]
fn requests_at_an_engine_in_its_pause_are_found() {
    let rules = |daemon, times| broken_rules(&history_with_statement(false, daemon, times));
    assert_eq!(rules(0, &[1_700, 1_800, 2_900]), [Rule::Budget]);
    assert_eq!(rules(0, &[1_700, 1_800]), [], "two are allowed");
    assert_eq!(rules(0, &[1_300, 1_800, 2_900]), [], "one before the pause");
    assert_eq!(rules(0, &[1_700, 1_800, 3_200]), [], "one after it");
    assert_eq!(rules(1, &[1_700, 1_800, 2_900]), [], "another daemon");
    let mut frozen = history_with_statement(false, 0, &[1_700, 1_800, 2_900]);
    frozen.spans.push(stop_of(0, 2_000, 2_500));
    assert_eq!(broken_rules(&frozen), []);
}

/// Returns a history in which `desk0` named a rate of 1 a second from 1 s on and told `told` by an
/// answer at 1.1 s, and got `count` requests from two daemons from 3 s on.
fn history_with_rate(told: &[usize], count: u64) -> History {
    let mut history = History::default();
    let answer = |id: &str| Answer {
        rate: Some(1.0),
        head_at: at(1_100),
        id: id.to_owned(),
        stamp: format!("desk0.{id}"),
        body: answer_body(id),
        ..answer(Kind::Lookup)
    };
    let mut add = |id: String, daemon, ms, outcome| {
        let attempt = Attempt {
            kind: Kind::Lookup,
            extra_route: None,
            daemon,
            reused: false,
            started_at: at(ms),
            sent_at: Some(at(ms)),
            ended_at: at(ms + 100),
            time_limit: at(4_000),
            take_up: None,
            broken_off: false,
            outcome,
        };
        history.attempts.insert(id.clone(), attempt);
        let steps = RUN.iter().map(|step| EngineStep {
            engine: "desk0".to_owned(),
            at: at(ms + 50),
            step: step.clone(),
        });
        history.steps.insert(id, steps.collect());
    };
    for daemon in told {
        let id = format!("{daemon}-1-0");
        let outcome = Outcome::Answered(answer(&id));
        add(id, *daemon, 1_000, outcome);
    }
    for n in 0..count {
        let daemon = (n % 2) as usize;
        add(format!("1-2-{n}"), daemon, 3_000 + 300 * n, Outcome::Left);
    }
    history.rates.push(RateSpan {
        engine: "desk0".to_owned(),
        rate: 1.0,
        start: at(1_000),
        end: at(20_000),
    });
    history
}

#[test]
fn requests_beyond_the_rate_of_an_engine_are_found() {
    let rules = |told: &[usize], count| broken_rules(&history_with_rate(told, count));
    assert_eq!(rules(&[0, 1], 12), [Rule::Limit]);
    assert_eq!(rules(&[0, 1], 11), [], "eleven are allowed");
    assert_eq!(rules(&[0], 20), [], "ten of a daemon that was told");
    let mut frozen = history_with_rate(&[0, 1], 12);
    frozen.spans.push(stop_of(0, 2_000, 2_500));
    assert_eq!(broken_rules(&frozen), []);
    let mut ended = history_with_rate(&[0, 1], 20);
    ended.rates[0].end = at(5_000);
    assert_eq!(broken_rules(&ended), []);
}

/// Returns a history in which a request of 20 s for the additional route 1 was answered with
/// `status`, after desired states with these numbers of routes had been written.
fn history_with_routes(status: u16, writes: &[(u64, u64)]) -> History {
    let outcome = match status {
        200 => Outcome::Answered(answer(Kind::Lookup)),
        _ => refusal(status),
    };
    let steps = match status {
        200 => &RUN[..],
        _ => &[],
    };
    let mut history = history(Kind::Lookup, outcome, steps);
    let attempt = history.attempts.get_mut(ID).unwrap();
    (attempt.started_at, attempt.ended_at) = (at(20_000), at(20_100));
    attempt.sent_at = Some(at(20_000));
    attempt.extra_route = Some(1);
    let desired = writes.iter().map(|(ms, extra_routes)| DesiredWrite {
        at: at(*ms),
        extra_routes: *extra_routes,
    });
    history.desired = desired.collect();
    history
}

#[test]
fn a_request_that_is_handled_as_an_older_desired_state_allows_is_found() {
    let rules = |status, writes: &[_]| broken_rules(&history_with_routes(status, writes));
    assert_eq!(rules(404, &[(0, 0), (10_000, 2)]), [Rule::Config]);
    assert_eq!(rules(200, &[(0, 2), (10_000, 1)]), [Rule::Config]);
    assert_eq!(rules(404, &[(0, 2), (10_000, 1)]), []);
    assert_eq!(rules(200, &[(0, 0), (10_000, 2)]), []);
    for status in [200, 404] {
        assert_eq!(
            rules(status, &[(0, 0), (19_000, 2)]),
            [],
            "{status}, both apply"
        );
    }
    let mut cut = history_with_routes(404, &[(0, 0), (10_000, 2)]);
    cut.store_spans.push((at(9_000), at(18_500)));
    assert_eq!(broken_rules(&cut), []);
    cut.store_spans = vec![(at(9_000), at(12_000))];
    assert_eq!(broken_rules(&cut), [Rule::Config]);
    cut.spans.push(stop_of(0, 18_000, 19_000));
    assert_eq!(broken_rules(&cut), []);
}

#[test]
fn two_daemons_that_give_orders_under_one_number_are_found() {
    let orders = |given: &[(&str, u64)]| {
        let orders = given.iter().map(|(holder, fence)| ReceivedOrder {
            engine: "models0".to_owned(),
            holder: (*holder).to_owned(),
            fence: *fence,
        });
        broken_rules(&History {
            orders: orders.collect(),
            ..History::default()
        })
    };
    assert_eq!(orders(&[("edge-0", 1), ("edge-1", 2), ("edge-0", 1)]), []);
    assert_eq!(orders(&[("edge-0", 1), ("edge-1", 1)]), [Rule::One]);
}

/// Returns a history with `crashes` on one part from 2 s on, two requests with it for each daemon
/// and second from 6.5 s on, and sound streams all the time of which `ran` in ten ran after the
/// crashes. Every second daemon gets every second request.
fn history_with_part(crashes: u64, late: u64, ran: u64) -> History {
    let mut history = History::default();
    let mut add = |id: String, daemon, ms, steps: &[Step]| {
        let mut one = history_of(&id, daemon, ms, steps);
        history.attempts.append(&mut one.attempts);
        history.steps.append(&mut one.steps);
    };
    for n in 0..late {
        let id = format!("1-{n}-1-c0");
        add(
            id,
            (n % 2) as usize,
            6_500 + 400 * n,
            &[Step::Arrived(None)],
        );
    }
    add("1-99-1-c0".to_owned(), 0, 14_800, &[]);
    for n in 0..150 {
        let ms = 100 * n;
        let runs = ms < 3_000 || n % 10 < ran;
        let steps = if runs { &RUN[..] } else { &[] };
        add(format!("1-{n}-2"), (n % 2) as usize, ms, steps);
    }
    let crashes = (0..crashes).map(|n| PartCrash {
        part: 0x91bd_3f06,
        at: at(2_000 + 200 * n),
    });
    history.part_crashes = crashes.collect();
    history
}

/// Returns the history of one stream's request that ran as `steps` say.
fn history_of(id: &str, daemon: usize, ms: u64, steps: &[Step]) -> History {
    let attempt = Attempt {
        kind: Kind::Stream,
        extra_route: None,
        daemon,
        reused: false,
        started_at: at(ms),
        sent_at: Some(at(ms)),
        ended_at: at(ms + 50),
        time_limit: at(4_000),
        take_up: None,
        broken_off: false,
        outcome: Outcome::Left,
    };
    let steps = steps.iter().map(|step| EngineStep {
        engine: "models0".to_owned(),
        at: at(ms + 10),
        step: step.clone(),
    });
    let mut history = History::default();
    history.attempts.insert(id.to_owned(), attempt);
    history.steps.insert(id.to_owned(), steps.collect());
    history
}

#[test]
fn requests_with_a_part_that_has_crashed_five_engines_are_found() {
    let rules = |crashes, late| broken_rules(&history_with_part(crashes, late, 10));
    assert_eq!(rules(5, 4), [Rule::Budget], "two of each daemon");
    assert_eq!(rules(5, 3), [], "three are allowed");
    assert_eq!(rules(4, 8), [], "four crashes");
    let mut frozen = history_with_part(5, 4, 10);
    frozen.spans.push(stop_of(0, 5_000, 5_500));
    assert_eq!(broken_rules(&frozen), []);
    let mut away = history_with_part(5, 4, 10);
    away.store_spans.push((at(4_000), at(8_000)));
    assert_eq!(broken_rules(&away), []);
}

#[test]
fn sound_requests_that_do_not_run_while_others_crash_engines_are_found() {
    let rules = |ran| broken_rules(&history_with_part(5, 0, ran));
    assert_eq!(rules(4), [Rule::Lost]);
    assert_eq!(rules(5), [], "half of them ran");
    let mut over = history_with_part(5, 0, 0);
    over.attempts.remove("1-99-1-c0");
    assert_eq!(
        broken_rules(&over),
        [],
        "no request with the part came any more"
    );
    let mut limited = history_with_part(5, 0, 0);
    let rate = |engine: &str| RateSpan {
        engine: engine.to_owned(),
        rate: 0.0,
        start: at(8_000),
        end: at(14_000),
    };
    limited.rates = vec![rate("desk0")];
    assert_eq!(broken_rules(&limited), [Rule::Lost], "another service");
    limited.rates = vec![rate("models0")];
    assert_eq!(broken_rules(&limited), [], "a rate explains it");
}

/// Returns a history of a lookup that began at `desk0` at 1.1 s and ran there until `end`, and
/// began at another engine at 1.3 s.
fn history_with_left_run(end: Option<u64>) -> History {
    let mut history = history(
        Kind::Lookup,
        Outcome::Answered(answer(Kind::Lookup)),
        &[&RUN[..], &RUN[..]].concat(),
    );
    let run = |engine: &str, start, end: Option<u64>| RunSpan {
        id: ID.to_owned(),
        engine: engine.to_owned(),
        arrived_at: at(start - 10),
        start: at(start),
        end: end.map(at),
        after: 0,
    };
    history.runs = vec![run("desk0", 1_100, end), run("desk1", 1_300, Some(1_320))];
    history
}

#[test]
fn a_run_that_goes_on_after_its_request_went_on_elsewhere_is_found() {
    let rules = |end| broken_rules(&history_with_left_run(end));
    assert_eq!(rules(Some(1_750)), [Rule::Twice]);
    assert_eq!(rules(None), [Rule::Twice]);
    assert_eq!(rules(Some(1_650)), [], "within 400 ms");
    assert_eq!(rules(Some(1_200)), [], "ended before");
    let mut same = history_with_left_run(Some(1_750));
    same.runs[1].engine = "desk0".to_owned();
    assert_eq!(broken_rules(&same), [], "at the same engine");
    let mut other = history_with_left_run(Some(1_750));
    other.runs[1].id = "1-1-2".to_owned();
    assert_eq!(broken_rules(&other), [], "of another request");
    let mut late = history_with_left_run(Some(2_500));
    late.runs[0].start = at(1_900);
    assert_eq!(broken_rules(&late), [], "began when the other had ended");
    let mut frozen = history_with_left_run(Some(1_750));
    frozen.spans.push(stop_of(1, 500, 800));
    assert_eq!(broken_rules(&frozen), [Rule::Twice], "another daemon");
    frozen.spans.push(stop_of(0, 500, 800));
    assert_eq!(broken_rules(&frozen), [], "its daemon had been stopped");
    frozen.spans[1] = stop_of(0, 100, 250);
    assert_eq!(broken_rules(&frozen), [Rule::Twice], "long before");
}

#[test]
fn a_stream_that_is_taken_up_while_an_engine_works_on_it_is_counted_and_breaks_no_rule() {
    let mut history = history_with_left_run(Some(1_750));
    let take_up = Attempt {
        take_up: Some(TakeUp {
            first: ID.to_owned(),
            after: 2,
        }),
        outcome: Outcome::Left,
        ..history.attempts[ID].clone()
    };
    history.attempts.insert("1-1-2".to_owned(), take_up);
    history.runs[1].id = "1-1-2".to_owned();
    assert_eq!(taken_up_running(&history), 1);
    assert_eq!(broken_rules(&history), []);
    history.runs[0].end = Some(at(1_650));
    assert_eq!(taken_up_running(&history), 0);
}
