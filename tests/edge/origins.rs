//! Versions at which streams may begin, and the rows that tell where they did.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use mastichinge::edge::origins::{
    Allowed, Base, RecordState, Recording, RowNeed, ServiceVersions, StoreTime, StreamId, Streams,
    SweepMarks, Told,
};
use mastichinge::edge::store::{Row, RowPage};

const SERVICE: &str = "assist";
/// Hosts that must hold a stream without a row.
const HOLDERS: usize = 2;

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn service() -> Arc<str> {
    SERVICE.into()
}

fn versions(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|n| Arc::from(*n)).collect()
}

/// Returns versions of which the base is `v1`, and which were all listed at the start.
fn confirmed(names: &[&str]) -> ServiceVersions {
    let mut services = ServiceVersions::default();
    let base = Base {
        software: "v1".into(),
        row: 1,
        ..Base::default()
    };
    services.confirm(&service(), base, &versions(names));
    services
}

fn list(services: &mut ServiceVersions, names: &[&str], now: Duration) -> bool {
    services.record_listed(&[(service(), versions(names))].into(), now)
}

fn begin(streams: &mut Streams, id: &str, software: &str) -> bool {
    let need = match software {
        "v1" => RowNeed::Base,
        _ => RowNeed::First,
    };
    begin_with(streams, id, software, need)
}

fn begin_with(streams: &mut Streams, id: &str, software: &str, need: RowNeed) -> bool {
    let software = Arc::from(software);
    streams.begin(StreamId::of(id), &service(), (&software, need), at(1))
}

fn settle(streams: &mut Streams, id: &str, software: &str) -> RecordState {
    streams.settle(StreamId::of(id), software, HOLDERS)
}

fn told(id: &str, software: &str) -> Told {
    Told {
        stream: StreamId::of(id),
        service: service(),
        software: software.into(),
        unwritten: true,
    }
}

/// A version is used only after the base row was read with it listed.
#[test]
fn a_new_version_is_used_once_the_base_is_confirmed_with_it() {
    let mut services = confirmed(&["v1"]);
    assert!(!list(&mut services, &["v1"], at(1)));
    assert!(list(&mut services, &["v1", "v2"], at(2)));
    let allowed = services.allowed_to_begin(SERVICE, Recording::Store, |_| true);
    assert!(allowed.contains("v1") && !allowed.contains("v2"));
    let unknown = ServiceVersions::default();
    assert!(
        !unknown
            .allowed_to_begin(SERVICE, Recording::Store, |_| true)
            .contains("v1")
    );
}

/// Guards against ORDER by hosts that keep a base version which another has replaced: it was missing
/// from the list, or the list was not read, and it is listed again.
#[test]
fn a_base_that_was_missing_for_a_while_is_read_again_before_it_is_relied_on() {
    let mut services = confirmed(&["v1", "v2"]);
    let mut list_at = |names: &[&str], s| {
        services.record_list(at(s));
        let is_due = list(&mut services, names, at(s));
        (is_due, services.has_lapsed(SERVICE))
    };
    assert_eq!(list_at(&["v1", "v2"], 10), (false, false));
    assert_eq!(list_at(&["v2"], 39), (false, false));
    assert_eq!(list_at(&["v1", "v2"], 39), (false, false), "back at once");
    assert_eq!(list_at(&["v2"], 68), (false, false));
    assert_eq!(list_at(&["v2"], 70), (false, true));
    assert_eq!(list_at(&["v1", "v2"], 71), (true, true));
    assert_eq!(list_at(&["v1", "v2"], 72), (true, true), "not read yet");
    let base = services.base(SERVICE).unwrap().clone();
    services.confirm(&service(), base, &versions(&["v1", "v2"]));
    assert!(!services.has_lapsed(SERVICE));
    services.record_list(at(102));
    assert!(services.has_lapsed(SERVICE), "the list was not read");
}

