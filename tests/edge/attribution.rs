//! Which request a response of an engine belongs to: only a response that is proven to
//! belong to a request tells whether that request ran.

use test_case::test_case;

use crate::fakes::daemon::{Request, wait};
use crate::fakes::engine::Behavior;
use crate::fakes::store::Store;
use crate::site::{MODEL, Site, desired};

/// Statuses that promise callers that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Maximum number of tries of one booking; each is rejected once by each engine at most.
const MAX_TRIES: usize = 8;

/// Sends bookings until an engine has sent a late response; each booking runs at most
/// once, and not at all if its response promises that.
fn assert_bookings_run_once(site: &Site) {
    let mut sent = 0;
    wait("a late response", || {
        let id = format!("b{sent}");
        sent += 1;
        let answer = site.send("/book/", &id);
        let runs = site.runs(&id);
        assert!(runs <= 1, "{id} ran {runs} times: {answer:?}");
        let promised = PROMISES.contains(&answer.status);
        assert!(!promised || runs == 0, "{id} ran: {answer:?}");
        site.plain.iter().any(|e| e.late_responses() > 0)
    });
}

/// Guards against TWICE: a late rejection without an id was taken as the response to the
/// next request on its connection, which was sent again while its engine ran it.
#[test_case(503)]
#[test_case(429)]
#[test_case(421)]
#[test_case(400)]
fn a_late_rejection_without_an_id_repeats_no_booking(status: u16) {
    let site = Site::start();
    site.set(Behavior::LateRejection(status));
    assert_bookings_run_once(&site);
}

/// Guards against REFUSED: after such a rejection the request was refused as not run.
#[test_case(503)]
#[test_case(429)]
#[test_case(421)]
#[test_case(400)]
fn a_late_rejection_without_an_id_is_no_proof_that_a_booking_has_not_run(status: u16) {
    let site = Site::start();
    site.exhaust_retries();
    site.set(Behavior::LateRejection(status));
    assert_bookings_run_once(&site);
}

/// Guards against REFUSED and TWICE: a rejected request came to the same engine again on
/// the same connection, where a repeated rejection has its id.
#[test]
fn a_repeated_rejection_is_not_taken_as_the_response_to_the_next_sending() {
    let site = Site::start();
    site.set(Behavior::RepeatedRejection);
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, site.runs("b1")), (200, 1), "{answer:?}");
}

/// Guards against TWICE: the engine had started again under another id at the same
/// address, so that the request came back on the connection that had carried its rejection.
#[test]
fn a_repeated_rejection_is_not_taken_as_the_response_at_the_same_address() {
    let site = Site::start();
    site.store.remove("servers", "p2");
    site.wait_for_change("p2", "gone");
    site.plain[0].add_alias("p3");
    site.wait_for_change("p3", "appeared");
    site.set(Behavior::RepeatedRejection);
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, site.runs("b1")), (200, 1), "{answer:?}");
}

/// Sends a booking under the same id until two tries have ended in success; a try that is answered
/// with a promise has not run.
fn assert_tries_keep_their_promises(site: &Site, id: &str) {
    let (mut runs, mut successes) = (site.runs(id), 0);
    for _ in 0..MAX_TRIES {
        let answer = site.send("/book/", id);
        let ran = site.runs(id) - runs;
        runs += ran;
        assert!(ran <= 1, "ran {ran} times: {answer:?}");
        let promised = PROMISES.contains(&answer.status);
        assert!(!promised || ran == 0, "a refused try ran: {answer:?}");
        successes += usize::from(answer.status == 200);
        if successes == 2 {
            return;
        }
    }
    panic!("no success in {MAX_TRIES} tries");
}

