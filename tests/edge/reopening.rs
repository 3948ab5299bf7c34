//! Load: an overloaded engine asks five hosts for a pause, and each refuses forty callers, one
//! every 40 ms, and keeps some requests that wait.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::reopening::Reopening;

const HOSTS: usize = 5;
const CALLERS: u64 = 40;
/// Time between two callers of a host.
const CALLER_PERIOD: Duration = Duration::from_millis(40);
/// Time in which the engine runs a request, and its slots.
const RUN_TIME: Duration = Duration::from_millis(50);
const SLOTS: u32 = 8;
/// End of the pause.
const PAUSE_END: Moment = Moment::from_millis(1_600);

/// Guards against a rush at the end of a pause: all refused callers were told its end, and
/// came back at the same instant from every host.
#[test]
fn refused_callers_return_as_fast_as_the_engine_works_them_off() {
    let spacing = RUN_TIME / SLOTS * HOSTS as u32;
    let mut returns = Vec::new();
    for _ in 0..HOSTS {
        let mut reopening = Reopening::new(PAUSE_END);
        for caller in 0..CALLERS {
            let now = CALLER_PERIOD * caller as u32;
            let left = reopening.pause_left(now).unwrap();
            returns.push(now + left + reopening.record_refused(spacing));
        }
    }
    assert!(returns.iter().all(|at| *at >= PAUSE_END));
    let window = Duration::from_millis(100);
    let capacity = (window.as_millis() / RUN_TIME.as_millis()) as usize * SLOTS as usize;
    for start in &returns {
        let within = |at: &&Moment| (*start..*start + window).contains(*at);
        let count = returns.iter().filter(within).count();
        // Callers of all hosts may come at the beginning of the window.
        assert!(count <= capacity + HOSTS, "{count} from {start:?}");
    }
    let last = returns.iter().max().unwrap();
    let work = RUN_TIME / SLOTS * (HOSTS as u32 * CALLERS as u32);
    assert!(
        *last <= PAUSE_END + work,
        "no later than they are worked off"
    );
}

/// Guards against a rush of the requests that wait: they were all sent when the pause ended.
#[test]
fn requests_that_wait_are_sent_as_the_engine_accepts_them() {
    let mut reopening = Reopening::new(PAUSE_END);
    assert!(!reopening.allows(PAUSE_END - Duration::from_millis(1)));
    let mut sent_at = Vec::new();
    let mut running: Vec<Moment> = Vec::new();
    for ms in 0..400 {
        let now = PAUSE_END + Duration::from_millis(ms);
        let before = running.len();
        running.retain(|ends_at| *ends_at > now);
        for _ in running.len()..before {
            reopening.record_accepted(now);
        }
        while reopening.allows(now) && sent_at.len() < CALLERS as usize {
            reopening.record_sent(now);
            sent_at.push(now);
            running.push(now + RUN_TIME);
        }
    }
    let until = |ms| {
        let end = PAUSE_END + Duration::from_millis(ms);
        sent_at.iter().filter(|at| **at < end).count()
    };
    assert_eq!([1, 51, 101, 151].map(until), [1, 3, 7, 15]);
    assert_eq!(sent_at.len(), CALLERS as usize, "all within 0.4 s");
}

/// An engine whose responses are lost gets requests again.
#[test]
fn the_limits_end_although_the_engine_accepts_nothing() {
    let mut reopening = Reopening::new(PAUSE_END);
    reopening.record_sent(PAUSE_END);
    assert!(!reopening.allows(PAUSE_END + Duration::from_millis(1_999)));
    assert!(reopening.allows(PAUSE_END + Duration::from_secs(2)));
}

/// Responses to requests that were sent before the pause say nothing about its end.
#[test]
fn earlier_requests_do_not_count() {
    let mut reopening = Reopening::new(PAUSE_END);
    reopening.record_sent(PAUSE_END - Duration::from_millis(100));
    reopening.record_accepted(PAUSE_END - Duration::from_millis(50));
    reopening.record_accepted(PAUSE_END + Duration::from_millis(10));
    assert!(reopening.allows(PAUSE_END));
    reopening.record_sent(PAUSE_END);
    assert!(!reopening.allows(PAUSE_END));
}

/// Guards against callers that return together: an engine that rejects several requests asks for
/// a pause with each.
#[test]
fn a_pause_that_is_asked_for_again_keeps_the_order_of_return() {
    let spacing = Duration::from_millis(30);
    let mut reopening = Reopening::new(PAUSE_END);
    assert_eq!(reopening.record_refused(spacing), Duration::ZERO);
    reopening.extend(PAUSE_END - Duration::from_millis(500));
    assert_eq!(reopening.record_refused(spacing), spacing);
    reopening.extend(PAUSE_END + Duration::from_millis(10));
    assert_eq!(reopening.record_refused(spacing), spacing * 2);
    let left = reopening.pause_left(PAUSE_END);
    assert_eq!(left, Some(Duration::from_millis(10)));
}