/// Guards against ORDER: a stream without a row at another version than the base.
#[test]
fn only_the_base_is_allowed_without_rows_while_it_can_be_used() {
    let services = confirmed(&["v1", "v2"]);
    let allowed =
        |recording, is_usable| services.allowed_to_begin(SERVICE, recording, |_| is_usable);
    let only_base = Allowed::Only("v1".into());
    assert!(allowed(Recording::Store, true).contains("v2"));
    assert_eq!(allowed(Recording::Hosts, true), only_base);
    assert!(
        allowed(Recording::Hosts, false).contains("v2"),
        "the base has no engine"
    );
    assert_eq!(allowed(Recording::Absent, true), only_base);
    assert_eq!(allowed(Recording::Absent, false), only_base);
}

/// Guards against LOST: new requests, which any version may take, held up streams that go on at one.
#[test]
fn streams_that_go_on_come_first_while_several_versions_serve() {
    let mut services = confirmed(&["v1", "v2"]);
    let mut priorities = |names: &[&str], s| {
        services.record_listed(&[(service(), versions(names))].into(), at(s));
        services.record_list(at(s));
        [false, true].map(|goes_on| services.engine_priority(SERVICE, 1, goes_on, at(s)))
    };
    assert_eq!(priorities(&["v1"], 1), [1, 1]);
    assert_eq!(priorities(&["v1", "v2"], 2), [2, 1]);
    assert_eq!(priorities(&["v1"], 10), [2, 1], "streams of v2 may go on");
    let unknown = ServiceVersions::default();
    assert_eq!(unknown.engine_priority("plain", 1, false, at(1)), 1);
}

/// A stream without a name goes on only if no other version can have begun it.
#[test]
fn a_version_is_the_only_one_a_while_after_others_have_left() {
    let mut services = confirmed(&["v1"]);
    assert_eq!(services.sole_version(SERVICE, at(0)), Some(&"v1".into()));
    list(&mut services, &["v1", "v2"], at(10));
    list(&mut services, &["v1"], at(20));
    assert_eq!(services.sole_version(SERVICE, at(60)), None);
    assert_eq!(services.sole_version(SERVICE, at(70)), Some(&"v1".into()));
    list(&mut services, &["v2"], at(80));
    assert_eq!(services.sole_version(SERVICE, at(81)), None, "not the base");
}

/// Guards against ORDER by a write that takes effect after its request has gone elsewhere.
#[test]
fn a_row_that_may_be_written_is_settled_before_the_stream_begins_elsewhere() {
    let mut streams = Streams::default();
    assert!(begin(&mut streams, "s1", "v2"));
    let sent = streams.take_due(|_| true, 10);
    assert_eq!(sent.len(), 1);
    // No answer: the request goes to an engine of the base version.
    assert!(begin(&mut streams, "s1", "v1"));
    assert_eq!(settle(&mut streams, "s1", "v1"), RecordState::Unsure);
    let again = streams.take_due(|_| true, 10);
    assert_eq!((&*again[0].software, again[0].expected_version), ("v1", 0));
    let found = HashMap::from([(again[0].stream, ("v2".into(), 7))]);
    streams.record_conflict(&again, &found);
    assert_eq!(settle(&mut streams, "s1", "v1"), RecordState::Pending);
    let last = streams.take_due(|_| true, 10);
    assert_eq!((&*last[0].software, last[0].expected_version), ("v1", 7));
    streams.record_written(&last, 8);
    assert_eq!(settle(&mut streams, "s1", "v1"), RecordState::Recorded);
}

/// A row that was surely not written leaves the base version open to its request.
#[test]
fn a_refused_row_is_not_needed_at_the_base_version() {
    let mut streams = Streams::default();
    begin(&mut streams, "s1", "v2");
    let rows = streams.take_due(|_| true, 10);
    streams.record_refused(rows);
    assert_eq!(settle(&mut streams, "s1", "v2"), RecordState::Pending);
    assert!(!begin(&mut streams, "s1", "v1"));
    assert_eq!(settle(&mut streams, "s1", "v1"), RecordState::Recorded);
}

