//! Metrics of one daemon, served as Prometheus text.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::Kind;

/// Upper bounds of the buckets of all latency histograms, seconds.
const BUCKETS_S: [f64; 20] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.08, 0.1, 0.2, 0.31, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
    30.0, 60.0, 120.0, 300.0,
];

/// Upper bounds of the buckets of the ratio of measured to predicted time.
const PREDICTION_RATIO_BUCKETS: [f64; 11] =
    [0.25, 0.5, 0.7, 0.8, 0.9, 1.1, 1.25, 1.5, 2.0, 3.0, 6.0];
/// Lower bound on a predicted time in the ratio, seconds.
const MIN_PREDICTION_S: f64 = 0.001;

/// Error while setting up the metrics.
#[derive(Debug, thiserror::Error)]
#[error("cannot set up metrics: {0}")]
pub struct MetricsError(String);

/// Metrics of a daemon; recording never waits for a scrape.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    first_token: Histogram<f64>,
    answers: Histogram<f64>,
    predictions: Histogram<f64>,
    cold_starts: Histogram<f64>,
    served: Counter<u64>,
    worth: Counter<f64>,
    refused: Counter<u64>,
    retries: Counter<u64>,
    repeats: Counter<u64>,
    repeats_denied: Counter<u64>,
    waits: Counter<u64>,
    connections_ended: Counter<u64>,
    held_bytes: Gauge<u64>,
    unread_responses: Counter<u64>,
    body_bytes: Gauge<u64>,
    unread_requests: Counter<u64>,
    engine_responses: Counter<u64>,
    engine_statements: Counter<u64>,
    permits: Counter<u64>,
    charges: Counter<u64>,
    store_eras: Counter<u64>,
    stream_ends: Counter<u64>,
    broken_runs: Counter<u64>,
    take_ups: Counter<u64>,
    origin_rows: Counter<u64>,
    engine_ends: Counter<u64>,
    held_features: Gauge<u64>,
    trials: Counter<u64>,
    streams: UpDownCounter<i64>,
    queue: Gauge<u64>,
    loads: Counter<u64>,
    unloads: Counter<u64>,
    idle: Counter<f64>,
    control_time: Counter<f64>,
    control_events: Counter<u64>,
    peer_bytes: Counter<u64>,
    /// Sent bytes that are already in `peer_bytes`.
    sent_total: AtomicU64,
    /// Received bytes that are already in `peer_bytes`.
    received_total: AtomicU64,
    config_version: Gauge<u64>,
    invalid_configs: Counter<u64>,
}

