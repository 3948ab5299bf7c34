//! Membership of daemons and status of upstreams.

use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::config::Name;
use mastichinge::members::{
    HEARTBEAT_PERIOD, HeartbeatOutcome, MemberSettings, Members, UpstreamSettings, UpstreamStatus,
    Upstreams, heartbeat_period, rendezvous_order,
};
use mastichinge::outside::{HostEntry, HostState, Hosts};
use mastichinge::peer::wire::Heartbeat;
use test_case::test_case;

const START: Moment = Moment::from_secs(100);
const HOSTS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn names(hosts: &[&str]) -> Vec<Name> {
    hosts.iter().map(|host| (*host).into()).collect()
}

fn heartbeat(incarnation: u64) -> Heartbeat {
    Heartbeat {
        incarnation,
        ready: true,
        addr: "127.0.0.1:7800".into(),
        ..Heartbeat::default()
    }
}

fn leaving(incarnation: u64) -> Heartbeat {
    Heartbeat {
        leaving: true,
        ..heartbeat(incarnation)
    }
}

fn list(revision: u64, hosts: &[(&str, HostState, u64)]) -> Hosts {
    let entry = |&(name, state, revision): &(&str, HostState, u64)| HostEntry {
        name: name.into(),
        state,
        revision,
    };
    let hosts = hosts.iter().map(entry).collect();
    Hosts { revision, hosts }
}

fn all_live(revision: u64) -> Hosts {
    list(revision, &HOSTS.map(|host| (host, HostState::Live, 1)))
}

/// Returns five members as seen from `a`, all heard at `START`.
fn five_members() -> Members {
    let settings = MemberSettings::for_peers("a".into(), names(&HOSTS));
    let mut members = Members::new(settings);
    for host in HOSTS {
        members.record_heartbeat(&host.into(), &heartbeat(1), START);
    }
    members.update_host_list(&all_live(1));
    members
}

/// Records heartbeats of `senders` from `START` until `later`.
fn record_heartbeats(members: &mut Members, senders: &[&str], later: Moment) {
    let mut now = START;
    while now <= later {
        for host in senders {
            members.record_heartbeat(&(*host).into(), &heartbeat(1), now);
        }
        now += HEARTBEAT_PERIOD;
    }
}

fn entry_names(members: &Members, now: Moment) -> Vec<Name> {
    members
        .entry_hosts(now)
        .into_iter()
        .map(|e| e.host)
        .collect()
}

#[test]
fn silent_member_is_suspected_until_its_next_heartbeat() {
    let mut members = five_members();
    let later = START + HEARTBEAT_PERIOD * 4;
    record_heartbeats(&mut members, &["a", "b", "c", "d"], later);
    assert!(!members.is_alive("e", later));
    assert_eq!(entry_names(&members, later), names(&["a", "b", "c", "d"]));
    assert_eq!(members.serving_hosts(later).len(), 4);
    members.record_heartbeat(&"e".into(), &heartbeat(1), later);
    assert!(members.is_alive("e", later));
}

#[test]
fn own_pause_does_not_count_as_silence_of_others() {
    let mut members = five_members();
    let resumed = START + Duration::from_secs(3_600);
    assert_eq!(
        members.alive_hosts(resumed),
        names(&HOSTS),
        "before its own next heartbeat"
    );
    members.record_heartbeat(&"a".into(), &heartbeat(1), resumed);
    assert_eq!(members.alive_hosts(resumed), names(&HOSTS));
    let later = resumed + HEARTBEAT_PERIOD * 4;
    members.record_heartbeat(&"a".into(), &heartbeat(1), later - HEARTBEAT_PERIOD);
    members.record_heartbeat(&"a".into(), &heartbeat(1), later);
    assert_eq!(members.alive_hosts(later), names(&["a"]));
}

#[test]
fn closed_link_makes_a_member_suspected_until_a_new_link() {
    let mut members = five_members();
    members.record_link_down("b", 1, START);
    assert!(members.is_alive("b", START));
    let soon = START + HEARTBEAT_PERIOD;
    assert!(!members.is_alive("b", soon));
    members.record_link_up(&"b".into(), 1, START);
    assert!(members.is_alive("b", soon));
    members.record_link_down("b", 0, START);
    assert!(members.is_alive("b", soon), "an older link does not count");
    assert!(members.is_linked("b"));
    members.record_link_up(&"b".into(), 2, START);
    assert_eq!(members.incarnation("b"), Some(2));
    assert!(
        !members.serving_hosts(START).contains(&"b".into()),
        "not heard yet"
    );
}