/// Guards against ORDER by streams that began without a row and that no other host knew, and
/// against holding them back once others do, unless a row for another version may be written.
#[test]
fn a_stream_without_a_row_begins_once_other_hosts_hold_its_version() {
    let (first, second) = (Arc::from("h1"), Arc::from("h2"));
    let mut streams = Streams::default();
    assert!(begin(&mut streams, "s1", "v2"));
    assert_eq!(streams.tell(StreamId::of("s1")), Some(told("s1", "v2")));
    streams.record_holder(StreamId::of("s1"), &first, "v2");
    streams.record_holder(StreamId::of("s1"), &first, "v2");
    streams.record_holder(StreamId::of("s1"), &second, "v3");
    assert_eq!(settle(&mut streams, "s1", "v2"), RecordState::Pending);
    streams.record_holder(StreamId::of("s1"), &second, "v2");
    assert_eq!(settle(&mut streams, "s1", "v2"), RecordState::Recorded);
    assert_eq!(
        streams.take_due(|_| true, 10).len(),
        1,
        "it is still written"
    );
    begin(&mut streams, "s2", "v2");
    streams.take_due(|_| true, 10);
    begin(&mut streams, "s2", "v3");
    for host in [&first, &second] {
        streams.record_holder(StreamId::of("s2"), host, "v3");
    }
    let state = settle(&mut streams, "s2", "v3");
    assert_eq!(state, RecordState::Unsure, "one for v2 may be written");
}

/// Guards against ORDER by hosts that write the row of a version at which the stream then does not
/// begin: only a row tells from then on.
#[test]
fn a_stream_that_others_were_told_of_needs_a_row_at_any_other_version() {
    let mut streams = Streams::default();
    begin(&mut streams, "s1", "v2");
    streams.tell(StreamId::of("s1"));
    assert!(begin(&mut streams, "s1", "v1"), "also at the base version");
    for host in ["h1", "h2"] {
        streams.record_holder(StreamId::of("s1"), &host.into(), "v1");
    }
    assert_eq!(settle(&mut streams, "s1", "v1"), RecordState::Unsure);
    let rows = streams.take_due(|_| true, 10);
    let found = HashMap::from([(rows[0].stream, ("v2".into(), 4))]);
    streams.record_conflict(&rows, &found);
    let rows = streams.take_due(|_| true, 10);
    assert_eq!((&*rows[0].software, rows[0].expected_version), ("v1", 4));
    streams.record_written(&rows, 5);
    assert_eq!(settle(&mut streams, "s1", "v1"), RecordState::Recorded);
}

/// Guards against the loss of a version with the host that began the stream, and against another
/// stream of its name.
#[test]
fn a_host_that_is_told_of_a_stream_writes_its_row_and_keeps_its_version() {
    let mut streams = Streams::default();
    let (software, is_due) = streams.record_told(&told("s1", "v2"), &"h1".into(), at(1));
    assert_eq!((&*software, is_due), ("v2", true));
    let (software, _) = streams.record_told(&told("s1", "v3"), &"h2".into(), at(1));
    assert_eq!(&*software, "v2", "it is another's");
    let known = Some(("v2".into(), false));
    assert_eq!(streams.origin(StreamId::of("s1")), known);
    let rows = streams.take_due(|_| true, 10);
    streams.record_written(&rows, 3);
    assert_eq!(streams.origin(StreamId::of("s1")), known, "rows come first");
    begin(&mut streams, "s1", "v3");
    assert_eq!(settle(&mut streams, "s1", "v3"), RecordState::Foreign);
}

