//! Who waits, in which order, and who is refused.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::decide::admission::{Offer, Queue, Ticket};
use mastichinge::error::Kind;
use proptest::prelude::*;

use crate::secs;

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