#[test]
fn leaving_by_heartbeat_is_kept_until_the_next_incarnation() {
    let mut members = five_members();
    assert_eq!(
        members.record_heartbeat(&"b".into(), &leaving(1), START),
        HeartbeatOutcome::Changed
    );
    assert_eq!(
        members.record_heartbeat(&"b".into(), &heartbeat(1), START),
        HeartbeatOutcome::Unchanged
    );
    members.update_host_list(&all_live(9));
    assert!(members.is_leaving("b"));
    assert!(members.is_alive("b", START));
    assert!(!members.serving_hosts(START).contains(&"b".into()));
    assert_eq!(
        members.record_heartbeat(&"b".into(), &heartbeat(2), START),
        HeartbeatOutcome::Restarted
    );
    assert!(!members.is_leaving("b"));
    assert_eq!(
        members.record_heartbeat(&"b".into(), &leaving(1), START),
        HeartbeatOutcome::Stale
    );
    assert!(!members.is_leaving("b"));
    assert!(members.is_running("b", 2, START) && !members.is_running("b", 1, START));
}

#[test]
fn leaving_by_list_is_kept_despite_stale_lists_and_entries() {
    let mut members = five_members();
    let (live, leaving) = (HostState::Live, HostState::Leaving);
    members.update_host_list(&list(7, &[("a", live, 1), ("b", leaving, 7)]));
    assert_eq!(entry_names(&members, START), names(&["a", "c", "d", "e"]));
    members.update_host_list(&list(6, &[("a", live, 1), ("b", live, 6)]));
    assert!(members.is_leaving("b"), "an older list");
    members.update_host_list(&list(8, &[("a", live, 1), ("b", live, 5)]));
    assert!(members.is_leaving("b"), "an older entry in a newer list");
    members.update_host_list(&list(8, &[("a", live, 1), ("b", live, 7)]));
    assert!(members.is_leaving("b"), "an entry of the same revision");
    members.update_host_list(&list(9, &[("a", live, 1), ("b", live, 9)]));
    assert!(!members.is_leaving("b"));
}

#[test_case(Heartbeat { ready: false, ..heartbeat(1) }; "not ready")]
#[test_case(leaving(1); "leaving")]
fn entry_and_serving_hosts_exclude_a_host_that_is(heartbeat: Heartbeat) {
    let mut members = five_members();
    members.record_heartbeat(&"c".into(), &heartbeat, START);
    assert_eq!(entry_names(&members, START), names(&["a", "b", "d", "e"]));
    assert_eq!(members.serving_hosts(START), names(&["a", "b", "d", "e"]));
    assert_eq!(members.alive_hosts(START), names(&HOSTS));
}

#[test]
fn only_silent_members_that_are_not_listed_are_removed() {
    let mut members = five_members();
    let later = START + Duration::from_secs(3_600);
    record_heartbeats(&mut members, &["a"], later);
    assert!(members.expire(later).is_empty());
    members.update_host_list(&list(
        2,
        &[("a", HostState::Live, 1), ("b", HostState::Live, 1)],
    ));
    assert_eq!(members.expire(later), names(&["c", "d", "e"]));
    assert_eq!(
        members.known_hosts().cloned().collect::<Vec<_>>(),
        names(&["a", "b"])
    );
}

#[test]
fn visible_fraction_counts_listed_and_alive_daemons() {
    let unheard = Members::new(MemberSettings::for_peers("a".into(), names(&HOSTS)));
    assert_eq!(unheard.visible_fraction(START), 0.2);
    let mut members = five_members();
    assert_eq!(members.visible_fraction(START), 1.0);
    let later = START + HEARTBEAT_PERIOD * 4;
    record_heartbeats(&mut members, &["a", "b"], later);
    assert_eq!(members.visible_fraction(later), 0.4);
    members.update_host_list(&list(
        2,
        &[("a", HostState::Live, 1), ("c", HostState::Live, 1)],
    ));
    assert_eq!(members.visible_fraction(later), 2.0 / 3.0);
}

#[test]
fn rank_is_the_same_in_every_build_and_keeps_the_order_of_the_remaining_hosts() {
    let order = rendezvous_order("pool", names(&HOSTS));
    assert_eq!(order, names(&["c", "e", "a", "b", "d"]));
    let mut members = five_members();
    assert_eq!(members.rank_hosts("pool", START), order);
    assert_eq!(members.rank("pool", START), Some(2));
    members.record_heartbeat(&order[0], &leaving(1), START);
    assert_eq!(members.rank_hosts("pool", START), order[1..]);
    assert_eq!(members.rank("pool", START), Some(1));
    members.leave();
    assert_eq!(members.rank("pool", START), None);
}

