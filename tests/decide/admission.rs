//! Order of the admission queue and its refusals.

use std::sync::Arc;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::decide::admission::{AdmissionQueue, EnqueueResult, QueuedRequest};
use mastichinge::error::Kind;
use proptest::prelude::*;

use crate::secs;

fn request(id: &str, caller: &str, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        id: id.into(),
        caller: caller.into(),
        priority: 5,
        deadline: secs(deadline),
        worth: 1.0,
    }
}

fn enqueue(queue: &mut AdmissionQueue, request: QueuedRequest) -> EnqueueResult {
    queue.enqueue(request, Duration::ZERO, Moment::ZERO)
}

/// Empties the queue at time zero and returns the ids in the order of service.
fn drain(queue: &mut AdmissionQueue) -> Vec<Arc<str>> {
    let mut ids = Vec::new();
    while let Some(request) = queue.dequeue(Moment::ZERO) {
        ids.push(request.id);
    }
    ids
}

#[test]
fn requests_are_served_by_priority_then_deadline() {
    let mut queue = AdmissionQueue::new(10);
    enqueue(&mut queue, request("late", "a", 30));
    enqueue(&mut queue, request("soon", "b", 10));
    let urgent = QueuedRequest {
        priority: 9,
        ..request("urgent", "c", 60)
    };
    enqueue(&mut queue, urgent);
    let order: [Arc<str>; 3] = ["urgent".into(), "soon".into(), "late".into()];
    assert_eq!(drain(&mut queue), order);
}

#[test]
fn a_caller_with_many_requests_does_not_starve_others() {
    let mut queue = AdmissionQueue::new(100);
    for i in 0..50 {
        enqueue(&mut queue, request(&format!("many{i}"), "many", 10));
    }
    enqueue(&mut queue, request("one", "few", 20));
    let order = drain(&mut queue);
    let index = order.iter().position(|id| &**id == "one");
    assert!(index.unwrap() <= 4, "{index:?}");
}

#[test]
fn a_request_is_queued_once() {
    let mut queue = AdmissionQueue::new(10);
    assert_eq!(
        enqueue(&mut queue, request("a", "a", 9)),
        EnqueueResult::Queued
    );
    assert_eq!(
        enqueue(&mut queue, request("a", "a", 9)),
        EnqueueResult::Duplicate
    );
    assert!(queue.cancel("a").is_some());
    assert!(queue.is_empty());
}

#[test]
fn an_unreachable_deadline_is_refused_with_a_retry_time() {
    let mut queue = AdmissionQueue::new(10);
    let result = queue.enqueue(request("a", "a", 10), secs(25), Moment::ZERO);
    let EnqueueResult::Refused(refusal) = result else {
        panic!("{result:?}");
    };
    assert_eq!(
        (refusal.kind, refusal.retry_after),
        (Kind::DeadlineUnreachable, secs(15))
    );
}

#[test]
fn the_measured_service_interval_predicts_the_wait() {
    let mut queue = AdmissionQueue::new(100);
    for i in 0..40 {
        enqueue(&mut queue, request(&format!("{i}"), &format!("{i}"), 1_000));
    }
    for s in 1..=20 {
        queue.dequeue(secs(2 * s));
    }
    assert_eq!(queue.service_interval().expected_time(20), secs(40));
    let late = queue.enqueue(request("late", "z", 1_001), Duration::ZERO, secs(990));
    assert!(matches!(late, EnqueueResult::Refused(r) if r.kind == Kind::DeadlineUnreachable));
}

#[test]
fn a_full_queue_drops_the_request_of_least_worth() {
    let mut queue = AdmissionQueue::new(2);
    let cheap = QueuedRequest {
        worth: 0.5,
        ..request("cheap", "a", 9)
    };
    enqueue(&mut queue, cheap);
    enqueue(&mut queue, request("fair", "a", 9));
    let valuable = QueuedRequest {
        worth: 2.0,
        ..request("valuable", "a", 9)
    };
    let EnqueueResult::Displaced {
        request: displaced,
        refusal,
    } = enqueue(&mut queue, valuable)
    else {
        panic!("no request was displaced");
    };
    assert_eq!((&*displaced.id, refusal.kind), ("cheap", Kind::QueueFull));
    let refusal = enqueue(&mut queue, request("equal", "a", 9));
    assert!(matches!(refusal, EnqueueResult::Refused(r) if r.kind == Kind::QueueFull));
}

#[test]
fn expired_requests_are_returned_and_never_served() {
    let mut queue = AdmissionQueue::new(10);
    enqueue(&mut queue, request("expired", "a", 5));
    enqueue(&mut queue, request("waiting", "a", 50));
    assert_eq!(queue.next_deadline(), Some(secs(5)));
    assert_eq!(&*queue.dequeue(secs(6)).unwrap().id, "waiting");
    assert_eq!(queue.remove_expired(secs(6)).len(), 1);
    assert!(queue.is_empty());
}

proptest! {
    #[test]
    fn no_request_is_lost(inputs in prop::collection::vec((1_u64..100, 0_u8..4, 0_u8..10), 1..80)) {
        let mut queue = AdmissionQueue::new(32);
        let mut accounted = 0;
        for (i, (deadline, caller, priority)) in inputs.iter().enumerate() {
            let request = QueuedRequest {
                priority: *priority,
                ..request(&format!("{i}"), &format!("{caller}"), *deadline)
            };
            match enqueue(&mut queue, request) {
                EnqueueResult::Refused(_) | EnqueueResult::Displaced { .. } => accounted += 1,
                EnqueueResult::Queued | EnqueueResult::Duplicate => {}
            }
        }
        accounted += queue.remove_expired(secs(50)).len();
        while queue.dequeue(secs(50)).is_some() {
            accounted += 1;
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(accounted, inputs.len());
    }
}
