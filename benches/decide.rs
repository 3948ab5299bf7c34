//! Benchmarks of the decisions at the current size and at the design size.

mod scene;

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use mastichinge::clock::Moment;
use mastichinge::config::Policy;
use mastichinge::decide::admission::{AdmissionQueue, QueuedRequest};
use mastichinge::decide::pinning::plan_changes;
use mastichinge::decide::placement::place_model;
use mastichinge::decide::placement_types::PlacementOptions;
use mastichinge::decide::routing::{ReplicaQuery, choose_replica};
use mastichinge::decide::sleep::{ModelFacts, decide_unload};
use mastichinge::edge::suspects::{Feature, Suspects};
use scene::crashes;
use scene::fleet::LeaderScene;
use scene::selection::SelectionScene;
use scene::{FULL, POOL, TODAY};

fn routing(c: &mut Criterion) {
    let query = ReplicaQuery {
        domain: 3,
        prompt_tokens: 1_000,
    };
    let mut group = c.benchmark_group("routing");
    for count in [4, 16, 24, 64] {
        let replicas = scene::replicas(count);
        group.bench_with_input(
            BenchmarkId::from_parameter(count),
            &replicas,
            |b, replicas| {
                b.iter(|| choose_replica(black_box(replicas), black_box(&query)));
            },
        );
    }
}

fn placement(c: &mut Criterion) {
    let request = scene::placement_request();
    let replicas_by_domain = [0; scene::DOMAIN_COUNT as usize];
    let options = PlacementOptions::default();
    let mut group = c.benchmark_group("placement");
    for size in [TODAY, POOL, FULL] {
        let residents = scene::residents(&size);
        let targets = scene::targets(&residents);
        group.bench_with_input(
            BenchmarkId::from_parameter(size.name),
            &targets,
            |b, targets| {
                b.iter(|| {
                    place_model(
                        black_box(&request),
                        black_box(targets),
                        &replicas_by_domain,
                        &options,
                    )
                });
            },
        );
    }
}

/// One step of the leader while requests wait for adapters.
fn leader_step(c: &mut Criterion) {
    let mut group = c.benchmark_group("leader_step");
    group.sample_size(20);
    for engines in [12, 72, 240, 960, 2_300] {
        let mut scene = LeaderScene::new(engines);
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| scene.step());
        });
    }
}

/// Selection of an engine for a request.
fn selection(c: &mut Criterion) {
    let mut group = c.benchmark_group("selection");
    for engines in [60, 240] {
        let scene = SelectionScene::new(engines);
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| scene.select());
        });
    }
}

fn pinning(c: &mut Criterion) {
    let mut group = c.benchmark_group("pinning");
    group.sample_size(20);
    for size in [TODAY, POOL, FULL] {
        let models = scene::pin_models(&size);
        let engines = scene::pin_engines(&size);
        let pins = scene::pins(&models, &engines);
        group.bench_function(BenchmarkId::from_parameter(size.name), |b| {
            b.iter(|| plan_changes(black_box(&models), &engines, &pins, 4));
        });
    }
}

fn sleep(c: &mut Criterion) {
    let (history, last) = scene::history();
    let facts = ModelFacts::default();
    let policy = Policy::default();
    let now = last + Duration::from_secs(90);
    c.bench_function("sleep/verdict", |b| {
        b.iter(|| decide_unload(black_box(&history), &facts, &policy, now));
    });
    c.bench_function("sleep/arrived", |b| {
        let mut history = history;
        let mut now = now;
        b.iter(|| {
            now += Duration::from_secs(7);
            history.record_arrival(black_box(now));
        });
    });
}

fn permit(c: &mut Criterion) {
    let mut group = c.benchmark_group("permit");
    for count in [10, 100, 1_000] {
        let mut permits = scene::permits(count);
        let mut now = Moment::ZERO;
        let request = scene::permit_request();
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                now += Duration::from_secs(1);
                permits.request(request.clone());
                let grants = permits.grant(now);
                permits.release("load");
                grants
            });
        });
    }
}

fn request(i: usize) -> QueuedRequest {
    QueuedRequest {
        id: format!("request-{i}").into(),
        caller: format!("caller-{}", i % 20).into(),
        priority: (i % 5) as u8,
        deadline: Duration::from_secs(60 + i as u64 % 50),
        worth: 1.0,
    }
}

fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission");
    for count in [16, 128, 512] {
        let mut queue = AdmissionQueue::new(count);
        for i in 1..count {
            queue.enqueue(request(i), Duration::ZERO, Moment::ZERO);
        }
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter_batched(
                || request(0),
                |request| {
                    queue.enqueue(request, Duration::ZERO, Moment::ZERO);
                    queue.cancel("request-0")
                },
                BatchSize::SmallInput,
            );
        });
    }
}

/// What is held while 256 crashes are known, for requests with 400 parts.
fn suspects(c: &mut Criterion) {
    let mut group = c.benchmark_group("suspects");
    let mut now = Moment::from_secs(1_000);
    let calm = crashes::parts(0).collect::<Vec<_>>();
    group.bench_function("answer_calm", |b| {
        let mut suspects = Suspects::default();
        b.iter(|| suspects.record_answered(black_box(&calm), now));
    });
    let scene = |now: &mut Moment| {
        let mut suspects = Suspects::default();
        for n in 0..256 {
            *now += Duration::from_millis(100);
            suspects.record_crash(&crashes::crash_id(n), crashes::crash_features(n), *now);
        }
        *now += Duration::from_millis(100);
        suspects
    };
    // Each answer is news of a crash; there are enough of them for one scene.
    group.bench_function("decision", |b| {
        b.iter_custom(|count| {
            let mut time = Duration::ZERO;
            for start in (0..count).step_by(100) {
                let mut suspects = scene(&mut now);
                let kept: Vec<_> = crashes::requests(&suspects, now);
                let started = Instant::now();
                for feature in kept.iter().take((count - start) as usize) {
                    black_box(suspects.record_answered(&[*feature], now));
                }
                time += started.elapsed();
            }
            time
        });
    });
    let mut suspects = scene(&mut now);
    group.bench_function("new_crash", |b| {
        let mut n = 1_000;
        b.iter(|| {
            n += 1;
            now += Duration::from_millis(100);
            suspects.record_crash(&crashes::crash_id(n), crashes::crash_features(n), now)
        });
    });
    let request: Vec<_> = crashes::parts(0).chain([Feature::Request(7)]).collect();
    group.bench_function("check", |b| {
        b.iter(|| suspects.trials_in(black_box(&request), now));
    });
    let sound: Vec<_> = crashes::parts(900)
        .chain([Feature::Request(7_000)])
        .collect();
    group.bench_function("answer", |b| {
        b.iter(|| suspects.record_answered(black_box(&sound), now));
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = routing, placement, leader_step, selection, pinning, sleep, permit, admission,
        suspects
}
criterion_main!(benches);
