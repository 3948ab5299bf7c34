//! What is believed of engines.

use std::collections::BTreeSet;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::fleet::{AnnouncedModels, EngineChange, EngineEntry, EnginePhase, Fleet};

use crate::scene::entry;

fn at(ms: u64) -> Moment {
    Moment::from_millis(50_000 + ms)
}

fn read(fleet: &mut Fleet, entries: Vec<EngineEntry>, ms: u64) -> Vec<(String, EngineChange)> {
    let changes = fleet.update_entries(entries, &BTreeSet::new(), None, at(ms));
    changes
        .into_iter()
        .map(|(id, change)| (id.to_string(), change))
        .collect()
}

fn usable(fleet: &Fleet) -> Vec<&str> {
    let usable = fleet.engines.values().filter(|e| e.is_usable());
    usable.map(|e| &*e.entry.id).collect()
}

#[test]
fn an_engine_that_restarts_under_its_id_holds_nothing_of_before() {
    let mut fleet = Fleet::default();
    read(&mut fleet, vec![entry("e", 1, &["a"])], 0);
    let held = entry("", 1, &["a", "b"]).models;
    let told = AnnouncedModels {
        fence: 1,
        sequence: 1,
        incarnation: 1_000,
        models: held,
        received_at: at(10),
    };
    assert!(fleet.record_announcement("e", told.clone()));
    assert!(fleet.engines["e"].has_model("b", None, at(20)));
    let reborn = EngineEntry {
        incarnation: 2_000,
        sequence: 1,
        ..entry("e", 1, &[])
    };
    let changes = read(&mut fleet, vec![reborn], 100);
    assert_eq!(changes, [("e".to_owned(), EngineChange::Restarted)]);
    assert!(!fleet.engines["e"].has_model("a", None, at(110)));
    assert!(
        !fleet.record_announcement("e", told),
        "word about the lifetime before"
    );
}

#[test]
fn an_older_entry_revives_no_leaving_engine() {
    let mut fleet = Fleet::default();
    let leaving = EngineEntry {
        phase: EnginePhase::Draining,
        sequence: 8,
        ..entry("e", 1, &[])
    };
    read(&mut fleet, vec![entry("e", 1, &[])], 0);
    let changes = read(&mut fleet, vec![leaving], 100);
    assert_eq!(changes, [("e".to_owned(), EngineChange::Draining)]);
    let late = EngineEntry {
        sequence: 7,
        ..entry("e", 1, &[])
    };
    assert_eq!(read(&mut fleet, vec![late], 200), []);
    let word = EngineEntry {
        sequence: 9,
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
    assert_eq!(
        fleet.update_entries(vec![], &BTreeSet::new(), back, at(5_100)),
        []
    );
    assert_eq!(usable(&fleet), ["e"]);
    let changes = fleet.update_entries(vec![], &BTreeSet::new(), back, at(7_500));
    assert_eq!(changes, [("e".into(), EngineChange::Removed)]);
}

#[test]
fn of_two_engines_with_one_address_the_younger_is_there() {
    let mut fleet = Fleet::default();
    let young = EngineEntry {
        incarnation: 5_000,
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
    fleet.engines.get_mut("e").unwrap().down_sequence = Some(1);
    assert_eq!(usable(&fleet), Vec::<&str>::new());
    read(&mut fleet, vec![entry("e", 1, &["a"])], 700);
    assert_eq!(usable(&fleet), Vec::<&str>::new(), "the same entry");
    let next = EngineEntry {
        sequence: 2,
        ..entry("e", 1, &["a"])
    };
    read(&mut fleet, vec![next], 1_400);
    assert_eq!(usable(&fleet), ["e"]);
}

#[test]
fn the_holders_word_goes_before_the_entry_while_it_is_fresh() {
    let mut fleet = Fleet::default();
    read(&mut fleet, vec![entry("e", 1, &["a"])], 0);
    let told = |fence, turn, models: &[&str]| AnnouncedModels {
        fence,
        sequence: turn,
        incarnation: 1_000,
        models: entry("", 1, models).models,
        received_at: at(100),
    };
    assert!(fleet.record_announcement("e", told(2, 4, &["b"])));
    assert!(
        !fleet.record_announcement("e", told(2, 3, &["a"])),
        "older word"
    );
    assert!(
        !fleet.record_announcement("e", told(1, 9, &["a"])),
        "an earlier holder's word"
    );
    let engine = &fleet.engines["e"];
    assert!(engine.has_model("b", None, at(200)) && !engine.has_model("a", None, at(200)));
    let later = at(200) + Duration::from_secs(6);
    assert!(engine.has_model("a", None, later) && !engine.has_model("b", None, later));
}
