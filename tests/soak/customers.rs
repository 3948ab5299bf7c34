//! Customers of a run: their keys and caps, and checks of what callers and engines saw of them.

use std::time::Duration;

use serde_json::{Value, json};
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::callers::PROMISES;
use crate::checks::{CONFIG_TIME, Rule};
use crate::record::{Attempt, History, Outcome, Step, sent_id};

/// What all keys contain.
pub const KEY: &str = "soak-key";
/// Requests a second of the hot customer; its callers ask for several times as many.
const RATE: f64 = 8.0;
/// Requests at once of it.
const BURST: f64 = 8.0;
/// Window in which the cap is counted, s; the settings' default.
const WINDOW_S: f64 = 8.0;
/// Part of the cap that may be used beyond it, and requests beyond that.
const EXCESS: f64 = 0.1;
const SLACK: f64 = 8.0;

/// Whose key a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
pub enum Customer {
    Hot,
    First,
    Second,
    Third,
    /// Its key is taken away.
    Leaving,
    /// Nobody.
    Unknown,
}

impl Customer {
    /// Returns the customer of a caller by its number.
    pub fn of_caller(number: usize) -> Self {
        match number % 12 {
            0..6 => Customer::Hot,
            6..8 => Customer::First,
            8 => Customer::Second,
            9 => Customer::Third,
            10 => Customer::Leaving,
            _ => Customer::Unknown,
        }
    }

    /// Returns the customer of an attempt by its id, which has the number of its caller.
    fn of_attempt(id: &str) -> Self {
        let number = id.split('-').nth(1).and_then(|n| n.parse().ok());
        Customer::of_caller(number.expect("the number of a caller"))
    }

    fn name(self) -> &'static str {
        self.into()
    }

    pub fn key(self) -> String {
        format!("{KEY}-{}", self.name())
    }
}

/// Returns the customers of a desired state; `taken` tells whether a key has been taken away.
pub fn json(taken: bool) -> Value {
    let known = Customer::iter().filter(|c| *c != Customer::Unknown);
    let customers = known.map(|customer| {
        let keys = match taken && customer == Customer::Leaving {
            true => Vec::new(),
            false => vec![customer.key()],
        };
        let mut value = json!({"name": customer.name(), "apiKeys": keys, "unit": "requests"});
        if customer == Customer::Hot {
            value["perS"] = RATE.into();
            value["burst"] = BURST.into();
        }
        value
    });
    customers.collect()
}

/// Changes the settings of a daemon to what the checks allow beyond a cap.
pub fn set_rules(settings: &mut Value) {
    settings["bounds"]["cap_window_s"] = WINDOW_S.into();
    settings["bounds"]["cap_excess"] = EXCESS.into();
    settings["bounds"]["cap_slack"] = SLACK.into();
}

/// Returns whether an attempt may be refused for its key.
pub fn may_be_denied(history: &History, id: &str, attempt: &Attempt) -> bool {
    match (history.key_taken_at, Customer::of_attempt(id)) {
        (Some(_), Customer::Unknown) => true,
        (Some(at), Customer::Leaving) => attempt.ended_at >= at,
        _ => false,
    }
}

/// Returns what is wrong with keys and names, by attempt.
pub fn wrong_keys(history: &History, id: &str, attempt: &Attempt) -> Option<String> {
    let taken_at = history.key_taken_at?;
    let customer = Customer::of_attempt(id);
    for (name, has_key) in history.told.get(id).into_iter().flatten() {
        if *has_key || name != customer.name() {
            return Some(format!("an engine got customer {name:?}, key: {has_key}"));
        }
    }
    let has_none = match customer {
        Customer::Unknown => true,
        Customer::Leaving => attempt.started_at >= taken_at + CONFIG_TIME,
        _ => false,
    };
    if !has_none {
        return None;
    }
    if !history.steps(id).is_empty() {
        return Some("reached an engine without a key".to_owned());
    }
    match &attempt.outcome {
        Outcome::Answered(a) if a.status != 401 && !PROMISES.contains(&a.status) => {
            Some(format!("answered {} without a key", a.status))
        }
        _ => None,
    }
}

/// Returns what is wrong with the use of the cap, and with the parts of the small customers.
pub fn wrong_shares(history: &History) -> Vec<(Rule, String)> {
    let mut found = Vec::new();
    if history.key_taken_at.is_none() {
        return found;
    }
    let allowed = (RATE * WINDOW_S + BURST) * (1.0 + EXCESS) + SLACK;
    let most = fullest_window(history);
    if most as f64 > allowed {
        found.push((Rule::Cap, format!("{most} of {allowed} in a window")));
    }
    let small = [Customer::First, Customer::Second, Customer::Third];
    let parts = small.map(|customer| served_part(history, customer));
    let mean = parts.iter().sum::<f64>() / parts.len() as f64;
    if parts.iter().any(|part| *part < mean / 2.0 || *part == 0.0) {
        let text = format!("of the small customers these parts were served: {parts:?}");
        found.push((Rule::Cap, text));
    }
    found
}

/// Returns the largest number of requests of the hot customer that ran in a window.
fn fullest_window(history: &History) -> usize {
    let mut times: Vec<Duration> = Vec::new();
    for (id, steps) in &history.steps {
        if history.attempts.contains_key(id) && Customer::of_attempt(id) == Customer::Hot {
            let began = steps.iter().find(|s| matches!(s.step, Step::Began(_)));
            times.extend(began.map(|s| s.at));
        }
    }
    times.sort();
    let window = Duration::from_secs_f64(WINDOW_S);
    let counts = times.iter().enumerate().map(|(first, start)| {
        let later = times[first..].iter();
        later.take_while(|t| **t < *start + window).count()
    });
    counts.max().unwrap_or(0)
}

/// Returns the part of a customer's requests that were served, without those that it left.
fn served_part(history: &History, customer: Customer) -> f64 {
    let mut sent = 0.0;
    let mut served = 0.0;
    for (id, attempt) in &history.attempts {
        let is_counted = attempt.take_up.is_none() && attempt.extra_route.is_none();
        if Customer::of_attempt(sent_id(id)) != customer || !is_counted {
            continue;
        }
        match &attempt.outcome {
            Outcome::Left | Outcome::NotSent => continue,
            Outcome::Answered(a) if a.status < 300 => served += 1.0,
            _ => {}
        }
        sent += 1.0;
    }
    served / f64::max(sent, 1.0)
}

/// Returns what the run has shown of customers.
pub fn summary(history: &History) -> String {
    if history.key_taken_at.is_none() {
        return "no customers".to_owned();
    }
    let parts = Customer::iter().map(|c| {
        let part = served_part(history, c);
        format!("{} {:.0} % served", c.name(), 100.0 * part)
    });
    let parts: Vec<_> = parts.collect();
    let most = fullest_window(history);
    format!("{}; {most} of the hot one in a window", parts.join(", "))
}
