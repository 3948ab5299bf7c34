//! The configuration's ledger: concurrent proposals, lost replies, snapshots,
//! validation and permissions.

mod memory;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier};

use mastichinge::config::entry::{Entry, Proposal};
use mastichinge::config::ledger::{ConfigLedger, ProposeError};
use mastichinge::config::patch::{apply_patch, create_patch};
use mastichinge::config::state::{ActiveConfig, ApplyOutcome};
use mastichinge::config::{Config, Name};
use memory::{MemoryObjects, MemoryTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use test_case::test_case;

#[derive(Default)]
struct LedgerFixture {
    table: MemoryTable,
    objects: MemoryObjects,
}

impl LedgerFixture {
    fn ledger(&self) -> ConfigLedger<'_, MemoryTable, MemoryObjects> {
        ConfigLedger::new(&self.table, &self.objects)
    }

    fn propose(&self, proposal: &Proposal) -> Result<Entry, ProposeError> {
        self.ledger().propose(&ActiveConfig::default(), proposal)
    }
}

fn proposal(base: u64, attempt: &str, patch: Value) -> Proposal {
    Proposal {
        base,
        patch,
        who: "op".into(),
        teams: vec!["*".into()],
        attempt: attempt.into(),
        unix: 1,
    }
}

fn queue_patch(queue: u64) -> Value {
    json!({ "policy": { "queue": queue } })
}

fn sample_config() -> Value {
    json!({
        "engines": {
            "e1": { "addr": "10.0.0.1:8000", "pool": "p", "memory": 1000 },
            "e2": { "addr": "10.0.0.2:8000", "pool": "q", "memory": 1000 }
        },
        "models": {
            "base": { "pool": "p", "memory": 800, "team": "a" },
            "adapter": { "pool": "p", "memory": 100, "base": "base", "team": "b" }
        }
    })
}

#[test]
fn versions_are_consecutive_and_can_be_loaded() {
    let fixture = LedgerFixture::default();
    for base in 0..5 {
        let entry = fixture.propose(&proposal(base, &format!("a{base}"), queue_patch(base + 1)));
        assert_eq!(entry.unwrap().version, base + 1);
    }
    let current = fixture.ledger().load().unwrap();
    assert_eq!((current.version, current.config.policy.queue), (5, 5));
    assert_eq!(
        fixture
            .ledger()
            .load_version(3)
            .unwrap()
            .config
            .policy
            .queue,
        3
    );
    let later: Vec<u64> = fixture
        .ledger()
        .entries_after(3)
        .unwrap()
        .iter()
        .map(|e| e.version)
        .collect();
    assert_eq!(later, [4, 5]);
}

#[test]
fn an_old_base_conflicts_and_lists_the_newer_changes() {
    let fixture = LedgerFixture::default();
    fixture.propose(&proposal(0, "a", queue_patch(1))).unwrap();
    fixture.propose(&proposal(1, "b", queue_patch(2))).unwrap();
    let err = fixture
        .propose(&proposal(0, "c", queue_patch(3)))
        .unwrap_err();
    let ProposeError::Conflict {
        base,
        head,
        changes,
    } = err
    else {
        panic!("{err}");
    };
    assert_eq!((base, head), (0, 2));
    assert_eq!(changes[1].patch, queue_patch(2));
}

#[test]
fn a_base_above_the_latest_version_conflicts() {
    let err = LedgerFixture::default().propose(&proposal(u64::MAX, "a", queue_patch(1)));
    assert!(matches!(err, Err(ProposeError::Conflict { head: 0, .. })));
}

