//! The decisions: routing, placement, sleep, permits and admission.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::{Policy, Strategy, Window};
use mastichinge::decide::admission::{Offer, Queue, Ticket};
use mastichinge::decide::breaker::{Breaker, Breaking};
use mastichinge::decide::history::History;
use mastichinge::decide::limits::Callers;
use mastichinge::decide::permits::{Ask, Permits};
use mastichinge::decide::placement::place;
use mastichinge::decide::retry::{Budget, Retrying, backoff, spread};
use mastichinge::decide::rooms::{Base, Idle, Placing, Room, Wanted, Weights};
use mastichinge::decide::routing::{Bars, Candidate, Need, choose, crowded};
use mastichinge::decide::sleep::{Ahead, Facts, Verdict, ahead, verdict, wake_cost};
use mastichinge::decide::store::{StoreLimits, Waiters, stake};
use mastichinge::error::Kind;
use mastichinge::outside::Tier;
use proptest::prelude::*;
use test_case::test_case;

fn secs(n: u64) -> Moment {
    Duration::from_secs(n)
}

fn replica(running: u32) -> Candidate {
    Candidate {
        running,
        slots: 16,
        ..Default::default()
    }
}

fn barred(set: impl Fn(&mut Bars)) -> Candidate {
    let mut c = replica(0);
    set(&mut c.bars);
    c
}

#[test_case(|b| b.unready = true; "unready")]
#[test_case(|b| b.leaving = true; "leaving")]
#[test_case(|b| b.suspect = true; "suspect")]
#[test_case(|b| b.avoid = true; "avoid")]
#[test_case(|b| b.broken = true; "broken")]
fn a_barred_replica_gets_nothing(set: fn(&mut Bars)) {
    assert_eq!(choose(&[barred(set)], &Need::default()), None);
    assert_eq!(
        choose(&[barred(set), replica(16)], &Need::default()),
        Some(1)
    );
    assert!(crowded(&[barred(set), replica(16)]));
}

#[test_case(&[0, 3], 1; "work gathers where there is some")]
#[test_case(&[14, 3], 1; "not beyond the fill level")]
#[test_case(&[40, 17], 1; "the shorter queue of two full ones")]
#[test_case(&[15, 16], 0; "a free slot before a full batch")]
fn load_decides(loads: &[u32], best: usize) {
    let replicas: Vec<_> = loads.iter().map(|l| replica(*l)).collect();
    assert_eq!(choose(&replicas, &Need::default()), Some(best));
}

#[test]
fn own_requests_since_the_report_count() {
    let lagging = Candidate {
        sent: 30,
        ..replica(0)
    };
    assert_eq!(choose(&[lagging, replica(8)], &Need::default()), Some(1));
    let drained = Candidate {
        ended: 15,
        ..replica(16)
    };
    assert_eq!(drained.load(), 1);
}

#[test]
fn a_cached_prefix_and_the_own_domain_are_preferred() {
    let need = Need {
        domain: 1,
        prompt: 1_000,
    };
    let near = Candidate {
        domain: 1,
        ..replica(2)
    };
    let cached = Candidate {
        cached: 900,
        ..replica(2)
    };
    assert_eq!(choose(&[replica(2), near], &need), Some(1));
    assert_eq!(choose(&[near, cached], &need), Some(1));
}

fn wanted() -> Wanted {
    Wanted {
        weights: Weights {
            model: 0,
            memory: 100,
            load: secs(10),
        },
        base: None,
        worth: 1.0,
    }
}

fn adapter() -> Wanted {
    Wanted {
        base: Some(Weights {
            model: 9,
            memory: 500,
            load: secs(20),
        }),
        ..wanted()
    }
}

fn room(free: u64) -> Room<'static> {
    Room {
        free,
        slots: 16,
        ..Default::default()
    }
}

fn placed(wanted: &Wanted, rooms: &[Room]) -> Option<usize> {
    place(wanted, rooms, &[], &Placing::default()).map(|p| p.engine)
}

