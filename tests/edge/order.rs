//! Who goes first among the requests that wait at a host, under patterns of load, and when an
//! engine ends while they wait.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::admission::{AdmissionDecision, TimeBudget};
use mastichinge::edge::order::{Applicant, Look, Turn, WaitingOrder};
use mastichinge::edge::permits::Rank;
use mastichinge::edge::routing::{SelectedEngine, Selection};
use mastichinge::edge::settings::AdmissionSettings;

use crate::fakes::daemon::{Request, wait};
use crate::fakes::engine::Behavior;
use crate::site::{MODEL, Site, assert_whole};

/// Time in which the engine reads a prompt.
const WORK: Duration = Duration::from_millis(75);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn applicant(customer: &str, priority: u8, objective_ms: u64) -> Applicant {
    Applicant {
        rank: Rank::new_request(priority),
        customer: customer.into(),
        service: "assist".into(),
        target: Some("m".into()),
        work: WORK,
        objective_at: ms(objective_ms),
    }
}

/// One host, at whose engine there is room for one request at a time.
#[derive(Default)]
struct Host {
    order: WaitingOrder,
    waiting: BTreeMap<u64, Arc<str>>,
    now: Moment,
}

impl Host {
    fn look(&self) -> Look {
        Look {
            engine: Some("e1".into()),
            first_at: self.now + WORK,
        }
    }

    /// Adds a request that found no room.
    fn join(&mut self, applicant: Applicant) -> u64 {
        let look = self.look();
        let name = applicant.customer.clone();
        let number = self.order.join(applicant, look.clone());
        self.order.pass(number, look, self.now);
        self.waiting.insert(number, name);
        number
    }

    /// Makes room for one request, which the one that came last finds first; returns which is let
    /// go, and its customer.
    fn make_room(&mut self) -> (u64, Arc<str>) {
        self.now += WORK;
        let look = self.look();
        let mut number = *self.waiting.last_key_value().expect("a request waits").0;
        while let Turn::Of(other) = self.order.ask(number, look.clone(), self.now) {
            number = other;
        }
        self.order.leave(number, true);
        (number, self.waiting.remove(&number).unwrap())
    }
}

/// Load: a large customer has 120 requests waiting when three small ones send 12 each, all of one
/// kind. While all have requests waiting, each gets at least half of an equal share.
#[test]
fn small_customers_beside_a_large_one_get_half_of_the_mean_at_least() {
    let mut host = Host::default();
    for _ in 0..120 {
        host.join(applicant("large", 1, 1_000));
    }
    for customer in ["s1", "s2", "s3"] {
        for _ in 0..12 {
            host.join(applicant(customer, 1, 60_000));
        }
    }
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for let_go in 1..=40 {
        *counts.entry(host.make_room().1).or_default() += 1;
        if let_go % 20 != 0 {
            continue;
        }
        for customer in ["large", "s1", "s2", "s3"] {
            let count = counts.get(customer).copied().unwrap_or_default();
            assert!(count * 2 * 4 >= let_go, "{customer}: {counts:?}");
        }
    }
}

/// Load: one request of a small customer comes while a large one keeps 200 waiting.
#[test]
fn a_single_request_of_a_small_customer_is_not_behind_all_of_a_large_one() {
    let mut host = Host::default();
    for _ in 0..200 {
        host.join(applicant("large", 1, 500));
    }
    for _ in 0..10 {
        host.make_room();
    }
    host.join(applicant("small", 1, 60_000));
    let behind = (0..).take_while(|_| &*host.make_room().1 == "large");
    let behind = behind.count();
    assert!(behind <= 4, "{behind}: more than a round went first");
}

/// Load: a burst of one kind with a loose objective waits when requests with a tight objective and
/// of a higher rank come.
#[test]
fn tight_and_urgent_requests_go_before_a_burst_of_another_kind() {
    let mut host = Host::default();
    for _ in 0..30 {
        host.join(applicant("", 1, 9_000));
    }
    let tight = host.join(applicant("", 1, 800));
    let urgent = host.join(applicant("u", 0, 9_000));
    assert_eq!((host.make_room().0, host.make_room().0), (urgent, tight));
}

/// Load: requests that miss their objective anyway wait beside those that still meet it.
#[test]
fn those_on_time_go_before_those_that_are_late_anyway() {
    let mut host = Host {
        now: ms(2_000),
        ..Host::default()
    };
    let late = host.join(applicant("a", 1, 1_000));
    let on_time = host.join(applicant("b", 1, 4_000));
    let tighter = host.join(applicant("c", 1, 3_000));
    let order = [(); 3].map(|()| host.make_room().0);
    assert_eq!(order, [tighter, on_time, late]);
}

/// Load: room appears while requests wait that cannot use it, as their engines are others.
#[test]
fn room_is_not_kept_for_a_request_that_cannot_use_it() {
    let mut host = Host::default();
    let first = host.join(applicant("a", 0, 1_000));
    let second = host.join(applicant("b", 1, 1_000));
    let third = host.join(applicant("c", 2, 1_000));
    host.now += ms(100);
    let look = host.look();
    let mut ask = |n, now| host.order.ask(n, look.clone(), now);
    assert_eq!(ask(third, host.now), Turn::Of(first));
    assert_eq!(ask(second, host.now), Turn::Of(first));
    // The first one has looked in vain: the next one is told, then the last.
    let next = host.order.pass(first, look.clone(), host.now);
    assert_eq!(next, Some(second));
    assert_eq!(host.order.ask(second, look.clone(), host.now), Turn::Own);
    assert_eq!(host.order.leave(second, true), Some(third));
    assert_eq!(host.order.ask(third, look.clone(), host.now), Turn::Own);
    // A while later there may be room for it again.
    let later = host.now + ms(20);
    assert_eq!(host.order.ask(third, look, later), Turn::Of(first));
}