/// Guards against ORDER after a drill of the store: the rows of a host that has ended were written
/// again by nobody. Those of a host that lives are not written by all.
#[test]
fn rows_of_a_host_that_has_ended_are_written_again_in_a_new_era() {
    let mut streams = Streams::default();
    for (id, software) in [("own", "v2"), ("own-base", "v1")] {
        begin(&mut streams, id, software);
        let rows = streams.take_due(|_| true, 10);
        streams.record_written(&rows, 3);
        assert_eq!(settle(&mut streams, id, software), RecordState::Recorded);
    }
    for (id, host) in [("ended", "h1"), ("living", "h2")] {
        let told = Told {
            unwritten: false,
            ..told(id, "v2")
        };
        assert!(!streams.record_told(&told, &host.into(), at(1)).1);
    }
    streams.begin_era(|_| true, |host| host == "h2");
    let rows = streams.take_due(|_| true, 10);
    let mut due: Vec<_> = rows.iter().map(|row| row.stream).collect();
    due.sort();
    let mut expected = ["own", "own-base", "ended"].map(StreamId::of);
    expected.sort();
    assert_eq!(due, expected);
}

/// Guards against the cost of rows where one version serves.
#[test]
fn streams_of_the_only_version_get_no_rows_in_a_new_era() {
    let mut streams = Streams::default();
    begin(&mut streams, "s1", "v1");
    settle(&mut streams, "s1", "v1");
    streams.begin_era(|_| false, |_| true);
    assert_eq!(streams.take_due(|_| true, 10), []);
}

/// Guards against ORDER by a missing row that is taken for the base version while rows may be
/// missing, and against refusing for good what has none.
#[test]
fn a_missing_row_tells_nothing_for_as_long_as_a_stream_lasts() {
    let store = |era, now_ms| StoreTime { era, now_ms };
    let base = Base {
        era: 2,
        unsure_ms: Some(5_000),
        ..Base::default()
    };
    assert!(!base.holds(store(2, 5_000), true));
    assert!(!base.holds(store(2, 64_999), false), "versions have left");
    assert!(base.holds(store(2, 65_000), true));
    assert!(
        !base.holds(store(3, 65_000), true),
        "not written in this era"
    );
    assert!(base.holds(store(3, 65_000), false));
}

/// Guards against ORDER by a base that is replaced within a minute of a drill: rows of a third
/// version are missing still.
#[test]
fn a_base_that_is_replaced_keeps_the_time_of_missing_rows() {
    let base = Base {
        software: "v1".into(),
        unsure_ms: Some(5_000),
        ..Base::default()
    };
    let next = base.replaced_by("v2".into(), 3);
    assert_eq!((&*next.software, next.era), ("v2", 3));
    assert_eq!(next.unsure_ms, Some(5_000));
    assert_eq!(base.of_era(3, None).unsure_ms, Some(5_000));
    assert_eq!(base.of_era(3, Some(9_000)).unsure_ms, Some(9_000));
}

/// Guards against a wait for rows of streams at the base version, which follow.
#[test]
fn a_stream_at_the_base_version_does_not_wait_for_a_row_that_follows() {
    let mut streams = Streams::default();
    assert!(begin_with(&mut streams, "s1", "v1", RowNeed::Follows));
    assert_eq!(streams.take_due(|_| true, 10).len(), 1);
    assert_eq!(settle(&mut streams, "s1", "v1"), RecordState::Recorded);
}

/// Guards against ORDER by a request of the name of another's stream.
#[test]
fn a_row_of_another_stream_is_not_changed() {
    let mut streams = Streams::default();
    begin(&mut streams, "s1", "v2");
    let rows = streams.take_due(|_| true, 10);
    let found = HashMap::from([(rows[0].stream, ("v3".into(), 4))]);
    streams.record_conflict(&rows, &found);
    assert_eq!(settle(&mut streams, "s1", "v2"), RecordState::Foreign);
    assert_eq!(streams.take_due(|_| true, 10), []);
}