#[test]
fn the_nearest_cache_tier_wins() {
    let disk = Room {
        tier: Tier::Disk,
        ..room(1_000)
    };
    let memory = Room {
        tier: Tier::Memory,
        ..room(1_000)
    };
    assert_eq!(placed(&wanted(), &[room(1_000), disk, memory]), Some(2));
}

#[test]
fn closed_and_holding_engines_are_passed_over() {
    let closed = Room {
        open: false,
        ..room(1_000)
    };
    let held = Room {
        held: true,
        ..room(1_000)
    };
    assert_eq!(placed(&wanted(), &[closed, held, room(100)]), Some(2));
    assert_eq!(placed(&wanted(), &[closed, held, room(99)]), None);
}

#[test]
fn an_adapter_goes_beside_its_base() {
    let pinned = Room {
        base: Base::Pinned(Tier::Remote),
        ..room(1_000)
    };
    let loaded = Room {
        base: Base::Loaded,
        ..room(100)
    };
    assert_eq!(placed(&adapter(), &[room(1_000), pinned, loaded]), Some(2));
    let plan = place(&adapter(), &[room(1_000), pinned], &[], &Placing::default()).unwrap();
    assert_eq!((plan.engine, plan.base, plan.load), (1, true, secs(30)));
    assert_eq!(placed(&adapter(), &[room(1_000)]), None);
}

#[test]
fn replicas_spread_over_domains() {
    let other = Room {
        domain: 1,
        ..room(1_000)
    };
    let how = Placing::default();
    let plan = place(&wanted(), &[room(100), other], &[1, 0], &how).unwrap();
    assert_eq!(plan.engine, 1);
}

#[test]
fn the_cheapest_evictions_make_room() {
    let dear = [Idle {
        model: 1,
        memory: 100,
        cost: 50.0,
    }];
    let cheap = [
        Idle {
            model: 2,
            memory: 10,
            cost: 0.5,
        },
        Idle {
            model: 3,
            memory: 90,
            cost: 1.0,
        },
    ];
    let rooms = [
        Room {
            idle: &dear,
            ..room(0)
        },
        Room {
            idle: &cheap,
            ..room(10)
        },
    ];
    let plan = place(&wanted(), &rooms, &[], &Placing::default()).unwrap();
    assert_eq!((plan.engine, plan.evict), (1, vec![3]));
}

#[test]
fn the_base_of_an_adapter_is_never_evicted_for_it() {
    let base = [Idle {
        model: 9,
        memory: 500,
        cost: 0.0,
    }];
    let only = Room {
        base: Base::Loaded,
        idle: &base,
        ..room(0)
    };
    assert_eq!(placed(&adapter(), &[only]), None);
}

#[test]
fn without_writes_only_pinned_engines_count() {
    let unpinned = Room {
        pinned: false,
        ..room(1_000)
    };
    let how = Placing {
        pinned_only: true,
        ..Default::default()
    };
    assert_eq!(place(&wanted(), &[unpinned], &[], &how), None);
    assert_eq!(placed(&wanted(), &[unpinned]), Some(0));
}

#[test_case(Strategy::FirstFit, 1)]
#[test_case(Strategy::Solo, 2)]
fn baselines_take_the_first_room(strategy: Strategy, engine: usize) {
    let best = Room {
        tier: Tier::Memory,
        ..room(1_000)
    };
    let how = Placing {
        strategy,
        start: 2,
        ..Default::default()
    };
    let rooms = [room(0), room(100), room(100), best];
    assert_eq!(place(&wanted(), &rooms, &[], &how).unwrap().engine, engine);
}

/// A history of `count` gaps of `gap`, the last arrival at the answered moment.
fn history(gap: Duration, count: u32) -> (History, Moment) {
    let mut history = History::default();
    let mut now = Moment::ZERO;
    for _ in 0..=count {
        history.arrived(now);
        now += gap;
    }
    (history, now - gap)
}

fn policy(tail: f64, idle: f64) -> Policy {
    Policy {
        tail_weight: tail,
        idle_weight: idle,
        ..Default::default()
    }
}

fn unloads(history: &History, policy: &Policy, now: Moment, idle: Moment) -> bool {
    let facts = Facts {
        idle_since: idle,
        ..Default::default()
    };
    verdict(history, &facts, policy, now) == Verdict::Unload
}

