//! Accounting of the requests that run at an engine.

use std::collections::BTreeSet;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::in_flight::InFlightRequest;
use mastichinge::edge::routing::SelectedEngine;
use mastichinge::edge::state::State;
use mastichinge::edge::upstream::EngineEntry;

use crate::fixtures::entry;

const NOW: Moment = Moment::from_secs(1);

fn list(state: &mut State, entries: Vec<EngineEntry>) {
    state
        .fleet
        .update_entries(entries, &BTreeSet::new(), None, NOW);
}

fn begin(state: &mut State) -> InFlightRequest {
    let choice = SelectedEngine {
        engine: "e".into(),
        software: "v1".into(),
        addr: ([10, 0, 0, 1], 1).into(),
        prefill_time: Duration::ZERO,
        uncached: 0,
        backlog: Duration::ZERO,
        first_event: Duration::ZERO,
        usual: Duration::ZERO,
        priority: 0,
    };
    state.begin_request(&choice, None, NOW)
}

fn running(state: &State) -> u32 {
    state.fleet.engines["e"].running(NOW)
}

/// Guards against too many requests at an engine: those that ran while its entry was missing
/// were forgotten, and their ends were taken for those of later ones.
#[test]
fn requests_that_run_while_the_entry_is_missing_are_counted() {
    let mut state = State::default();
    list(&mut state, vec![entry("e", 1, &[])]);
    let earlier = [begin(&mut state), begin(&mut state)];
    list(&mut state, vec![]);
    state.end_request(&earlier[0]);
    list(&mut state, vec![entry("e", 1, &[])]);
    assert_eq!(running(&state), 1);
    let later = begin(&mut state);
    state.end_request(&earlier[1]);
    assert_eq!(running(&state), 1);
    state.end_request(&later);
    assert_eq!(running(&state), 0);
}

/// The requests of an engine's earlier lifetime ended with it.
#[test]
fn requests_of_an_earlier_lifetime_are_not_counted() {
    let mut state = State::default();
    list(&mut state, vec![entry("e", 1, &[])]);
    let earlier = begin(&mut state);
    list(&mut state, vec![]);
    let restarted = EngineEntry {
        incarnation: 2_000,
        ..entry("e", 1, &[])
    };
    list(&mut state, vec![restarted]);
    begin(&mut state);
    state.end_request(&earlier);
    assert_eq!(running(&state), 1);
}
