//! What waits at an engine: by its own word, and by the prompts that daemons tell each other.

use std::collections::BTreeSet;
use std::time::Duration;

use mastichinge::clock::Moment;
use mastichinge::edge::engine_load::{EngineNews, EngineReport};
use mastichinge::edge::gossip::{Packet, PromptNote};
use mastichinge::edge::state::State;
use mastichinge::edge::upstream::{Lifetime, SentPrompt};
use test_case::test_case;

use crate::fixtures::entry;

/// Priority of urgent requests, and of others.
const URGENT: u8 = 0;
const USUAL: u8 = 1;

fn at(ms: u64) -> Moment {
    Moment::from_millis(50_000 + ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A daemon that knows one engine.
struct Daemon(State);

impl Daemon {
    /// Creates one whose engine has reported that `waiting` requests wait, at the time 0.
    fn new(waiting: u32, slowness_percent: Option<u32>) -> Self {
        let mut state = State::default();
        let entries = vec![entry("e", 1, &["m"])];
        let fleet = &mut state.fleet;
        fleet.update_entries(entries, &BTreeSet::new(), None, at(0));
        let mut daemon = Daemon(state);
        daemon.report(waiting, slowness_percent, 0);
        daemon
    }

    fn lifetime(&self) -> Lifetime {
        Lifetime {
            engine: "e".into(),
            incarnation: self.0.fleet.engines["e"].entry.incarnation,
        }
    }

    fn report(&mut self, waiting: u32, slowness_percent: Option<u32>, now: u64) {
        let report = EngineReport {
            running: 20,
            waiting,
            slots: 64,
            slowness_percent,
        };
        let lifetime = self.lifetime();
        self.0.record_engine_report(&lifetime, report, at(now));
    }

    /// Sends prompts that take 100 ms each.
    fn send(&mut self, count: u32, priority: u8, now: u64) {
        let sent = SentPrompt {
            engine: "e".into(),
            target: "m".into(),
            prefill_time: ms(100),
            priority,
            ..SentPrompt::default()
        };
        let engine = self.0.fleet.engines.get_mut("e").unwrap();
        for _ in 0..count {
            engine.record_prompt(&sent, None, at(now));
        }
    }

    fn backlog(&self, priority: u8, now: u64) -> Duration {
        let engine = &self.0.fleet.engines["e"];
        engine.reading_times(Duration::ZERO, priority, at(now)).0
    }
}

/// Guards against urgent requests that are held back, or go to a worse engine, because of prompts
/// that their engine lets wait for them. Engines with three figures are used as before.
#[test_case(Some(100), 0, 200, 600; "four figures")]
#[test_case(None, 0, 600, 600; "three figures")]
#[test_case(None, 9, 600, 600; "three figures and waiting requests")]
fn urgent_requests_pass_others(slowness: Option<u32>, waiting: u32, urgent: u64, usual: u64) {
    let mut daemon = Daemon::new(waiting, slowness);
    daemon.send(4, USUAL, 0);
    daemon.send(2, URGENT, 0);
    assert_eq!(daemon.backlog(URGENT, 0), ms(urgent));
    assert_eq!(daemon.backlog(USUAL, 0), ms(usual));
}

/// Guards against urgent requests that are thought to wait for a slot behind others.
#[test_case(Some(100), 6, 0; "four figures")]
#[test_case(None, 0, 0; "three figures")]
fn urgent_requests_get_a_slot_first(slowness: Option<u32>, urgent: u32, usual: u32) {
    let mut daemon = Daemon::new(0, slowness);
    daemon.send(6, USUAL, 0);
    daemon.send(2, URGENT, 0);
    let engine = daemon.0.fleet.engines.get_mut("e").unwrap();
    engine.own_load.running = engine.entry.slots + 8;
    assert_eq!(engine.passed_by(URGENT, at(0)), urgent);
    assert_eq!(engine.passed_by(USUAL, at(0)), usual);
}

/// Guards against an idle engine taken for busy: another daemon's prompts were read sooner than
/// expected. An old report decides less and less.
#[test]
fn a_report_that_nothing_waits_ends_the_known_queue() {
    let mut daemon = Daemon::new(0, Some(100));
    daemon.send(20, USUAL, 10);
    assert!(daemon.backlog(USUAL, 10) > ms(1_990));
    daemon.report(0, Some(100), 100);
    assert_eq!(daemon.backlog(USUAL, 100), ms(0));
    daemon.send(1, USUAL, 110);
    assert!(daemon.backlog(USUAL, 110) < ms(150));
    assert_eq!(daemon.backlog(USUAL, 700), ms(1_410));
}

/// Guards against a full engine taken for idle: prompts wait for memory, which no daemon knows.
#[test]
fn more_may_wait_than_daemons_know_of() {
    let mut daemon = Daemon::new(0, Some(100));
    daemon.send(1, USUAL, 10);
    daemon.report(8, Some(100), 300);
    assert_eq!(daemon.backlog(USUAL, 300), ms(800));
    assert_eq!(daemon.backlog(USUAL, 600), ms(400));
    assert_eq!(daemon.backlog(USUAL, 900), ms(0));
    // No urgent prompt was sent there of late.
    assert_eq!(daemon.backlog(URGENT, 300), ms(0));
}

/// Guards against a report that lies: it neither breaks the prediction nor bars the engine for
/// longer than a report counts.
#[test]
fn an_absurd_number_of_waiting_requests_is_bounded() {
    let mut daemon = Daemon::new(u32::MAX, Some(100));
    daemon.send(1, USUAL, 10);
    assert!(daemon.backlog(USUAL, 10) <= ms(10_000));
    assert_eq!(daemon.backlog(USUAL, 800), ms(0));
}

/// Failure: a daemon is cut off, and the engine restarts. What it heard before fades, a note about
/// the earlier lifetime is dropped, and the new engine begins with nothing.
#[test]
fn a_daemon_that_is_cut_off_forgets_and_a_restarted_engine_is_empty() {
    let mut daemon = Daemon::new(30, Some(100));
    daemon.send(3, USUAL, 10);
    assert!(daemon.backlog(USUAL, 20) > ms(2_000));
    assert_eq!(daemon.backlog(USUAL, 1_000), ms(0));
    let lifetime = daemon.lifetime();
    let mut restarted = entry("e", 1, &["m"]);
    restarted.incarnation += 1;
    let fleet = &mut daemon.0.fleet;
    fleet.update_entries(vec![restarted], &BTreeSet::new(), None, at(1_100));
    let report = EngineReport {
        waiting: 30,
        slowness_percent: Some(250),
        ..EngineReport::default()
    };
    let news = EngineNews {
        lifetime,
        report,
        reported_at: at(1_150),
        ratio_percent: None,
    };
    daemon.0.apply_news(&news, at(1_200));
    assert_eq!(daemon.backlog(USUAL, 1_200), ms(0));
    assert!(daemon.0.fleet.engines["e"].pace.report().is_none());
}

/// Guards against daemons that count each other's prompts without their priority; a daemon of an
/// earlier version names none, and its prompts count for all.
#[test_case(u32::from(USUAL), 0; "usual")]
#[test_case(300, 0; "no priority at all")]
#[test_case(0, 100; "not named")]
fn prompts_of_other_daemons_keep_their_priority(priority: u32, urgent: u64) {
    let mut daemon = Daemon::new(0, Some(100));
    let note = PromptNote {
        engine: "e".to_owned(),
        target: "m".to_owned(),
        prefill_ms: 100,
        priority,
        ..PromptNote::default()
    };
    let packet = Packet {
        sent_prompts: vec![note],
        ..Packet::default()
    };
    let sender = "edge-1".into();
    daemon.0.apply_packet("own", &sender, &packet, at(0));
    assert_eq!(daemon.backlog(URGENT, 0), ms(urgent));
    assert_eq!(daemon.backlog(u8::MAX, 0), ms(100));
}
