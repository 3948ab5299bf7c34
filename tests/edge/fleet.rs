//! What is believed of engines.

use std::collections::BTreeSet;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::fleet::{Change, Entry, Fleet, Phase, Told};

use crate::scene::entry;

fn at(ms: u64) -> Moment {
    Moment::from_millis(50_000 + ms)
}

fn read(fleet: &mut Fleet, entries: Vec<Entry>, ms: u64) -> Vec<(String, Change)> {
    let changes = fleet.read(entries, &BTreeSet::new(), None, at(ms));
    changes
        .into_iter()
        .map(|(id, change)| (id.to_string(), change))
        .collect()
}

fn usable(fleet: &Fleet) -> Vec<&str> {
    let usable = fleet.engines.values().filter(|e| e.usable());
    usable.map(|e| &*e.entry.id).collect()
}

#[test]
fn an_engine_that_restarts_under_its_id_holds_nothing_of_before() {
    let mut fleet = Fleet::default();
    read(&mut fleet, vec![entry("e", 1, &["a"])], 0);
    let held = entry("", 1, &["a", "b"]).held;
    let told = Told {
        fence: 1,
        turn: 1,
        born: 1_000,
        held,
        at: at(10),
    };
    assert!(fleet.tell("e", told.clone()));
    assert!(fleet.engines["e"].holds("b", None, at(20)));
    let reborn = Entry {
        born: 2_000,
        beat: 1,
        ..entry("e", 1, &[])
    };
    let changes = read(&mut fleet, vec![reborn], 100);
    assert_eq!(changes, [("e".to_owned(), Change::Reborn)]);
    assert!(!fleet.engines["e"].holds("a", None, at(110)));
    assert!(!fleet.tell("e", told), "word about the lifetime before");
}

#[test]
fn an_older_entry_revives_no_leaving_engine() {
    let mut fleet = Fleet::default();
    let leaving = Entry {
        phase: Phase::Leaving,
        beat: 8,
        ..entry("e", 1, &[])
    };
    read(&mut fleet, vec![entry("e", 1, &[])], 0);
    let changes = read(&mut fleet, vec![leaving], 100);
    assert_eq!(changes, [("e".to_owned(), Change::Leaving)]);
    let late = Entry {
        beat: 7,
        ..entry("e", 1, &[])
    };
    assert_eq!(read(&mut fleet, vec![late], 200), []);
    let word = Entry {
        beat: 9,
        ..entry("e", 1, &[])
    };
    read(&mut fleet, vec![word], 300);
    assert_eq!(usable(&fleet), Vec::<&str>::new());
}

/// Entries lapse while the store is down; engines that live write them again.
#[test]
fn entries_that_lapsed_with_the_store_away_are_missed_only_after_its_return() {
    let mut fleet = Fleet::default();
    read(&mut fleet, vec![entry("e", 1, &[])], 0);
    let back = Some(at(5_000));
    assert_eq!(fleet.read(vec![], &BTreeSet::new(), back, at(5_100)), []);
    assert_eq!(usable(&fleet), ["e"]);
    let changes = fleet.read(vec![], &BTreeSet::new(), back, at(7_500));
    assert_eq!(changes, [("e".into(), Change::Gone)]);
}

#[test]
fn of_two_engines_with_one_address_the_younger_is_there() {
    let mut fleet = Fleet::default();
    let young = Entry {
        born: 5_000,
        ..entry("young", 1, &[])
    };
    read(&mut fleet, vec![entry("old", 1, &[]), young], 0);
    assert_eq!(usable(&fleet), ["young"]);
}

/// A crashed engine stays listed for seconds; its models must be loaded
/// elsewhere at once, and its requests must not be refused there again.
#[test]
fn an_engine_that_takes_no_connection_is_down_until_it_writes_again() {
    let mut fleet = Fleet::default();
    read(&mut fleet, vec![entry("e", 1, &["a"])], 0);
    fleet.engines.get_mut("e").unwrap().refused = Some(1);
    assert_eq!(usable(&fleet), Vec::<&str>::new());
    read(&mut fleet, vec![entry("e", 1, &["a"])], 700);
    assert_eq!(usable(&fleet), Vec::<&str>::new(), "the same entry");
    let next = Entry {
        beat: 2,
        ..entry("e", 1, &["a"])
    };
    read(&mut fleet, vec![next], 1_400);
    assert_eq!(usable(&fleet), ["e"]);
}

#[test]
fn the_holders_word_goes_before_the_entry_while_it_is_fresh() {
    let mut fleet = Fleet::default();
    read(&mut fleet, vec![entry("e", 1, &["a"])], 0);
    let told = |fence, turn, models: &[&str]| Told {
        fence,
        turn,
        born: 1_000,
        held: entry("", 1, models).held,
        at: at(100),
    };
    assert!(fleet.tell("e", told(2, 4, &["b"])));
    assert!(!fleet.tell("e", told(2, 3, &["a"])), "older word");
    assert!(
        !fleet.tell("e", told(1, 9, &["a"])),
        "an earlier holder's word"
    );
    let engine = &fleet.engines["e"];
    assert!(engine.holds("b", None, at(200)) && !engine.holds("a", None, at(200)));
    let later = at(200) + Duration::from_secs(6);
    assert!(engine.holds("a", None, later) && !engine.holds("b", None, later));
}