impl Metrics {
    /// Creates the metrics in a separate registry, so that several daemons can run
    /// in one process.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("mastichinge")
            .without_target_info()
            .build()
            .map_err(|err| MetricsError(err.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let m = provider.meter("mastichinge");
        Ok(Metrics {
            first_token: seconds_histogram(
                &m,
                "first_token",
                "Time to the first token, by cold start",
            ),
            answers: seconds_histogram(&m, "answer", "Time to the end of a whole answer"),
            predictions: m
                .f64_histogram("first_event_over_prediction")
                .with_description("Time to the first event over the predicted time")
                .with_boundaries(PREDICTION_RATIO_BUCKETS.to_vec())
                .build(),
            cold_starts: seconds_histogram(
                &m,
                "cold_start",
                "Time from a load order to a ready replica",
            ),
            served: counter(&m, "served", "Requests answered whole"),
            worth: float_counter(&m, "worth", "Sum of the worth of requests answered whole"),
            refused: counter(&m, "refused", "Requests refused, by kind"),
            retries: counter(&m, "retries", "Further attempts at an upstream"),
            repeats: counter(
                &m,
                "repeats",
                "Requests repeated before the first try had failed, by outcome",
            ),
            repeats_denied: counter(
                &m,
                "repeats_denied",
                "Slow requests that were not repeated, by cause",
            ),
            waits: counter(&m, "waits", "Waits for room, by outcome, cause and rank"),
            connections_ended: counter(
                &m,
                "connections_ended",
                "Callers' connections ended by this host, by cause",
            ),
            held_bytes: gauge(
                &m,
                "held_bytes",
                "Bytes of responses held for callers that have not read them",
            ),
            unread_responses: counter(
                &m,
                "unread_responses",
                "Responses ended because their callers did not read them, by the full account",
            ),
            body_bytes: gauge(&m, "body_bytes", "Bytes of request bodies held"),
            unread_requests: counter(&m, "unread_requests", "Answered requests dropped unread"),
            engine_responses: counter(
                &m,
                "engine_responses",
                "Responses of engines, by how they were attributed to a request",
            ),
            store_eras: counter(
                &m,
                "store_eras",
                "Times that the store came back from an older copy",
            ),
            engine_statements: counter(
                &m,
                "engine_statements",
                "What engines said of themselves, by statement and outcome",
            ),
            permits: counter(
                &m,
                "permits",
                "Permits for engines that have named a rate, by outcome",
            ),
            charges: counter(&m, "cap_charges", "Charges to customers' caps, by outcome"),
            stream_ends: counter(
                &m,
                "stream_ends",
                "Engines' streams that ended without an error, by framing and place",
            ),
            take_ups: counter(
                &m,
                "stream_take_ups",
                "Streams that callers take up again, by how it is known where they began",
            ),
            origin_rows: counter(
                &m,
                "stream_rows",
                "Rows of streams that were to be written, by outcome",
            ),
            broken_runs: counter(
                &m,
                "broken_runs",
                "Requests whose connection to the engine broke, by the progress of the answer",
            ),
            engine_ends: counter(
                &m,
                "engine_ends",
                "Engines checked after connections to them broke, by what the check showed",
            ),
            held_features: gauge(
                &m,
                "held_features",
                "Requests and parts of prompts that are held, as engines crash on them",
            ),
            trials: counter(
                &m,
                "trials",
                "Trials of held requests and parts that were asked for, by outcome",
            ),
            streams: open_streams(&m),
            queue: gauge(&m, "queue", "Requests that wait for a replica at this host"),
            loads: counter(&m, "loads", "Load orders that ended, by outcome"),
            unloads: counter(&m, "unloads", "Unload orders that were answered"),
            idle: float_counter(
                &m,
                "idle_accelerator_seconds",
                "Accelerator time without a request",
            ),
            control_time: float_counter(&m, "control_seconds", "Busy time of the control thread"),
            control_events: counter(&m, "control_events", "Events of the control thread"),
            peer_bytes: counter(&m, "peer_bytes", "Bytes between daemons, by direction"),
            sent_total: AtomicU64::new(0),
            received_total: AtomicU64::new(0),
            config_version: gauge(&m, "config_version", "Configuration version in force"),
            invalid_configs: counter(
                &m,
                "invalid_configs",
                "Configurations that could not be decoded and are not in force",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Records a first token sent `after` the request's arrival.
    pub fn record_first_token(&self, after: Duration, cold: bool) {
        let start = KeyValue::new("cold", cold);
        self.first_token.record(after.as_secs_f64(), &[start]);
    }

    /// Records the ratio of the time to the first event, `measured`, to the
    /// `predicted` time.
    pub fn record_prediction(&self, predicted: Duration, measured: Duration) {
        let ratio = measured.as_secs_f64() / predicted.as_secs_f64().max(MIN_PREDICTION_S);
        self.predictions.record(ratio, &[]);
    }

    /// Records a request of `worth` that was answered completely `after` its arrival.
    pub fn record_served(&self, after: Duration, worth: f64) {
        self.record_answer(after);
        self.worth.add(worth, &[]);
    }

    /// Records a request of unknown worth that was answered completely `after` its
    /// arrival.
    pub fn record_answer(&self, after: Duration) {
        self.answers.record(after.as_secs_f64(), &[]);
        self.served.add(1, &[]);
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, kind: Kind) {
        let kind: &'static str = kind.into();
        self.refused.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a retry at an upstream.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a wait for room, as it begins and as it ends.
    pub fn record_wait(&self, outcome: &'static str, cause: &'static str, rank: u8) {
        let rank = KeyValue::new("rank", i64::from(rank));
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("cause", cause),
            rank,
        ];
        self.waits.add(1, &labels);
    }

    /// Counts a repeat that was sent before the first try had failed, or its outcome.
    pub fn record_repeat(&self, outcome: &'static str) {
        self.repeats.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a slow request that was not repeated.
    pub fn record_repeat_denial(&self, cause: &'static str) {
        self.repeats_denied.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a caller's connection that this host ended.
    pub fn record_connection_end(&self, cause: &'static str) {
        self.connections_ended
            .add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Sets the number of bytes of responses held for callers, and of request bodies.
    pub fn set_held_bytes(&self, responses: u64, bodies: u64) {
        self.held_bytes.record(responses, &[]);
        self.body_bytes.record(bodies, &[]);
    }

    /// Counts a response that ended because its caller did not read it.
    pub fn record_unread_response(&self, cause: &'static str) {
        self.unread_responses
            .add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts answered requests whose rest was dropped, as their engines did not read it.
    pub fn record_unread_requests(&self, count: u64) {
        self.unread_requests.add(count, &[]);
    }

    /// Counts an engine's response, on a connection that had carried `earlier` before.
    pub fn record_engine_response(&self, attribution: &'static str, earlier: &'static str) {
        let labels = [
            KeyValue::new("attribution", attribution),
            KeyValue::new("earlier", earlier),
        ];
        self.engine_responses.add(1, &labels);
    }

    /// Counts what an engine said of itself.
    pub fn record_engine_statement(&self, statement: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("statement", statement),
            KeyValue::new("outcome", outcome),
        ];
        self.engine_statements.add(1, &labels);
    }

    /// Counts permits to send requests to engines that have named a rate, by outcome.
    pub fn record_permits(&self, outcome: &'static str, count: u32) {
        if count > 0 {
            let outcome = KeyValue::new("outcome", outcome);
            self.permits.add(u64::from(count), &[outcome]);
        }
    }

    /// Counts charges to customers' caps that this daemon has answered, by outcome.
    pub fn record_charges(&self, outcome: &'static str, count: u32) {
        if count > 0 {
            let outcome = KeyValue::new("outcome", outcome);
            self.charges.add(u64::from(count), &[outcome]);
        }
    }

    /// Counts that the store came back from an older copy.
    pub fn record_store_era(&self) {
        self.store_eras.add(1, &[]);
    }

    /// Counts a stream of an engine whose body ended without an error.
    pub fn record_stream_end(&self, framing: &'static str, place: &'static str) {
        let labels = [
            KeyValue::new("framing", framing),
            KeyValue::new("place", place),
        ];
        self.stream_ends.add(1, &labels);
    }

    /// Counts a request whose connection to the engine broke.
    pub fn record_broken_run(&self, progress: &'static str) {
        self.broken_runs
            .add(1, &[KeyValue::new("progress", progress)]);
    }

    /// Counts a stream that a caller takes up again, by how it is known where it began.
    pub fn record_take_up(&self, source: &'static str) {
        self.take_ups.add(1, &[KeyValue::new("source", source)]);
    }

    /// Counts rows of streams that were to be written.
    pub fn record_origin_rows(&self, outcome: &'static str, count: u64) {
        self.origin_rows
            .add(count, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an engine that was checked after connections to it broke.
    pub fn record_engine_end(&self, state: &'static str) {
        self.engine_ends.add(1, &[KeyValue::new("state", state)]);
    }

    /// Sets the number of held requests and parts.
    pub fn set_held_features(&self, count: u64) {
        self.held_features.record(count, &[]);
    }

    /// Counts a trial that was asked for.
    pub fn record_trial(&self, outcome: &'static str) {
        self.trials.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Adds `change` to the number of open streams.
    pub fn add_streams(&self, change: i64) {
        self.streams.add(change, &[]);
    }

    /// Sets the number of requests that wait for a replica.
    pub fn set_queue(&self, length: usize) {
        self.queue.record(length as u64, &[]);
    }

    /// Records a load order that ended `after` it was sent.
    pub fn record_load(&self, after: Duration, ok: bool) {
        self.record_load_order(ok);
        if ok {
            self.cold_starts.record(after.as_secs_f64(), &[]);
        }
    }

    /// Counts a load order whose duration is unknown.
    pub fn record_load_order(&self, ok: bool) {
        self.loads.add(1, &[KeyValue::new("ok", ok)]);
    }

    /// Counts an unload order that was answered.
    pub fn record_unload(&self) {
        self.unloads.add(1, &[]);
    }

    /// Adds the time during which `accelerators` held weights without a request.
    pub fn record_idle(&self, accelerators: u32, time: Duration) {
        let seconds = f64::from(accelerators) * time.as_secs_f64();
        self.idle.add(seconds, &[]);
    }

    /// Records that the control thread took `busy` for an event.
    pub fn record_control_event(&self, busy: Duration) {
        self.control_time.add(busy.as_secs_f64(), &[]);
        self.control_events.add(1, &[]);
    }

    /// Sets the bytes sent to and received from other daemons since the start.
    pub fn set_peer_totals(&self, sent: u64, received: u64) {
        self.add_peer_bytes("sent", &self.sent_total, sent);
        self.add_peer_bytes("received", &self.received_total, received);
    }

    fn add_peer_bytes(&self, direction: &'static str, last: &AtomicU64, total: u64) {
        let before = last.fetch_max(total, Ordering::Relaxed);
        let direction = KeyValue::new("direction", direction);
        self.peer_bytes
            .add(total.saturating_sub(before), &[direction]);
    }

    /// Sets the active configuration version.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Records a configuration that cannot be decoded.
    pub fn record_invalid_config(&self) {
        self.invalid_configs.add(1, &[]);
    }

    /// Returns the metrics in the Prometheus text format; empty if encoding fails.
    pub fn prometheus_text(&self) -> String {
        let mut text = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("cannot encode metrics: {err}");
            return String::new();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

fn counter(meter: &Meter, name: &'static str, about: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(about).build()
}

fn float_counter(meter: &Meter, name: &'static str, about: &'static str) -> Counter<f64> {
    meter.f64_counter(name).with_description(about).build()
}

fn gauge(meter: &Meter, name: &'static str, about: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(about).build()
}

fn seconds_histogram(meter: &Meter, name: &'static str, about: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(about)
        .with_unit("s")
        .with_boundaries(BUCKETS_S.to_vec())
        .build()
}

fn open_streams(meter: &Meter) -> UpDownCounter<i64> {
    meter
        .i64_up_down_counter("streams")
        .with_description("Streams to callers that are open")
        .build()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_text_contains_recorded_values() {
        let metrics = Metrics::new().unwrap();
        metrics.record_refusal(Kind::QueueFull);
        metrics.record_first_token(Duration::from_millis(300), true);
        metrics.add_streams(2);
        metrics.add_streams(-1);
        metrics.set_config_version(7);
        metrics.set_peer_totals(7, 0);
        metrics.set_peer_totals(10, 0);
        let text = metrics.prometheus_text();
        for line in [
            "mastichinge_refused_total{kind=\"queue_full\",SCOPE} 1",
            "mastichinge_first_token_seconds_bucket{cold=\"true\",SCOPE,le=\"0.31\"} 1",
            "mastichinge_streams{SCOPE} 1",
            "mastichinge_config_version{SCOPE} 7",
            "mastichinge_peer_bytes_total{direction=\"sent\",SCOPE} 10",
        ] {
            let line = line.replace("SCOPE", "otel_scope_name=\"mastichinge\"");
            assert!(text.contains(&line), "{line} not in:\n{text}");
        }
    }
}
