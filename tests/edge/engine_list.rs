//! The list of engines as read from the store, whole and by its changes.

use mastichinge::edge::engine_list::EngineList;
use mastichinge::edge::store::{Row, RowPage};
use serde_json::json;

fn row(key: &str, version: u64) -> Row {
    let value = json!({"service": "models", "addr": "10.0.0.1:80", "zone": "north",
        "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": version,
        "born": 1_000});
    Row {
        key: key.into(),
        version,
        value: Some(value.to_string().into_bytes()),
        deleted: false,
        unnamed_part: true,
    }
}

fn deleted(key: &str, version: u64) -> Row {
    Row {
        value: None,
        deleted: true,
        ..row(key, version)
    }
}

fn unreadable(key: &str, version: u64) -> Row {
    Row {
        value: Some(b"not json".to_vec()),
        ..row(key, version)
    }
}

fn page(version: u64, rows: Vec<Row>) -> RowPage {
    RowPage {
        version,
        era: 0,
        has_more: false,
        rows,
        ..RowPage::default()
    }
}

fn ids(list: &EngineList) -> Vec<&str> {
    list.entries().map(|e| &*e.id).collect()
}

#[test]
fn changes_add_replace_and_remove_entries() {
    let mut list = EngineList::default();
    assert_eq!(list.version(), None);
    list.replace(page(3, vec![row("e1", 1), row("e2", 2), row("e3", 3)]));
    list.apply(page(6, vec![row("e2", 4), deleted("e1", 5), row("e4", 6)]));
    assert_eq!(ids(&list), ["e2", "e3", "e4"]);
    assert_eq!(list.version(), Some(6));
    let e2 = list.entries().find(|e| &*e.id == "e2").unwrap();
    assert_eq!(e2.sequence, 4);
    // No change: the version still moves on.
    list.apply(page(9, Vec::new()));
    assert_eq!((ids(&list).len(), list.version()), (3, Some(9)));
}

/// Changes may have been missed in an outage of the store: the next whole reading drops
/// what is no longer listed.
#[test]
fn a_whole_reading_drops_the_entries_that_it_does_not_list() {
    let mut list = EngineList::default();
    list.replace(page(2, vec![row("e1", 1), row("e2", 2)]));
    list.invalidate();
    assert_eq!(list.version(), None);
    assert_eq!(ids(&list), ["e1", "e2"], "what is known stays in use");
    list.replace(page(8, vec![row("e2", 2)]));
    assert_eq!(ids(&list), ["e2"]);
}

#[test]
fn an_unreadable_entry_is_reported_once_and_does_not_count_as_removed() {
    let mut list = EngineList::default();
    let reported = list.replace(page(2, vec![row("e1", 1), unreadable("e2", 2)]));
    assert_eq!(reported.len(), 1);
    assert_eq!((&*reported[0].key, reported[0].row), ("e2", 2));
    assert!(list.apply(page(3, vec![unreadable("e2", 3)])).is_empty());
    assert_eq!(ids(&list), ["e1"]);
    assert_eq!(list.unreadable().map(|k| &**k).collect::<Vec<_>>(), ["e2"]);
    // Readable again, then broken again.
    list.apply(page(4, vec![row("e2", 4)]));
    assert_eq!(list.apply(page(5, vec![unreadable("e2", 5)])).len(), 1);
    // Rows of other parts are not entries of engines.
    let other = Row {
        unnamed_part: false,
        ..row("e9", 6)
    };
    list.apply(page(6, vec![other]));
    assert_eq!(ids(&list), ["e1"]);
}