/// Guards against REFUSED and TWICE: a booking that was refused came again under the same id, and
/// the repeated rejection of its first try was believed for the second, which ran.
#[test_case(false; "a retry left")]
#[test_case(true; "no retry left")]
fn a_repeated_rejection_is_no_proof_about_a_later_try_with_the_same_id(exhausted: bool) {
    let site = Site::start();
    if exhausted {
        site.exhaust_retries();
    }
    for i in 0..8 {
        let id = format!("b{i}");
        site.set(Behavior::Full);
        assert_eq!(site.send("/book/", &id).status, 503);
        site.set(Behavior::RepeatedRejection);
        assert_tries_keep_their_promises(&site, &id);
    }
}

/// Guards against REFUSED and TWICE: the same, by two callers at once who use the same id.
#[test]
fn a_repeated_rejection_is_no_proof_about_a_request_of_another_caller_with_the_same_id() {
    let site = Site::start();
    site.exhaust_retries();
    site.set(Behavior::RepeatedRejection);
    for i in 0..8 {
        let id = format!("b{i}");
        let statuses = std::thread::scope(|scope| {
            let send = || site.send("/book/", &id).status;
            let callers = [(); 4].map(|()| scope.spawn(send));
            callers.map(|c| c.join().unwrap())
        });
        let promised = statuses.iter().filter(|s| PROMISES.contains(s)).count();
        let runs = site.runs(&id);
        let most = statuses.len() - promised;
        assert!(runs <= most, "{id} ran {runs} times: {statuses:?}");
        assert_tries_keep_their_promises(&site, &id);
    }
}

/// Guards against a false promise and TWICE: a late rejection without an id was believed on a
/// connection that had carried the question for the engine's start time.
#[test]
fn a_late_rejection_without_an_id_is_not_believed_after_a_call() {
    let site = Site::start();
    site.exhaust_retries();
    site.set(Behavior::LateRejectionAfterCall(503));
    for i in 0..4 {
        let id = format!("s{i}");
        let answer = site.stream("/stream/", &id);
        let (status, runs) = (answer.status, site.runs(&id));
        let promised = PROMISES.contains(&status);
        assert!(!promised || runs == 0, "{id} ran {runs} times: {answer:?}");
        assert!(runs <= 1, "{id} ran {runs} times: {answer:?}");
    }
}

/// Guards against a rejection that is believed for an id under which the engine was not asked: the
/// head of a request had two ids, both were sent on, and one of them was known here.
#[test_case("b1", "b2"; "two ids")]
#[test_case("b1", "b1"; "the same id twice")]
fn only_the_id_by_which_the_response_is_told_is_sent_on(first: &str, second: &str) {
    let site = Site::start();
    let request = Request::new("/book/", first).with("X-Mastichinge-Request-Id", second);
    assert_eq!(site.daemon.send(&request).status, 200);
    let arrivals: Vec<_> = site.plain.iter().flat_map(|e| e.arrivals()).collect();
    let mut headers: Vec<_> = arrivals.into_iter().flat_map(|a| a.headers).collect();
    headers.retain(|(name, _)| name.eq_ignore_ascii_case("X-Mastichinge-Request-Id"));
    let ids: Vec<_> = headers.iter().map(|(_, id)| id.as_str()).collect();
    assert_eq!(ids, [first]);
}

/// Guards against REFUSED and TWICE: a rejection that names two requests was believed for the one
/// that it names first.
#[test]
fn a_rejection_that_names_two_requests_is_not_believed() {
    let site = Site::start();
    site.set(Behavior::Full);
    for engine in &site.plain {
        engine.add_header("X-Mastichinge-Request-Id", "another");
    }
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, site.arrivals("b1")), (502, 1), "{answer:?}");
}

/// Guards against REFUSED: an engine's own status was relayed where callers take it as
/// the promise that the request has not run, although the engine did not state that.
#[test_case(503)]
#[test_case(429)]
#[test_case(408)]
#[test_case(101)]
fn a_status_that_promises_is_relayed_only_when_the_engine_has_not_run_the_request(status: u16) {
    let site = Site::start();
    site.set(Behavior::Answers(status));
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, site.runs("b1")), (502, 1), "{answer:?}");
    assert_eq!(answer.header("x-mastichinge-server-stamp"), None);
    let answer = site.send("/look/", "l1");
    assert_eq!((answer.status, site.runs("l1")), (502, 2), "{answer:?}");
}