#[test]
fn a_model_asked_for_each_minute_stays_and_one_each_day_goes() {
    let policy = policy(1.0, 100.0);
    let (often, at) = history(secs(60), 20);
    assert!(!unloads(&often, &policy, at + secs(30), at));
    let (rarely, at) = history(secs(86_400), 20);
    assert!(unloads(&rarely, &policy, at + secs(30), at));
}

#[test]
fn a_model_whose_usual_gap_has_passed_goes() {
    let policy = policy(1.0, 60.0);
    let (often, at) = history(secs(60), 40);
    assert!(!unloads(&often, &policy, at + secs(30), at));
    assert!(unloads(&often, &policy, at + secs(200), at));
}

#[test]
fn without_history_the_break_even_time_counts() {
    let policy = policy(1.0, 36.0);
    let history = History::default();
    assert!(!unloads(&history, &policy, secs(999), Moment::ZERO));
    assert!(unloads(&history, &policy, secs(1_001), Moment::ZERO));
}

#[test]
fn the_weights_decide_between_tail_and_idle() {
    let (history, at) = history(secs(600), 20);
    let now = at + secs(5);
    assert!(!unloads(&history, &policy(4.0, 1.0), now, at));
    assert!(unloads(&history, &policy(1.0, 400.0), now, at));
}

#[test_case(Strategy::KeepAlive, true)]
#[test_case(Strategy::Never, false)]
fn sleep_baselines(strategy: Strategy, unload: bool) {
    let policy = Policy {
        strategy,
        keepalive_ms: 60_000,
        ..policy(1.0, 1_000.0)
    };
    let (history, at) = history(secs(60), 20);
    assert!(!unloads(&history, &policy, at + secs(59), at));
    assert_eq!(unloads(&history, &policy, at + secs(60), at), unload);
}

#[test]
fn busy_and_needed_models_stay() {
    let busy = Facts {
        busy: true,
        ..Default::default()
    };
    let needed = Facts {
        needed: true,
        ..Default::default()
    };
    for facts in [busy, needed] {
        let verdict = verdict(&History::default(), &facts, &policy(0.0, 9.0), secs(9_999));
        assert!(matches!(verdict, Verdict::Keep { .. }));
    }
}

#[test_case(984, false; "before the load time")]
#[test_case(985, true; "a load time and the margin ahead")]
#[test_case(1_099, true; "within")]
#[test_case(1_100, false; "after")]
fn a_declared_window_wakes_its_model(unix: u64, woken: bool) {
    let window = Window {
        from: 1_000,
        until: 1_100,
    };
    let facts = Facts::default();
    let policy = Policy::default();
    let found = ahead(
        &History::default(),
        &[window],
        &facts,
        &policy,
        secs(5),
        unix,
    );
    assert_eq!(found, woken.then_some(Ahead::Window(window)));
}

#[test]
fn a_regular_pattern_wakes_its_model_ahead() {
    let (history, at) = history(secs(3_000), 30);
    let policy = policy(1.0, 12.0);
    let wakes = |now| ahead(&history, &[], &Facts::default(), &policy, now, 0).is_some();
    assert!(wakes(at + secs(2_500)));
    assert!(!wakes(at + secs(60)));
}

#[test]
fn short_gaps_leave_the_memory_of_long_ones() {
    let (mut history, mut now) = history(secs(3_000), 30);
    let hour = secs(3_600);
    let before = history.chance(secs(600), hour);
    for _ in 0..200 {
        now += secs(5);
        history.arrived(now);
    }
    assert!((history.chance(secs(600), hour) - before).abs() < 1e-6);
}

#[test]
fn a_frequent_model_costs_more_to_evict() {
    let facts = Facts::default();
    let policy = Policy::default();
    let (often, at) = history(secs(60), 20);
    let (rarely, then) = history(secs(86_400), 20);
    let dear = wake_cost(&often, &facts, &policy, at + secs(10));
    let cheap = wake_cost(&rarely, &facts, &policy, then + secs(10));
    assert!(dear > 5.0 * cheap, "{dear} {cheap}");
}

