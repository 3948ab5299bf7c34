//! The platform's table, object store and host list.

use std::time::Duration;

use mastichinge::fakes::FakePlatform;
use mastichinge::outside::{
    HostList, HostState, HttpPlatform, Objects, Platform, Precondition, Table, TableError,
    Timeouts, Write, WriteOp,
};
use serde_json::{Value, json};

use crate::support::{any_port, eventually};

fn platform(key: &str, timeouts: Timeouts) -> (FakePlatform, HttpPlatform) {
    let fake = FakePlatform::start(any_port(), "secret").expect("a free port");
    let client = HttpPlatform::new(fake.addresses(), key.into(), timeouts);
    (fake, client)
}

fn put(key: &str, expect: Precondition, value: Value) -> Write {
    Write {
        key: key.into(),
        expect,
        op: WriteOp::Put(value),
    }
}

#[test]
fn table_commits_all_writes_or_none() {
    let (fake, client) = platform("secret", Timeouts::default());
    let table = client.table();
    let key = "call/a b/100%+é?";
    assert_eq!(table.get(key), Ok(None));
    let versions = table.commit(&[
        put(key, Precondition::Absent, json!(1)),
        put("call/x", Precondition::Any, json!(2)),
    ]);
    assert_eq!(versions, Ok(vec![1, 1]));
    let conflicting = table.commit(&[
        put("call/x", Precondition::Version(1), json!(3)),
        put(key, Precondition::Version(7), json!(3)),
    ]);
    let item = table.get(key).expect("the table is up");
    let conflict = TableError::Conflict {
        key: key.into(),
        current: item.clone(),
    };
    assert_eq!(conflicting, Err(conflict));
    assert_eq!(item.map(|i| (i.version, i.value)), Some((1, json!(1))));
    let check = Write {
        key: key.into(),
        expect: Precondition::Version(1),
        op: WriteOp::Check,
    };
    let delete = Write {
        key: "call/x".into(),
        expect: Precondition::Version(1),
        op: WriteOp::Delete,
    };
    assert_eq!(table.commit(&[check, delete]), Ok(vec![1, 0]));
    let keys = table.scan("call/").expect("the table is up");
    assert_eq!(keys.iter().map(|i| &*i.key).collect::<Vec<_>>(), [key]);
    assert_eq!(table.scan("call/z"), Ok(vec![]));
    let state = fake.state.get();
    assert_eq!(
        (state.read_count, state.commit_count, state.commits.len()),
        (4, 3, 2)
    );
}

/// Guards against a write over another item than the one that was read: the one after a deletion had
/// the same version.
#[test]
fn versions_go_on_after_a_deletion() {
    let (_fake, client) = platform("secret", Timeouts::default());
    let table = client.table();
    let delete = Write {
        key: "a".into(),
        expect: Precondition::Version(1),
        op: WriteOp::Delete,
    };
    let first = put("a", Precondition::Absent, json!(1));
    assert_eq!(table.commit(std::slice::from_ref(&first)), Ok(vec![1]));
    assert_eq!(table.commit(&[delete]), Ok(vec![0]));
    assert_eq!(table.commit(&[first]), Ok(vec![2]));
}

#[test]
fn a_commit_with_a_lost_response_takes_effect() {
    let (fake, client) = platform("secret", Timeouts::default());
    fake.state.change(|s| s.faults.lost_responses = 1);
    let write = put("a", Precondition::Absent, json!("mine"));
    let lost = client.table().commit(std::slice::from_ref(&write));
    assert!(matches!(lost, Err(TableError::Unavailable(_))), "{lost:?}");
    let item = client.table().get("a").expect("the table is up");
    assert_eq!(item.map(|i| i.value), Some(json!("mine")));
    let again = client.table().commit(&[write]);
    assert!(
        matches!(again, Err(TableError::Conflict { .. })),
        "{again:?}"
    );
}

#[test]
fn during_an_outage_calls_fail_without_effect() {
    let (fake, client) = platform("secret", Timeouts::default());
    fake.state.change(|s| s.faults.down = true);
    let unavailable = |e: Option<TableError>| matches!(e, Some(TableError::Unavailable(_)));
    let write = put("a", Precondition::Any, json!(1));
    assert!(unavailable(client.table().commit(&[write]).err()));
    assert!(unavailable(client.table().get("a").err()));
    assert!(unavailable(client.table().scan("").err()));
    assert!(unavailable(client.objects().get("a").err()));
    assert!(unavailable(client.objects().put("a", b"x").err()));
    assert!(unavailable(client.hosts().read().err()));
    fake.state.change(|s| s.faults.down = false);
    assert_eq!(client.table().get("a"), Ok(None));
    assert_eq!(client.objects().get("a"), Ok(None));
    let addrs = fake.addresses();
    drop(fake);
    let gone = HttpPlatform::new(addrs, "secret".into(), Timeouts::default());
    assert!(unavailable(gone.table().get("a").err()));
}

#[test]
fn a_slow_table_times_out() {
    let timeouts = Timeouts {
        total: Duration::from_millis(50),
        ..Timeouts::default()
    };
    let (fake, client) = platform("secret", timeouts);
    fake.state
        .change(|s| s.faults.delay = Duration::from_millis(400));
    let outcome = client
        .table()
        .commit(&[put("a", Precondition::Any, json!(1))]);
    assert!(matches!(outcome, Err(TableError::Unavailable(_))));
    eventually("the write takes effect late", || {
        fake.state.get().items.len() == 1
    });
}

#[test]
fn a_wrong_key_is_refused() {
    let (_fake, client) = platform("guess", Timeouts::default());
    let outcome = client.table().get("a");
    assert!(
        matches!(outcome, Err(TableError::Refused(_))),
        "{outcome:?}"
    );
}

#[test]
fn objects_are_stored_whole() {
    let (_fake, client) = platform("secret", Timeouts::default());
    let body: Vec<u8> = (0..300_000).map(|i| (i % 251) as u8).collect();
    assert_eq!(client.objects().get("config/7"), Ok(None));
    assert_eq!(client.objects().put("config/7", &body), Ok(()));
    assert_eq!(client.objects().get("config/7"), Ok(Some(body)));
}

#[test]
fn the_host_list_may_be_out_of_date() {
    let (fake, client) = platform("secret", Timeouts::default());
    fake.set_host_state("derby-1", Some(HostState::Live));
    fake.set_host_state("derby-1", Some(HostState::Leaving));
    let hosts = client.hosts().read().expect("the list is up");
    assert_eq!((hosts.revision, hosts.hosts.len()), (2, 1));
    assert_eq!(hosts.hosts[0].state, HostState::Leaving);
    fake.state
        .change(|s| s.faults.list_lag = Duration::from_secs(600));
    let hosts = client.hosts().read().expect("the list is up");
    assert_eq!(hosts.revision, 0);
    fake.state.change(|s| s.faults.list_lag = Duration::ZERO);
    fake.set_host_state("derby-1", None);
    let hosts = client.hosts().read().expect("the list is up");
    assert_eq!((hosts.revision, hosts.hosts.len()), (3, 0));
}