/// Guards against a false promise: a lookup that ran and failed at one engine and was
/// rejected by the others was refused as not run.
#[test]
fn a_lookup_that_ran_is_not_refused_as_not_run() {
    let site = Site::start();
    site.plain[0].set_behavior(Behavior::Failing);
    site.plain[1].set_behavior(Behavior::Full);
    let mut sent = 0;
    wait("a lookup that ran and was rejected", || {
        let id = format!("l{sent}");
        sent += 1;
        let answer = site.send("/look/", &id);
        let runs = site.runs(&id);
        let promised = PROMISES.contains(&answer.status);
        assert!(!promised || runs == 0, "{id} ran: {answer:?}");
        runs > 0 && site.arrivals(&id) > runs
    });
}

/// Guards against REFUSED and TWICE: a rejection of another request says nothing.
#[test]
fn a_rejection_of_another_request_is_not_believed() {
    let site = Site::start();
    site.set(Behavior::RejectsAnother);
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, site.runs("b1")), (502, 1), "{answer:?}");
}

/// Guards against a hold of requests that crash engines: an engine that responds to
/// another request has not crashed.
#[test]
fn a_response_to_another_request_is_not_taken_for_a_crash() {
    let site = Site::start();
    let request = |id: &str| Request {
        body: "the same body".to_owned(),
        ..Request::new("/look/", id)
    };
    site.set(Behavior::RejectsAnother);
    assert_eq!(site.daemon.send(&request("l1")).status, 502);
    assert_eq!(site.runs("l1"), 2);
    site.set(Behavior::Correct);
    assert_eq!(site.daemon.send(&request("l2")).status, 200);
}

/// Guards against 502 for requests that an engine could not parse: its rejection has no
/// id, but no other request was sent on the connection.
#[test]
fn a_rejection_without_an_id_is_believed_on_a_new_connection() {
    let site = Site::start();
    site.set(Behavior::FullWithoutId);
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, site.runs("b1")), (503, 0), "{answer:?}");
}

/// The log and the metrics tell how a response was attributed.
#[test_case(
    Behavior::RejectsAnother,
    "engine's response not believed",
    "not_believed"
)]
#[test_case(
    Behavior::FullWithoutId,
    "engine rejected the request",
    "first_exchange"
)]
#[test_case(Behavior::Full, "engine rejected the request", "id_matched")]
fn the_attribution_of_a_response_is_logged_and_counted(
    behavior: Behavior,
    message: &str,
    attribution: &str,
) {
    let site = Site::start();
    site.set(behavior);
    site.send("/book/", "b1");
    wait("its log line", || !site.daemon.logged(message).is_empty());
    for line in site.daemon.logged(message) {
        assert_eq!(line["request"], "b1");
        assert_eq!(line["attribution"], attribution);
    }
    let metrics = site.daemon.get("/metrics").body;
    let metric = format!("mastichinge_engine_responses_total{{attribution=\"{attribution}\"");
    assert!(metrics.contains(&metric), "{metrics}");
}

/// Guards against reports of false promises that no log explains: the line of a rejection tells
/// what its connection had carried before, and so do the metrics.
#[test]
fn the_log_of_a_rejection_tells_what_its_connection_had_carried() {
    let site = Site::start();
    site.set(Behavior::Full);
    for (id, earlier) in [("b1", "nothing"), ("b2", "requests")] {
        site.send("/book/", id);
        let first = || {
            let lines = site.daemon.logged("engine rejected the request");
            lines.into_iter().find(|l| l["request"] == id)
        };
        wait("its log line", || first().is_some());
        assert_eq!(first().unwrap()["earlier"], earlier);
        let metrics = site.daemon.get("/metrics").body;
        let label = format!("earlier=\"{earlier}\"");
        assert!(metrics.contains(&label), "{metrics}");
    }
}