#[test]
fn one_of_eight_concurrent_proposals_is_accepted() {
    let fixture = LedgerFixture::default();
    *fixture.table.commit_barrier.lock().unwrap() = Some(Arc::new(Barrier::new(8)));
    let outcomes = std::thread::scope(|scope| {
        let fixture = &fixture;
        let threads: Vec<_> = (0..8)
            .map(|i| {
                scope.spawn(move || {
                    fixture.propose(&proposal(0, &format!("a{i}"), queue_patch(i + 1)))
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|t| t.join().unwrap())
            .collect::<Vec<_>>()
    });
    let accepted = outcomes.iter().filter(|o| o.is_ok()).count();
    assert_eq!(accepted, 1);
    let conflicts = outcomes
        .iter()
        .filter(|o| matches!(o, Err(ProposeError::Conflict { .. })));
    assert_eq!(conflicts.count(), 7);
    assert_eq!(fixture.ledger().head_version().unwrap(), 1);
}

#[test_case(1, 0; "after the effect")]
#[test_case(0, 2; "before the effect")]
fn a_lost_reply_is_resolved_by_reading_the_log(lost: u32, dropped: u32) {
    let fixture = LedgerFixture::default();
    fixture.table.lost_responses.store(lost, Ordering::SeqCst);
    fixture
        .table
        .dropped_commits
        .store(dropped, Ordering::SeqCst);
    let entry = fixture.propose(&proposal(0, "a", queue_patch(7))).unwrap();
    assert_eq!(entry.version, 1);
    assert_eq!(fixture.ledger().head_version().unwrap(), 1);
}

#[test]
fn without_a_reply_the_outcome_is_unknown_until_the_proposal_is_sent_again() {
    let fixture = LedgerFixture::default();
    fixture.table.dropped_commits.store(3, Ordering::SeqCst);
    let sent = proposal(0, "a", queue_patch(7));
    assert!(matches!(
        fixture.propose(&sent),
        Err(ProposeError::Unknown { .. })
    ));
    assert_eq!(fixture.propose(&sent).unwrap().version, 1);
}

#[test]
fn a_proposal_sent_again_returns_its_first_version() {
    let fixture = LedgerFixture::default();
    let first = proposal(0, "a", queue_patch(1));
    fixture.propose(&first).unwrap();
    fixture.propose(&proposal(1, "b", queue_patch(2))).unwrap();
    assert_eq!(fixture.propose(&first).unwrap().version, 1);
    let other = Proposal {
        who: "other".into(),
        ..first
    };
    assert!(matches!(
        fixture.propose(&other),
        Err(ProposeError::Conflict { .. })
    ));
}

#[test]
fn versions_load_from_snapshots_even_if_one_failed_at_first() {
    let fixture = LedgerFixture::default();
    fixture.objects.failing_writes.store(1, Ordering::SeqCst);
    let mut current = ActiveConfig::default();
    for base in 0..230 {
        let sent = proposal(base, &format!("a{base}"), queue_patch(base + 1));
        let entry = fixture.ledger().propose(&current, &sent).unwrap();
        assert_eq!(current.apply(&entry), Ok(ApplyOutcome::Applied));
    }
    assert_eq!(fixture.ledger().load().unwrap().version, 230);
    for version in [1, 99, 100, 101, 199, 200, 230] {
        let loaded = fixture.ledger().load_version(version).unwrap();
        assert_eq!(
            (loaded.version, u64::from(loaded.config.policy.queue)),
            (version, version)
        );
    }
}

#[test]
fn the_active_version_never_decreases_or_skips() {
    let fixture = LedgerFixture::default();
    let mut entries = Vec::new();
    for base in 0..3 {
        let sent = proposal(base, &format!("a{base}"), queue_patch(base + 1));
        entries.push(fixture.propose(&sent).unwrap());
    }
    let mut current = ActiveConfig::default();
    assert_eq!(current.apply(&entries[1]), Ok(ApplyOutcome::Gap));
    for entry in &entries {
        assert_eq!(current.apply(entry), Ok(ApplyOutcome::Applied));
    }
    assert_eq!(current.apply(&entries[0]), Ok(ApplyOutcome::AlreadyApplied));
    assert_eq!(
        current.restore(2, &json!({})),
        Ok(ApplyOutcome::AlreadyApplied)
    );
    assert_eq!(current.version, 3);
}

fn invalid_paths(patch: Value) -> Vec<String> {
    let fixture = LedgerFixture::default();
    fixture.propose(&proposal(0, "a", sample_config())).unwrap();
    let Err(ProposeError::Invalid(errors)) = fixture.propose(&proposal(1, "b", patch)) else {
        panic!("accepted");
    };
    errors.iter().map(|e| e.path.to_string()).collect()
}

#[test_case(json!({"models": {"base": {"memory": 901}}}), &["/models/adapter/memory"]; "adapter with base")]
#[test_case(json!({"models": {"x": {"pool": "p", "memory": 2000}}}), &["/models/x/memory"]; "too large")]
#[test_case(json!({"models": {"x": {"pool": "r"}}}), &["/models/x/pool"]; "pool without engines")]
#[test_case(json!({"models": {"x": {"pool": "p", "memory": 1, "base": "adapter"}}}), &["/models/x/base"]; "adapter of an adapter")]
#[test_case(json!({"models": {"x": {"pool": "q", "memory": 1, "base": "base"}}}), &["/models/x/pool"]; "base in another pool")]
#[test_case(json!({"models": {"base": null}}), &["/models/adapter/base"]; "base of an adapter removed")]
#[test_case(json!({"models": {"adapter": {"warm": 2}}}), &["/models/adapter/warm"]; "warm above the limit")]
#[test_case(json!({"models": {"base": {"warm": 2, "limit": 2}}}), &["/models/base/warm"]; "warm above memory")]
#[test_case(json!({"engines": {"e1": {"addr": "here", "slots": 0}}}), &["/engines/e1/addr", "/engines/e1/slots"]; "two invalid fields of one engine")]
#[test_case(json!({"engines": {"e3": {"addr": "10.0.0.1:8000"}}}), &["/engines/e3/addr"]; "address twice")]
#[test_case(json!({"engines": {"e1": {"key": "(hidden)"}}}), &["/engines/e1/key"]; "hidden key written back")]
#[test_case(json!({"callers": {"c": {"key_sha256": "ab", "rate": 0}}}), &["/callers/c/key_sha256", "/callers/c/rate"]; "caller")]
#[test_case(json!({"operators": {"admin": {"roles": ["read"], "key_sha256": "0".repeat(64)}}}), &["/operators/admin"]; "reserved operator")]
#[test_case(json!({"models": {"a b": {"pool": "p"}}, "modles": {}}), &["/modles"]; "unknown section")]
#[test_case(json!({"models": {"x": {"pool": "p", "warm": -1, "colour": 1}}}), &["/models/x/colour", "/models/x/warm"]; "wrong fields")]
#[test_case(json!([1]), &[""]; "patch is not an object")]
#[test_case(json!({"engines": {"e2": {"pool": "p"}}}), &["/engines/e2/pool"]; "engine changes its pool")]
fn the_error_names_every_invalid_field(patch: Value, expected: &[&str]) {
    assert_eq!(invalid_paths(patch), expected);
}

fn forbidden_teams(teams: &[&str], patch: Value) -> Vec<Name> {
    let fixture = LedgerFixture::default();
    fixture.propose(&proposal(0, "a", sample_config())).unwrap();
    let teams = teams.iter().map(|t| Name::from(*t)).collect();
    let sent = Proposal {
        teams,
        ..proposal(1, "b", patch)
    };
    match fixture.propose(&sent) {
        Err(ProposeError::Forbidden { teams, .. }) => teams,
        Err(err) => panic!("{err}"),
        Ok(_) => Vec::new(),
    }
}

#[test_case(&["a"], json!({"models": {"base": {"limit": 2}}}) => Vec::<Name>::new(); "own model")]
#[test_case(&["a"], json!({"models": {"adapter": null}}) => vec![Name::from("b")]; "other team's model")]
#[test_case(&["a"], json!({"models": {"base": {"team": "b"}}}) => vec![Name::from("b")]; "own model moved to another team")]
#[test_case(&["b"], json!({"models": {"base": {"team": "b"}}}) => vec![Name::from("a")]; "another team's model moved to the own team")]
#[test_case(&["a"], json!({"policy": {"queue": 1}}) => vec![Name::from("*")]; "shared policy")]
#[test_case(&["a"], json!({"callers": {"c": {"team": "a", "teams": ["a", "b"]}}}) => vec![Name::from("b")]; "caller that may use models of another team")]
#[test_case(&["*"], json!({"engines": {"e1": {"slots": 3}}}) => Vec::<Name>::new(); "all teams")]
fn a_patch_must_change_only_the_operators_teams(teams: &[&str], patch: Value) -> Vec<Name> {
    forbidden_teams(teams, patch)
}

fn model_change() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        (0u32..9, 1u64..99).prop_map(|(limit, memory)| json!({ "limit": limit, "memory": memory })),
        Just(json!({ "limit": null, "team": "t" })),
    ]
}

fn patches() -> impl Strategy<Value = Vec<Value>> {
    let models = proptest::collection::btree_map("[a-c]", model_change(), 0..3);
    let patch = (models, 1u32..9)
        .prop_map(|(models, queue)| json!({ "models": models, "policy": { "queue": queue } }));
    proptest::collection::vec(patch, 1..8)
}

/// Seed of the generated patches.
const SEED: u64 = 20_261_203;

fn seeded_config() -> ProptestConfig {
    println!("seed {SEED}");
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// One proposal of one of several operators.
#[derive(Clone, Debug)]
struct Step {
    operator: usize,
    /// Number of versions that the base lies behind the latest version.
    behind: u64,
    /// Number of commits that take effect and whose replies are lost.
    lost: u32,
    /// Number of commits that take effect when delivered later and whose replies are lost.
    delayed: u32,
    /// Number of commits that get lost before they take effect.
    dropped: u32,
    /// Whether the delayed commits are delivered after this step.
    deliver: bool,
    /// Whether the operator's last proposal is sent again, instead of a new one.
    resend: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let counts = (0u32..3, 0u32..4, 0u32..4);
    let step = (0usize..3, 0u64..2, counts, any::<bool>(), any::<bool>());
    let step = step.prop_map(
        |(operator, behind, (lost, delayed, dropped), deliver, resend)| Step {
            operator,
            behind,
            lost,
            delayed,
            dropped,
            deliver,
            resend,
        },
    );
    proptest::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(seeded_config())]

    #[test]
    fn patching_by_object_equals_patching_the_whole_document(patches in patches()) {
        let mut config = Config::default();
        let mut document = json!({});
        for patch in &patches {
            config = apply_patch(&config, patch).unwrap();
            json_patch::merge(&mut document, patch);
        }
        let whole = apply_patch(&Config::default(), &document).unwrap();
        prop_assert_eq!(&whole, &config);
    }

    #[test]
    fn each_attempt_takes_effect_at_most_once_despite_lost_commits(steps in steps()) {
        let fixture = LedgerFixture::default();
        let mut last: Vec<Option<Proposal>> = vec![None; 3];
        let mut accepted = BTreeMap::new();
        let mut seen: Vec<Entry> = Vec::new();
        for (i, step) in steps.iter().enumerate() {
            let before = fixture.ledger().head_version().unwrap();
            let fresh = proposal(before.saturating_sub(step.behind), &format!("a{i}"), queue_patch(i as u64 + 1));
            let sent = last[step.operator].take().filter(|_| step.resend).unwrap_or(fresh);
            fixture.table.lost_responses.store(step.lost, Ordering::SeqCst);
            fixture.table.delayed_commits.store(step.delayed, Ordering::SeqCst);
            fixture.table.dropped_commits.store(step.dropped, Ordering::SeqCst);
            if let Ok(entry) = fixture.propose(&sent) {
                let version = *accepted.entry(sent.attempt.clone()).or_insert(entry.version);
                prop_assert_eq!(version, entry.version);
            }
            if step.deliver {
                fixture.table.deliver_delayed();
            }
            let log = fixture.ledger().entries_after(0).unwrap();
            prop_assert_eq!(&log[..seen.len()], &seen[..]);
            seen = log;
            last[step.operator] = Some(sent);
        }
        let attempts: BTreeMap<Name, u64> = seen.iter().map(|e| (e.attempt.clone(), e.version)).collect();
        prop_assert_eq!(attempts.len(), seen.len());
        for (attempt, version) in &accepted {
            prop_assert_eq!(attempts.get(attempt), Some(version));
        }
    }

    #[test]
    fn a_created_patch_turns_old_into_new(patches in patches()) {
        let old = serde_json::to_value(apply_patch(&Config::default(), &patches[0]).unwrap()).unwrap();
        let last = &patches[patches.len() - 1];
        let new = serde_json::to_value(apply_patch(&Config::default(), last).unwrap()).unwrap();
        let mut patched = old.clone();
        json_patch::merge(&mut patched, &create_patch(&old, &new));
        prop_assert_eq!(patched, new);
    }
}
