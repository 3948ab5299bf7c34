//! Time of the decisions at today's size and at the size to design for.

mod scene;

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use mastichinge::clock::Moment;
use mastichinge::config::Policy;
use mastichinge::decide::admission::{Queue, Ticket};
use mastichinge::decide::pinning::changes;
use mastichinge::decide::placement::place;
use mastichinge::decide::rooms::Placing;
use mastichinge::decide::routing::{Need, choose};
use mastichinge::decide::sleep::{Facts, verdict};
use scene::{FULL, POOL, TODAY};

fn routing(c: &mut Criterion) {
    let need = Need {
        domain: 3,
        prompt: 1_000,
    };
    let mut group = c.benchmark_group("routing");
    for count in [4, 16, 24, 64] {
        let replicas = scene::replicas(count);
        group.bench_with_input(BenchmarkId::from_parameter(count), &replicas, |b, r| {
            b.iter(|| choose(black_box(r), black_box(&need)));
        });
    }
}

fn placement(c: &mut Criterion) {
    let wanted = scene::wanted();
    let taken = [0; scene::DOMAINS as usize];
    let how = Placing::default();
    let mut group = c.benchmark_group("placement");
    for size in [TODAY, POOL, FULL] {
        let residents = scene::residents(&size);
        let rooms = scene::rooms(&residents);
        group.bench_with_input(BenchmarkId::from_parameter(size.name), &rooms, |b, r| {
            b.iter(|| place(black_box(&wanted), black_box(r), &taken, &how));
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
            b.iter(|| changes(black_box(&models), &engines, &pins, 4));
        });
    }
}

fn sleep(c: &mut Criterion) {
    let (history, last) = scene::history();
    let facts = Facts::default();
    let policy = Policy::default();
    let now = last + Duration::from_secs(90);
    c.bench_function("sleep/verdict", |b| {
        b.iter(|| verdict(black_box(&history), &facts, &policy, now));
    });
    c.bench_function("sleep/arrived", |b| {
        let mut history = history;
        let mut now = now;
        b.iter(|| {
            now += Duration::from_secs(7);
            history.arrived(black_box(now));
        });
    });
}

fn permit(c: &mut Criterion) {
    let mut group = c.benchmark_group("permit");
    for count in [10, 100, 1_000] {
        let mut permits = scene::permits(count);
        let mut now = Moment::ZERO;
        let ask = scene::ask();
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                now += Duration::from_secs(1);
                permits.ask(ask.clone());
                let grants = permits.grant(now);
                permits.done("load");
                grants
            });
        });
    }
}

fn ticket(i: usize) -> Ticket {
    Ticket {
        id: format!("ticket-{i}").into(),
        caller: format!("caller-{}", i % 20).into(),
        priority: (i % 5) as u8,
        deadline: Duration::from_secs(60 + i as u64 % 50),
        worth: 1.0,
    }
}

fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission");
    for count in [16, 128, 512] {
        let mut queue = Queue::new(count);
        for i in 1..count {
            queue.offer(ticket(i), Duration::ZERO, Moment::ZERO);
        }
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter_batched(
                || ticket(0),
                |t| {
                    queue.offer(t, Duration::ZERO, Moment::ZERO);
                    queue.cancel("ticket-0")
                },
                BatchSize::SmallInput,
            );
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = routing, placement, pinning, sleep, permit, admission
}
criterion_main!(benches);