/// Guards against promises that no log explains: a request that counts as not sent leaves a line
/// that says what that rests on.
#[test]
fn the_log_tells_why_a_request_counts_as_not_sent() {
    let site = Site::start();
    for engine in &site.plain {
        engine.crash();
    }
    let answer = site.send("/book/", "b1");
    assert_eq!((answer.status, site.runs("b1")), (503, 0), "{answer:?}");
    wait("its log line", || {
        !site.daemon.logged("request not sent").is_empty()
    });
    let line = site.daemon.logged("request not sent").swap_remove(0);
    assert_eq!(
        (&line["request"], &line["cause"]),
        (&"b1".into(), &"refused".into())
    );
    assert!(!line["error"].as_str().unwrap().is_empty(), "{line}");
}

/// Guards against orders taken as carried out: a late answer to a request was read as the
/// answer to an order on the same connection.
#[test]
fn a_late_answer_to_a_request_is_not_taken_as_the_answer_to_an_order() {
    let site = Site::start();
    wait("a leader", || {
        !site.daemon.logged("leadership acquired").is_empty()
    });
    site.set(Behavior::LateAnswer);
    // Leaves idle connections to both engines.
    std::thread::scope(|scope| {
        for i in 0..8 {
            let site = &site;
            scope.spawn(move || site.stream("/stream/", &format!("w{i}")));
        }
    });
    let request = Request::new("/stream/", "s1").with(MODEL, "m2");
    assert_eq!(site.daemon.send(&request).status, 200);
    let orders = site.daemon.logged("order given");
    assert!(!orders.is_empty());
    for order in orders {
        assert_eq!(order["result"], "accepted", "{order}");
    }
}

/// Guards against ORDER: a late answer to an earlier request was taken as the report by which an
/// engine says which of its lifetimes a connection leads to.
#[test]
fn a_late_answer_to_a_request_is_not_taken_as_a_report() {
    let site = Site::start();
    site.set(Behavior::LateBeforeReport);
    for i in 0..4 {
        // Leaves an idle connection on which the engine was not asked for its start.
        let rigid = site.stream("/stream-rigid/", &format!("r{i}"));
        assert_eq!(rigid.status, 200, "{rigid:?}");
        let id = format!("s{i}");
        let answer = site.stream("/stream/", &id);
        assert_eq!((answer.status, site.runs(&id)), (200, 1), "{answer:?}");
    }
    let message = "response to a report request not believed";
    assert!(!site.daemon.logged(message).is_empty());
    assert!(
        site.daemon
            .logged("engine's response not believed")
            .is_empty()
    );
}

/// Guards against foreign bytes in a body: the rest of a body that an engine reads after
/// its answer is due before the next request.
#[test]
fn the_rest_of_a_body_is_sent_after_an_early_answer() {
    let store = Store::start();
    let mut state = desired(5);
    state["limits"]["maxBodyBytes"] = (16 << 20).into();
    store.put("op", "config", &state);
    let site = Site::start_with(store);
    site.set(Behavior::Early);
    for i in 0..6 {
        let id = format!("b{i}");
        let request = Request {
            // More than the buffers of both sockets hold.
            body: format!("{id} ").repeat(3 << 20),
            ..Request::new("/book/", &id)
        };
        let answer = site.daemon.send(&request);
        assert_eq!(answer.status, 200, "{}", answer.head);
        assert_eq!(answer.body, format!("answer to {id}"));
        wait("the whole body", || site.runs(&id) == 1);
        let arrivals: Vec<_> = site.plain.iter().flat_map(|e| e.arrivals()).collect();
        let arrived = arrivals
            .iter()
            .find(|a| a.header("x-mastichinge-request-id") == id);
        assert!(arrived.unwrap().body == request.body.as_bytes(), "{id}");
    }
}