/// Streams that began at a base version without a row need one when it is replaced.
#[test]
fn streams_get_rows_when_their_base_is_replaced() {
    let mut streams = Streams::default();
    begin(&mut streams, "s1", "v1");
    assert_eq!(settle(&mut streams, "s1", "v1"), RecordState::Recorded);
    assert_eq!(streams.take_due(|_| true, 10), []);
    streams.change_base(SERVICE, "v2");
    assert_eq!(streams.take_due(|_| true, 10).len(), 1);
}

/// A flood of streams does not grow without bound, nor push out the newest.
#[test]
fn the_number_of_remembered_streams_is_bounded() {
    let mut streams = Streams::default();
    let software = Arc::from("v2");
    for number in 0..40_000_u64 {
        let id = StreamId::of(&number.to_string());
        let now = at(1) + Duration::from_micros(number);
        streams.begin(id, &service(), (&software, RowNeed::First), now);
    }
    assert!(streams.take_due(|_| true, 40_000).len() <= 16_384);
    assert_eq!(settle(&mut streams, "39999", "v2"), RecordState::Unsure);
}

/// A page with a row of each of these versions.
fn page(era: u64, versions: &[u64]) -> RowPage {
    let row = |version: &u64| Row {
        key: format!("{version:032}").into(),
        version: *version,
        value: Some(Vec::new()),
        deleted: false,
        unnamed_part: false,
    };
    RowPage {
        era,
        version: 100,
        rows: versions.iter().map(row).collect(),
        ..RowPage::default()
    }
}

fn deleted(marks: &SweepMarks, page: &RowPage, now: Duration) -> Vec<Option<u64>> {
    let deletions = marks.deletions("0", page, now);
    deletions.iter().map(|row| row.expected_version).collect()
}

#[test]
fn a_row_is_deleted_two_minutes_after_it_was_written_unless_it_is_written_again() {
    let mut marks = SweepMarks::default();
    let page = page(1, &[5, 10, 11, 20, 21]);
    assert_eq!(deleted(&marks, &page, at(0)), []);
    marks.record(1, 10, at(0));
    marks.record(1, 20, at(60));
    assert_eq!(deleted(&marks, &page, at(119)), []);
    assert_eq!(deleted(&marks, &page, at(120)), [Some(5), Some(10)]);
    marks.record(1, 30, at(120));
    let both = [Some(5), Some(10), Some(11), Some(20)];
    assert_eq!(deleted(&marks, &page, at(180)), both);
}

#[test]
fn rows_of_a_new_era_are_not_old_by_versions_of_the_era_before() {
    let mut marks = SweepMarks::default();
    marks.record(1, 50, at(0));
    assert_eq!(deleted(&marks, &page(2, &[5]), at(180)), []);
    marks.record(2, 3, at(180));
    assert_eq!(deleted(&marks, &page(2, &[2, 5]), at(299)), []);
    assert_eq!(deleted(&marks, &page(2, &[2, 5]), at(300)), [Some(2)]);
}

/// Guards against a split of a route by streams' names that is uneven, also among the names whose
/// rows are in one part of the table.
#[test]
fn the_draws_of_streams_are_evenly_distributed() {
    const STREAMS: usize = 16_000;
    let ids: Vec<_> = (0..STREAMS).map(|n| StreamId::of(&n.to_string())).collect();
    let share = |ids: &[&StreamId]| {
        let below = ids.iter().filter(|id| id.draw() < 0.3).count();
        below as f64 / ids.len() as f64
    };
    let all: Vec<_> = ids.iter().collect();
    let of_part: Vec<_> = ids.iter().filter(|id| id.first_byte() < 64).collect();
    for ids in [all, of_part] {
        assert!((0.27..0.33).contains(&share(&ids)), "{}", share(&ids));
        assert!(ids.iter().all(|id| (0.0..1.0).contains(&id.draw())));
    }
}