fn ask(load: &str, stake: f64) -> Ask {
    Ask {
        load: load.into(),
        host: "a".into(),
        adapter: false,
        stake,
        running: false,
    }
}

fn limits() -> StoreLimits {
    StoreLimits {
        rate: 2.0,
        parallel: 4,
        adapters: 30,
    }
}

/// Ids granted at `now`.
fn granted(permits: &mut Permits, now: Moment) -> Vec<Arc<str>> {
    let grants = permits.grant(now);
    grants.into_iter().map(|g| g.load).collect()
}

#[test]
fn permits_go_by_stake_at_the_rate() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for (load, stake) in [("low", 1.0), ("high", 3.0), ("mid", 2.0)] {
        permits.ask(ask(load, stake));
    }
    assert!(granted(&mut permits, Moment::ZERO).is_empty());
    let mut now = Moment::ZERO;
    for load in ["high", "mid", "low"] {
        now = permits.wake(now).unwrap();
        assert_eq!(granted(&mut permits, now), [load.into()]);
        assert!(granted(&mut permits, now).is_empty());
    }
    assert_eq!(now, Duration::from_millis(1_500));
    assert_eq!(permits.wake(now), None);
}

#[test]
fn parallel_loads_start_together_after_a_pause() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4", "5", "6"] {
        permits.ask(ask(load, 1.0));
    }
    assert_eq!(granted(&mut permits, secs(60)).len(), 4);
    permits.done("1");
    permits.done("2");
    assert!(granted(&mut permits, secs(61)).is_empty());
    assert_eq!(permits.wake(secs(61)), Some(secs(62)));
    assert_eq!(granted(&mut permits, secs(62)).len(), 2);
}

proptest! {
    #[test]
    fn no_span_has_more_starts_than_the_parallel_limit(steps in prop::collection::vec(0_u64..900, 1..200)) {
        let mut permits = Permits::new(limits(), Moment::ZERO);
        let mut now = Moment::ZERO;
        let mut starts = Vec::new();
        for (i, step) in steps.into_iter().enumerate() {
            now += Duration::from_millis(step);
            permits.ask(ask(&i.to_string(), 1.0));
            for load in granted(&mut permits, now) {
                permits.done(&load);
                starts.push(now);
            }
        }
        for pair in starts.windows(5) {
            prop_assert!(pair[4] - pair[0] >= secs(2));
        }
    }
}

#[test]
fn no_more_than_the_parallel_limit_run() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4", "5", "6"] {
        permits.ask(ask(load, 1.0));
    }
    for s in 1..10 {
        permits.grant(secs(s));
    }
    assert_eq!(permits.running(), 4);
    permits.done("2");
    assert_eq!(granted(&mut permits, secs(20)), ["5".into()]);
    permits.gone("a");
    assert_eq!((permits.running(), permits.waiting()), (0, 0));
}

#[test]
fn loads_of_a_host_that_is_gone_make_room() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4"] {
        permits.ask(ask(load, 1.0));
    }
    assert_eq!(permits.grant(secs(60)).len(), 4);
    permits.ask(Ask {
        host: "b".into(),
        ..ask("5", 1.0)
    });
    permits.keep(&["a".into(), "b".into()]);
    assert!(granted(&mut permits, secs(120)).is_empty());
    permits.keep(&["b".into()]);
    assert_eq!(granted(&mut permits, secs(120)), ["5".into()]);
}

#[test]
fn running_loads_of_a_former_holder_count() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for load in ["1", "2", "3", "4"] {
        permits.ask(Ask {
            running: true,
            ..ask(load, 0.0)
        });
    }
    permits.ask(ask("5", 9.0));
    assert!(granted(&mut permits, secs(60)).is_empty());
    assert!(permits.granted("1") && !permits.granted("5"));
    permits.done("1");
    assert_eq!(granted(&mut permits, secs(60)), ["5".into()]);
}

#[test]
fn adapters_are_bounded_in_transit_only() {
    let mut permits = Permits::new(limits(), Moment::ZERO);
    for i in 0..40 {
        permits.ask(Ask {
            adapter: true,
            ..ask(&format!("{i}"), 1.0)
        });
    }
    assert_eq!(permits.grant(Moment::ZERO).len(), 30);
    permits.done("0");
    assert_eq!(permits.grant(Moment::ZERO).len(), 1);
}

