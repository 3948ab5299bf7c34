//! Which of several statements of an engine about its rate applies.

use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use mastichinge::clock::Moment;
use mastichinge::edge::statements::{NamedRates, RateHeader, RateStatement};
use mastichinge::platform::headers::engine_rate;
use test_case::test_case;

/// Returns a statement that was asked for and heard at these times, ms.
fn statement(rate: Option<f64>, asked: u64, heard: u64) -> RateStatement {
    RateStatement {
        number: asked * 1_000_000 + heard,
        incarnation: 1_000,
        rate,
        asked_at: Moment::from_millis(50_000 + asked),
        heard_at: Moment::from_millis(50_000 + heard),
    }
}

/// Returns the rate that applies after these statements.
fn after(statements: &[RateStatement]) -> Option<f64> {
    let id: Arc<str> = "e".into();
    let mut rates = NamedRates::default();
    for statement in statements {
        rates.record(&id, *statement);
    }
    rates.rate("e")
}

#[test]
fn an_answer_that_was_asked_for_later_applies() {
    let first = statement(Some(1.0), 0, 10);
    for rate in [Some(0.5), Some(4.0), Some(0.0), None] {
        assert_eq!(after(&[first, statement(rate, 10, 20)]), rate);
    }
}

/// Guards against news that is older and undoes newer, as when a host passes it on late.
#[test]
fn an_older_answer_does_not_apply() {
    let end = statement(None, 100, 110);
    let start = statement(Some(2.0), 0, 10);
    assert_eq!(after(&[start, end, statement(Some(1.0), 50, 60)]), None);
    let changed = statement(Some(3.0), 100, 110);
    assert_eq!(after(&[changed, start, statement(None, 50, 60)]), Some(3.0));
}

/// Guards against a limit that ends with an answer made before it was named, which arrives late.
#[test]
fn the_lower_of_two_rates_of_one_moment_applies_in_either_order() {
    let named = statement(Some(1.0), 0, 10);
    for other in [statement(None, 5, 300), statement(Some(2.0), 5, 8)] {
        assert_eq!(after(&[named, other]), Some(1.0));
        assert_eq!(after(&[other, named]), Some(1.0));
        let later = statement(None, 400, 410);
        assert_eq!(after(&[other, named, later]), None);
    }
}

/// Guards against statements that become newer each time that a host passes them on.
#[test]
fn a_statement_that_is_known_is_not_recorded_again() {
    let named = statement(Some(1.0), 0, 10);
    let end = statement(None, 20, 30);
    let passed_on = RateStatement {
        number: named.number,
        ..statement(Some(1.0), 25, 35)
    };
    let id: Arc<str> = "e".into();
    let mut rates = NamedRates::default();
    assert!(rates.record(&id, named).is_some());
    assert!(rates.record(&id, passed_on).is_none());
    assert!(rates.record(&id, end).is_some());
    assert_eq!(rates.rate("e"), None);
}

#[test]
fn an_answer_of_an_ended_lifetime_does_not_end_a_limit() {
    let of_later = RateStatement {
        incarnation: 2_000,
        ..statement(Some(1.0), 0, 10)
    };
    assert_eq!(after(&[of_later, statement(None, 20, 30)]), Some(1.0));
}

#[test]
fn what_is_known_is_forgotten_in_time() {
    let id: Arc<str> = "e".into();
    let mut rates = NamedRates::default();
    rates.record(&id, statement(Some(1.0), 0, 10));
    let at = |s: u64| Moment::from_millis(50_000) + Duration::from_secs(s);
    rates.drop_expired(|_| true, at(3_600));
    assert_eq!(rates.rate("e"), Some(1.0));
    rates.drop_expired(|_| false, at(59));
    assert_eq!(rates.rate("e"), Some(1.0));
    rates.drop_expired(|_| false, at(61));
    assert!(rates.is_empty());
}

/// Guards against requests that go to an engine in need just because its statement is known.
#[test]
fn one_request_at_a_time_renews_an_old_statement() {
    let id: Arc<str> = "e".into();
    let mut rates = NamedRates::default();
    let at = |ms: u64| Moment::from_millis(50_000 + ms);
    assert!(!rates.take_renewal(&id, at(9_000)), "nothing is known");
    rates.record(&id, statement(Some(1.0), 0, 10));
    let due: Vec<_> = [4_000, 5_010, 5_020, 10_000, 10_020]
        .into_iter()
        .filter(|ms| rates.take_renewal(&id, at(*ms)))
        .collect();
    assert_eq!(due, [5_010, 10_020]);
    rates.record(&id, statement(Some(1.0), 12_000, 12_010));
    assert!(!rates.take_renewal(&id, at(15_100)), "it has just spoken");
    rates.record(&id, statement(None, 16_000, 16_010));
    assert!(!rates.take_renewal(&id, at(30_000)), "there is no rate");
}

#[test_case(&[], RateHeader::Absent, 0; "no header")]
#[test_case(&["1.5"], RateHeader::Named(1.5), 0; "a fraction")]
#[test_case(&[" 0.05 "], RateHeader::Named(0.05), 0; "spaces")]
#[test_case(&["0"], RateHeader::Named(0.0), 0; "nothing")]
#[test_case(&["1e19"], RateHeader::Named(1e19), 0; "a large value")]
#[test_case(&["4", "2"], RateHeader::Named(2.0), 0; "two values")]
#[test_case(&["soon", "2"], RateHeader::Named(2.0), 1; "a word and a value")]
#[test_case(&["2", ""], RateHeader::Named(2.0), 1; "a value and an empty one")]
#[test_case(&["-1"], RateHeader::Invalid, 1; "a negative number")]
#[test_case(&["nan"], RateHeader::Invalid, 1; "no number")]
#[test_case(&["inf"], RateHeader::Invalid, 1; "infinity")]
#[test_case(&[""], RateHeader::Invalid, 1; "empty")]
#[test_case(&["4, 2"], RateHeader::Invalid, 1; "a list")]
fn a_rate_is_read_as_sent(values: &[&str], expected: RateHeader, errors: usize) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("server-limit", HeaderValue::from_str(value).unwrap());
    }
    let (rate, invalid) = engine_rate(&headers);
    assert_eq!((rate, invalid.len()), (expected, errors));
    for (error, value) in invalid.iter().zip(values.iter().filter(|v| **v != "2")) {
        assert!(error.to_string().contains(value), "{error}");
    }
}