#[test]
fn rendezvous_order_spreads_keys_over_hosts() {
    let mut first = [0; HOSTS.len()];
    for key in 0..1_000 {
        let order = rendezvous_order(&key.to_string(), names(&HOSTS));
        let position = HOSTS.iter().position(|host| **host == *order[0]);
        first[position.unwrap()] += 1;
    }
    assert!(first.iter().all(|n| (150..250).contains(n)), "{first:?}");
}

#[test]
fn heartbeat_period_grows_with_members() {
    assert_eq!(heartbeat_period(5), HEARTBEAT_PERIOD);
    assert_eq!(heartbeat_period(460), Duration::from_millis(29_440));
    let settings = MemberSettings::for_peers("a".into(), names(&["a"; 460]));
    assert!(settings.silence_timeout > heartbeat_period(460) * 2);
}

/// One listed engine that has reported its instance.
struct ListedEngine {
    upstreams: Upstreams,
    name: Name,
}

impl ListedEngine {
    fn new() -> Self {
        let mut upstreams = Upstreams::new(UpstreamSettings::default());
        let name: Name = "e1".into();
        upstreams.update_host_list(&list(1, &[("e1", HostState::Live, 1)]));
        upstreams.record_report(&name, &"i1".into(), false);
        ListedEngine { upstreams, name }
    }

    fn status(&self, now: Moment) -> UpstreamStatus {
        self.upstreams.status(&self.name, now)
    }

    fn record_report(&mut self, instance: &str, leaving: bool) {
        self.upstreams
            .record_report(&self.name, &instance.into(), leaving);
    }
}

#[test]
fn upstream_that_reported_leaving_stays_leaving_until_it_restarts() {
    let mut engine = ListedEngine::new();
    assert_eq!(engine.status(START), UpstreamStatus::Ready);
    engine.record_report("i1", true);
    engine.record_report("i1", false);
    engine
        .upstreams
        .update_host_list(&list(5, &[("e1", HostState::Live, 5)]));
    assert_eq!(engine.status(START), UpstreamStatus::Leaving);
    engine.record_report("i2", false);
    assert_eq!(engine.status(START), UpstreamStatus::Ready);
}

#[test]
fn upstream_listed_as_leaving_stays_leaving_despite_stale_entries_and_its_own_reports() {
    let mut engine = ListedEngine::new();
    engine
        .upstreams
        .update_host_list(&list(3, &[("e1", HostState::Leaving, 3)]));
    assert_eq!(engine.status(START), UpstreamStatus::Leaving);
    engine
        .upstreams
        .update_host_list(&list(4, &[("e1", HostState::Live, 2)]));
    engine
        .upstreams
        .update_host_list(&list(2, &[("e1", HostState::Live, 2)]));
    engine.record_report("i1", false);
    assert_eq!(engine.status(START), UpstreamStatus::Leaving);
    engine.upstreams.update_host_list(&list(5, &[]));
    assert_eq!(engine.status(START), UpstreamStatus::Gone);
}

#[test]
fn failing_upstream_is_retried_with_exponential_backoff() {
    let mut engine = ListedEngine::new();
    let backoff = UpstreamSettings::default().backoff;
    let name = engine.name.clone();
    engine.upstreams.record_failure(&name, START);
    assert_eq!(engine.status(START), UpstreamStatus::Ready);
    engine.upstreams.record_failure(&name, START);
    assert_eq!(engine.status(START), UpstreamStatus::Failing);
    assert_eq!(engine.status(START + backoff), UpstreamStatus::Ready);
    engine.upstreams.record_failure(&name, START + backoff);
    assert_eq!(engine.status(START + backoff * 2), UpstreamStatus::Failing);
    assert_eq!(engine.status(START + backoff * 3), UpstreamStatus::Ready);
    engine.upstreams.record_success(&name);
    engine.upstreams.record_failure(&name, START);
    assert_eq!(engine.status(START), UpstreamStatus::Ready);
}

#[test]
fn unlisted_and_unknown_upstreams_are_ready() {
    let mut upstreams = Upstreams::default();
    assert_eq!(upstreams.status("new", START), UpstreamStatus::Ready);
    upstreams.update_host_list(&list(1, &[]));
    upstreams.record_report(&"new".into(), &"i".into(), false);
    assert_eq!(upstreams.status("new", START), UpstreamStatus::Ready);
}