proptest! {
    #[test]
    fn parted_sides_stay_within_the_store_rate(parts in prop::collection::vec(1_u32..10, 1..6)) {
        let all: u32 = parts.iter().sum();
        let mut rate = 0.0;
        let mut parallel = 0;
        for part in &parts {
            let side = limits().scaled(f64::from(*part) / f64::from(all));
            rate += side.rate;
            parallel += side.parallel;
        }
        prop_assert!(rate <= limits().rate + 1e-9);
        prop_assert!(parallel <= limits().parallel.max(parts.len() as u32 + limits().parallel - 1));
    }
}

#[test]
fn stake_rises_with_worth_and_a_near_deadline() {
    let far = Waiters {
        count: 1,
        worth: 2.0,
        left: secs(60),
        load: secs(10),
    };
    let near = Waiters {
        left: secs(12),
        ..far
    };
    let lost = Waiters {
        left: secs(5),
        ..far
    };
    assert!(stake(&near) > stake(&far));
    assert!(stake(&far) > stake(&lost));
    assert_eq!(stake(&Waiters::default()), 0.0);
}

fn ticket(id: &str, caller: &str, deadline: u64) -> Ticket {
    Ticket {
        id: id.into(),
        caller: caller.into(),
        priority: 5,
        deadline: secs(deadline),
        worth: 1.0,
    }
}

fn offer(queue: &mut Queue, ticket: Ticket) -> Offer {
    queue.offer(ticket, Duration::ZERO, Moment::ZERO)
}

/// Ids in the order of service at time zero.
fn drain(queue: &mut Queue) -> Vec<Arc<str>> {
    let mut ids = Vec::new();
    while let Some(t) = queue.take(Moment::ZERO) {
        ids.push(t.id);
    }
    ids
}

#[test]
fn priority_then_deadline_decides() {
    let mut queue = Queue::new(10);
    offer(&mut queue, ticket("late", "a", 30));
    offer(&mut queue, ticket("soon", "b", 10));
    let urgent = Ticket {
        priority: 9,
        ..ticket("urgent", "c", 60)
    };
    offer(&mut queue, urgent);
    let order: [Arc<str>; 3] = ["urgent".into(), "soon".into(), "late".into()];
    assert_eq!(drain(&mut queue), order);
}

#[test]
fn a_caller_with_many_requests_does_not_shut_others_out() {
    let mut queue = Queue::new(100);
    for i in 0..50 {
        offer(&mut queue, ticket(&format!("many{i}"), "many", 10));
    }
    offer(&mut queue, ticket("one", "few", 20));
    let order = drain(&mut queue);
    let at = order.iter().position(|id| &**id == "one");
    assert!(at.unwrap() <= 4, "{at:?}");
}

#[test]
fn a_ticket_waits_once() {
    let mut queue = Queue::new(10);
    assert_eq!(offer(&mut queue, ticket("a", "a", 9)), Offer::Queued);
    assert_eq!(offer(&mut queue, ticket("a", "a", 9)), Offer::Known);
    assert!(queue.cancel("a").is_some());
    assert!(queue.is_empty());
}

#[test]
fn an_unreachable_deadline_is_refused_with_the_missing_time() {
    let mut queue = Queue::new(10);
    let answer = queue.offer(ticket("a", "a", 10), secs(25), Moment::ZERO);
    let Offer::Refused(refused) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(
        (refused.kind, refused.retry),
        (Kind::DeadlineUnreachable, secs(15))
    );
}

#[test]
fn the_measured_pace_counts() {
    let mut queue = Queue::new(100);
    for i in 0..40 {
        offer(&mut queue, ticket(&format!("{i}"), &format!("{i}"), 1_000));
    }
    for s in 1..=20 {
        queue.take(secs(2 * s));
    }
    assert_eq!(queue.pace().time(20), secs(40));
    let late = queue.offer(ticket("late", "z", 1_001), Duration::ZERO, secs(990));
    assert!(matches!(late, Offer::Refused(r) if r.kind == Kind::DeadlineUnreachable));
}