/// Load: a new request finds room, while one of the same kind has waited for it.
#[test]
fn a_new_request_does_not_overtake_one_that_waits() {
    let mut host = Host::default();
    let waits = host.join(applicant("a", 1, 1_000));
    host.now += ms(50);
    let look = host.look();
    let new = host.order.join(applicant("a", 1, 2_000), look.clone());
    assert_eq!(host.order.ask(new, look.clone(), host.now), Turn::Of(waits));
    let elsewhere = Applicant {
        target: Some("other".into()),
        ..applicant("a", 1, 2_000)
    };
    let look = Look {
        engine: Some("e2".into()),
        ..look
    };
    let other = host.order.join(elsewhere, look.clone());
    assert_eq!(host.order.ask(other, look, host.now), Turn::Own);
}

/// Load: the callers of a large customer give up while they wait. What they asked for and did not
/// get does not count against those that come after.
#[test]
fn requests_that_end_unsent_do_not_use_up_a_share() {
    let mut host = Host::default();
    let other = host.join(applicant("b", 1, 60_000));
    let numbers = [(); 20].map(|()| host.join(applicant("a", 1, 1_000)));
    for number in numbers.iter().rev() {
        host.order.leave(*number, false);
        host.waiting.remove(number);
    }
    let new = host.join(applicant("a", 1, 1_000));
    assert_eq!((host.make_room().0, host.make_room().0), (new, other));
}

/// Load: prompts of 4 s stand ahead of a request whose caller gives up after 2 s, at the engine or
/// for a load. It is refused at once, with the time after which it can be served.
#[test]
fn a_request_is_refused_at_once_if_those_ahead_leave_it_no_time() {
    let mut host = Host::default();
    for _ in 0..54 {
        host.join(applicant("a", 1, 60_000));
    }
    let ahead = |a| host.order.work_ahead(&a, &host.look());
    assert_eq!(ahead(applicant("b", 0, 800)), Duration::ZERO);
    let ahead = ahead(applicant("a", 1, 60_000));
    assert_eq!(ahead, WORK * 54);
    let budget = TimeBudget {
        waited: ms(0),
        event_left: ms(2_000),
        left: ms(30_000),
        objective_left: ms(0),
        objective: ms(800),
    };
    let limits = AdmissionSettings::default();
    let selection = |first: u64| {
        Selection::Engine(SelectedEngine {
            engine: "e1".into(),
            software: "v1".into(),
            addr: ([10, 0, 0, 1], 1).into(),
            prefill_time: WORK,
            uncached: 2_890,
            backlog: ms(first),
            first_event: ms(first),
            usual: ms(first),
            priority: 1,
        })
    };
    assert_eq!(budget.refuse_behind(&selection(500), ahead, &limits), None);
    let refusal = budget.refuse_behind(&selection(1_000), ahead, &limits);
    let Some(AdmissionDecision::Refuse { retry_after, .. }) = refusal else {
        panic!("{refusal:?}");
    };
    assert_eq!(retry_after, ms(1_000) + ahead - ms(400));
}

/// Guards against requests that wait for good, or whose place stays taken, when the engine ends
/// for which they wait.
#[test]
fn all_that_wait_are_let_go_when_an_engine_ends() {
    let site = Site::start();
    site.daemon
        .write_settings(|s| s["order"]["enabled"] = true.into());
    site.daemon.signal(libc::SIGHUP);
    wait("the new settings", || {
        !site.daemon.logged("settings reloaded").is_empty()
    });
    let waits = |message| site.daemon.logged(message).len();
    site.models[0].set_behavior(Behavior::Silent);
    let send = |i: u32| {
        let parts = format!("1:100,{:x}:19900", i + 2);
        let request = Request::new("/stream/", &format!("s{i}"))
            .with(MODEL, "m1")
            .with("X-Mastichinge-Token-Count", "20000,10")
            .with("X-Mastichinge-Prompt-Prefix", &parts);
        site.daemon.send(&request)
    };
    let answers = std::thread::scope(|scope| {
        let send = &send;
        let callers: Vec<_> = (0..24).map(|i| scope.spawn(move || send(i))).collect();
        wait("requests that wait", || waits("request waits for room") > 0);
        site.models[0].crash();
        let answers = callers.into_iter().map(|c| c.join().unwrap());
        answers.collect::<Vec<_>>()
    });
    for answer in &answers {
        let is_whole = answer.status == 200 && answer.complete;
        let id = answer
            .header("x-mastichinge-request-id")
            .unwrap_or_default();
        let may_have_run = answer.status == 504 && site.arrivals(id) > 0;
        let is_refused = answer.status == 503;
        assert!(is_whole || is_refused || may_have_run, "{answer:?}");
    }
    wait("the end of all waits", || {
        waits("request waits for room") == waits("wait for room ended")
    });
    assert_whole(&site.stream("/stream/", "after"));
}