#[test]
fn a_full_queue_sheds_the_least_value() {
    let mut queue = Queue::new(2);
    let cheap = Ticket {
        worth: 0.5,
        ..ticket("cheap", "a", 9)
    };
    offer(&mut queue, cheap);
    offer(&mut queue, ticket("fair", "a", 9));
    let dear = Ticket {
        worth: 2.0,
        ..ticket("dear", "a", 9)
    };
    let Offer::Displaced {
        ticket: shed,
        refused,
    } = offer(&mut queue, dear)
    else {
        panic!("nothing was shed");
    };
    assert_eq!((&*shed.id, refused.kind), ("cheap", Kind::QueueFull));
    let refused = offer(&mut queue, ticket("equal", "a", 9));
    assert!(matches!(refused, Offer::Refused(r) if r.kind == Kind::QueueFull));
}

#[test]
fn expired_tickets_are_returned_and_never_served() {
    let mut queue = Queue::new(10);
    offer(&mut queue, ticket("gone", "a", 5));
    offer(&mut queue, ticket("there", "a", 50));
    assert_eq!(queue.deadline(), Some(secs(5)));
    assert_eq!(&*queue.take(secs(6)).unwrap().id, "there");
    assert_eq!(queue.expire(secs(6)).len(), 1);
    assert!(queue.is_empty());
}

proptest! {
    #[test]
    fn no_ticket_is_lost(deadlines in prop::collection::vec((1_u64..100, 0_u8..4, 0_u8..10), 1..80)) {
        let mut queue = Queue::new(32);
        let mut settled = 0;
        for (i, (deadline, caller, priority)) in deadlines.iter().enumerate() {
            let ticket = Ticket {
                priority: *priority,
                ..ticket(&format!("{i}"), &format!("{caller}"), *deadline)
            };
            match offer(&mut queue, ticket) {
                Offer::Refused(_) | Offer::Displaced { .. } => settled += 1,
                Offer::Queued | Offer::Known => {}
            }
        }
        settled += queue.expire(secs(50)).len();
        while queue.take(secs(50)).is_some() {
            settled += 1;
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(settled, deadlines.len());
    }
}

#[test]
fn retries_stay_within_a_tenth_of_the_attempts() {
    let mut budget = Budget::new(Retrying::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.attempt();
        retries += u32::from(budget.retry());
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

proptest! {
    #[test]
    fn back_off_is_bounded(retry in 0_u32..100, unit in 0.0..1.0_f64) {
        let how = Retrying::default();
        prop_assert!(backoff(&how, retry, unit) <= how.most);
        prop_assert!(backoff(&how, 0, unit) <= how.first);
        prop_assert!(spread(secs(4), unit) >= secs(4) && spread(secs(4), unit) <= secs(5));
    }
}

#[test]
fn a_breaker_opens_tries_once_and_closes() {
    let mut breaker = Breaker::new(Breaking::default());
    for _ in 0..3 {
        assert!(breaker.allows(secs(0)));
        breaker.failed(secs(0));
    }
    assert!(!breaker.allows(Duration::from_millis(999)));
    assert!(breaker.allows(secs(1)));
    breaker.sent(secs(1));
    assert!(!breaker.allows(secs(1)), "one trial at a time");
    breaker.failed(secs(1));
    assert!(!breaker.allows(secs(2)), "the pause has doubled");
    breaker.sent(secs(3));
    breaker.succeeded();
    assert!(breaker.allows(secs(3)));
}

#[test]
fn a_caller_above_its_rate_waits() {
    let mut callers = Callers::default();
    let name: Arc<str> = "a".into();
    for _ in 0..2 {
        assert_eq!(callers.take(&name, 2.0, secs(1)), Ok(()));
    }
    let half = Duration::from_millis(500);
    assert_eq!(callers.take(&name, 2.0, secs(1)), Err(half));
    assert_eq!(callers.take(&name, 2.0, secs(1) + half), Ok(()));
    assert_eq!(callers.take(&"b".into(), 2.0, secs(1)), Ok(()));
}
