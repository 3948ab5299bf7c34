//! Headers of requests and responses between callers, this daemon and engines.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use xxhash_rust::xxh3::xxh3_64;

use crate::edge::customers::KeyDigest;
use crate::edge::engine_load::EngineReport;
use crate::edge::origins::{Resumed, StreamId};
use crate::edge::request_headers::{EngineHeaders, Prompt, PromptPart, RequestHeaders};
use crate::edge::statements::{RateHeader, Statement};

/// Id of one attempt of a caller; engines echo it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-mastichinge-request-id");
/// Time until the deadline, ms.
const DEADLINE: HeaderName = HeaderName::from_static("x-mastichinge-deadline-ms");
/// Parts of the prompt, each as `ID:TOKENS` with a hexadecimal id.
const PREFIX: HeaderName = HeaderName::from_static("x-mastichinge-prompt-prefix");
/// Event after which a stream resumes.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the attempt that brought the first event of the stream that is resumed.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// An engine's signature of its response.
const SERVER_STAMP: HeaderName = HeaderName::from_static("x-mastichinge-server-stamp");
/// Id of the only engine that may run the request.
pub(super) const EXPECT_INSTANCE: HeaderName =
    HeaderName::from_static("x-mastichinge-expect-instance");
/// Running requests, waiting requests and slots of the engine.
const LOAD: HeaderName = HeaderName::from_static("x-mastichinge-server-load");
/// Marks a response of an engine that is about to stop.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests a second that the engine takes from all hosts together.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Marks a response of an engine that did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-mastichinge-not-run");
/// Model, with an adapter after a slash.
const MODEL: HeaderName = HeaderName::from_static("x-mastichinge-model");
/// Prompt tokens and maximum tokens of the response.
const TOKENS: HeaderName = HeaderName::from_static("x-mastichinge-token-count");
/// Priority at the engine, 0 (highest) to 9.
const PRIORITY: HeaderName = HeaderName::from_static("x-mastichinge-request-priority");
/// Caller's estimate of the tokens of the response.
const LENGTH: HeaderName = HeaderName::from_static("x-mastichinge-length-hint");
/// Customer whose key the caller holds.
const CUSTOMER: HeaderName = HeaderName::from_static("x-mastichinge-tenant");
/// Scheme of callers' keys, which compares without case.
const KEY_SCHEME: &[u8] = b"token";

/// Headers that only this system may set on a request to an engine.
const INTERNAL_HEADERS: [HeaderName; 10] = [
    PRIORITY,
    CUSTOMER,
    EXPECT_INSTANCE,
    HeaderName::from_static("x-mastichinge-expect-version"),
    HeaderName::from_static("x-mastichinge-pin-ms"),
    HeaderName::from_static("x-mastichinge-hold"),
    HeaderName::from_static("x-mastichinge-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
    NOT_RUN,
];

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Statuses that promise callers that the request has not run and never will.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Statuses with which an engine may state that it did not run the request.
const REJECTIONS: [StatusCode; 4] = [
    StatusCode::BAD_REQUEST,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Lowest priority at an engine.
const LOWEST_PRIORITY: u8 = 9;

/// Parses the headers of a caller's request.
pub fn parse_request(headers: &HeaderMap) -> RequestHeaders {
    let model = header_text(headers, &MODEL).unwrap_or_default();
    let (model, adapter) = match model.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter.into())),
        None => (model, None),
    };
    let (input, output) = token_counts(headers);
    let parts = parse_parts(headers);
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    RequestHeaders {
        id: request_id(headers).into(),
        time_limit: header_number(headers, &DEADLINE).map(Duration::from_millis),
        last_event: header_number(headers, &LAST_EVENT),
        resumed: resumed_stream(headers),
        key: caller_key(headers),
        token_count: token_sum(headers),
        shared_parts: shared.iter().flatten().map(|part| part.id).collect(),
        prompt: (!model.is_empty()).then(|| Prompt {
            model: model.into(),
            adapter,
            input_tokens: input,
            output_tokens: header_number(headers, &LENGTH).map_or(output, |n| n as u32),
            parts: parts.into_iter().flatten().collect(),
        }),
    }
}

/// Returns the id of a caller's request, the first of several; empty if it has none that can be
/// read.
fn request_id(headers: &HeaderMap) -> &str {
    header_text(headers, &REQUEST_ID).unwrap_or_default()
}

/// Returns the digest of a caller's key; `None` without one, or with several headers that may
/// name one.
fn caller_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return None;
    };
    let value = value.as_bytes().trim_ascii();
    let end = value.iter().position(u8::is_ascii_whitespace)?;
    let (scheme, key) = value.split_at(end);
    let is_key = scheme.eq_ignore_ascii_case(KEY_SCHEME);
    is_key.then(|| KeyDigest::of(key.trim_ascii()))
}

/// Returns the stream that a caller takes up again.
fn resumed_stream(headers: &HeaderMap) -> Resumed {
    let mut named = headers.get_all(&RESUMES).iter();
    let Some(first) = named.next() else {
        return Resumed::Unnamed;
    };
    if named.any(|value| value != first) {
        return Resumed::Ambiguous;
    }
    match first.to_str().map(str::trim) {
        Ok(id) if !id.is_empty() => Resumed::Stream(StreamId::of(id)),
        _ => Resumed::Ambiguous,
    }
}

/// Converts the headers of a caller's request to those for an engine.
pub fn to_engine(headers: &HeaderMap, values: &EngineHeaders<'_>) -> HeaderMap {
    let mut out = end_to_end(headers);
    for name in &INTERNAL_HEADERS {
        out.remove(name);
    }
    out.remove(header::EXPECT);
    out.remove(header::CONTENT_LENGTH);
    // Exactly the id by which the response is told.
    out.remove(REQUEST_ID);
    if let Some(id) = header_value(request_id(headers)).filter(|id| !id.is_empty()) {
        out.insert(REQUEST_ID, id);
    }
    let left_ms = values.time_left.as_millis() as u64;
    out.insert(DEADLINE, HeaderValue::from(left_ms));
    if let Some(id) = header_value(values.engine) {
        out.insert(EXPECT_INSTANCE, id);
    }
    match values.last_event {
        Some(event) => {
            out.insert(LAST_EVENT, HeaderValue::from(event));
        }
        // One that cannot be read resumes nothing.
        None => {
            out.remove(LAST_EVENT);
        }
    }
    if values.hides_key {
        out.remove(header::AUTHORIZATION);
    }
    if let Some(name) = values.customer.and_then(customer_value) {
        out.insert(CUSTOMER, name);
    }
    if let Some(priority) = values.priority {
        out.insert(
            PRIORITY,
            HeaderValue::from(u16::from(priority.min(LOWEST_PRIORITY))),
        );
    }
    out
}

/// Converts the headers of an engine's response to those for the caller.
pub fn to_caller(headers: &HeaderMap) -> HeaderMap {
    let mut out = end_to_end(headers);
    out.remove(LOAD);
    out
}

/// Returns the headers of a response that this daemon generates for the request `id`.
pub fn local_response(id: &str, retry_after: Option<Duration>) -> HeaderMap {
    let mut out = HeaderMap::new();
    if let Some(id) = header_value(id) {
        out.insert(REQUEST_ID, id);
    }
    if let Some(wait) = retry_after
        && let Some(wait) = header_value(&format!("{:.2}", wait.as_secs_f64()))
    {
        out.insert(header::RETRY_AFTER, wait);
    }
    out
}

/// Headers of an engine's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Id of the request that was answered.
    pub id: Arc<str>,
    /// Whether it names several ids, or one that cannot be read.
    pub ambiguous: bool,
    /// Whether the engine signed it.
    pub signed: bool,
    /// Whether the engine did not run the request.
    pub not_run: bool,
    /// Time for which the engine keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the engine closes the connection after it.
    pub closes: bool,
}

/// A statement of an engine that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidStatement {
    /// A pause.
    #[error("Retry-After {0:?} is not a number of seconds")]
    Pause(String),
    /// A rate.
    #[error("Server-Limit {0:?} is not a number of requests a second")]
    Rate(String),
    /// A load.
    #[error("X-Mastichinge-Server-Load {0:?} is not three or four whole numbers")]
    Load(String),
}

/// Returns for how long an engine that responds with `status` wants no requests of this
/// host.
///
/// # Errors
///
/// Returns the value if it is not a number of seconds.
pub fn engine_pause(
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<Option<Duration>, InvalidStatement> {
    let Some(value) = headers.get(header::RETRY_AFTER) else {
        return Ok(None);
    };
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(value.as_bytes());
    let seconds = text.trim().parse::<f64>().ok();
    let pause = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    pause
        .map(Some)
        .ok_or_else(|| InvalidStatement::Pause(text.into_owned()))
}

/// Parses the headers of an engine's response.
pub fn parse_response(headers: &HeaderMap) -> ResponseHeaders {
    let keep_alive =
        header_text(headers, &HeaderName::from_static("keep-alive")).unwrap_or_default();
    let idle_timeout = keep_alive.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        let seconds = seconds.trim().parse().ok()?;
        (name.trim() == "timeout").then(|| Duration::from_secs(seconds))
    });
    let connection = header_text(headers, &header::CONNECTION).unwrap_or_default();
    let mut ids = headers.get_all(&REQUEST_ID).iter();
    let first = ids.next();
    let is_unreadable = first.is_some_and(|id| id.to_str().is_err());
    ResponseHeaders {
        ambiguous: is_unreadable || ids.any(|id| Some(id) != first),
        id: header_text(headers, &REQUEST_ID).unwrap_or_default().into(),
        signed: headers.contains_key(&SERVER_STAMP),
        not_run: headers.contains_key(&NOT_RUN),
        idle_timeout,
        closes: connection.eq_ignore_ascii_case("close"),
    }
}

/// Returns what the head of an engine's response says of the engine. Statements that cannot be
/// decoded are returned beside the rest.
pub fn engine_statement(
    status: StatusCode,
    headers: &HeaderMap,
) -> (Statement, Vec<InvalidStatement>) {
    let (rate, mut errors) = engine_rate(headers);
    let pause = engine_pause(status, headers).unwrap_or_else(|error| {
        errors.push(error);
        None
    });
    let leaves = is_leaving(headers);
    let statement = Statement {
        leaves,
        pause,
        rate,
    };
    (statement, errors)
}

/// Returns the requests a second that an engine takes from all hosts together; the lowest of
/// several. Values that are not a finite number of at least 0 are returned beside it.
pub fn engine_rate(headers: &HeaderMap) -> (RateHeader, Vec<InvalidStatement>) {
    let (mut rate, mut errors) = (RateHeader::Absent, Vec::new());
    for value in headers.get_all(&LIMIT) {
        let text = String::from_utf8_lossy(value.as_bytes());
        let number = text.trim().parse::<f64>().ok();
        let number = number.filter(|n| n.is_finite() && *n >= 0.0);
        rate = match (number, rate) {
            (Some(n), RateHeader::Named(lowest)) => RateHeader::Named(n.min(lowest)),
            (Some(n), _) => RateHeader::Named(n),
            (None, RateHeader::Absent) => RateHeader::Invalid,
            (None, known) => known,
        };
        if number.is_none() {
            errors.push(InvalidStatement::Rate(text.into_owned()));
        }
    }
    (rate, errors)
}

/// Returns the load that an engine reports.
///
/// # Errors
///
/// Returns the value if it is not one list of three or four whole numbers.
pub fn engine_report(headers: &HeaderMap) -> Result<Option<EngineReport>, InvalidStatement> {
    let mut values = headers.get_all(&LOAD).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    let invalid = || InvalidStatement::Load(text.clone().into_owned());
    if values.next().is_some() {
        return Err(invalid());
    }
    let figures: Result<Vec<u32>, _> = text.split(',').map(|f| f.trim().parse()).collect();
    let (running, waiting, slots, slowness_percent) = match figures.as_deref() {
        Ok(&[running, waiting, slots]) => (running, waiting, slots, None),
        Ok(&[running, waiting, slots, percent]) => (running, waiting, slots, Some(percent)),
        _ => return Err(invalid()),
    };
    Ok(Some(EngineReport {
        running,
        waiting,
        slots,
        slowness_percent,
    }))
}

/// Returns whether an engine's response says that the engine is about to stop.
fn is_leaving(headers: &HeaderMap) -> bool {
    header_text(headers, &LEAVING).is_some_and(|v| v.trim() == "1")
}

/// Returns whether a response is an answer of its engine to the request `id` that has run.
pub fn is_signed_answer(status: StatusCode, headers: &HeaderMap, id: &str) -> bool {
    let signed = headers.contains_key(&SERVER_STAMP);
    status.is_success() && signed && header_text(headers, &REQUEST_ID) == Some(id)
}

/// Returns whether an engine's response states that the engine did not run the request
/// that it answers.
pub fn is_rejection(status: StatusCode, headers: &ResponseHeaders) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || headers.not_run && REJECTIONS.contains(&status)
}

/// Returns whether a response says that something before the engine got none from it. Such a
/// response carries nothing of the engine.
pub fn is_gateway_failure(status: StatusCode, headers: &ResponseHeaders) -> bool {
    let is_own = !headers.id.is_empty() || headers.signed || headers.not_run;
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
    ) && !is_own
}

/// Returns whether callers take a status as the promise that the request has not run.
pub fn promises_not_run(status: StatusCode) -> bool {
    PROMISES.contains(&status)
}

/// Returns the headers without the hop-by-hop ones, which the `Connection` header
/// extends.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for listed in headers.get_all(header::CONNECTION) {
        for name in listed.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = name.trim().parse::<HeaderName>() {
                out.remove(name);
            }
        }
    }
    for name in &HOP_BY_HOP {
        out.remove(name);
    }
    out
}

/// Returns the prompt tokens and the maximum tokens of the response.
fn token_counts(headers: &HeaderMap) -> (u32, u32) {
    let counts = header_text(headers, &TOKENS).unwrap_or_default();
    let (input, output) = counts.split_once(',').unwrap_or((counts, ""));
    let count = |text: &str| text.trim().parse().unwrap_or(0);
    (count(input), count(output))
}

/// Returns the tokens of the prompt and of the response together; `None` if the caller names no
/// number that can be read.
fn token_sum(headers: &HeaderMap) -> Option<u64> {
    let counts = header_text(headers, &TOKENS)?;
    let mut sum: u64 = 0;
    for count in counts.split(',') {
        sum = sum.saturating_add(count.trim().parse().ok()?);
    }
    Some(sum)
}

/// Returns the entries of a prompt's list of parts; `None` for one without an id. A number of
/// tokens that cannot be read counts as 0, as engines may read it.
fn parse_parts(headers: &HeaderMap) -> Vec<Option<PromptPart>> {
    let mut parts = Vec::new();
    for value in headers.get_all(&PREFIX) {
        let list = String::from_utf8_lossy(value.as_bytes());
        for entry in list.split(',').filter(|e| !e.trim().is_empty()) {
            let (id, tokens) = entry.split_once(':').unwrap_or((entry, ""));
            let tokens = tokens.trim().parse().unwrap_or(0);
            let id = parse_part_id(id.trim());
            parts.push(id.map(|id| PromptPart { id, tokens }));
        }
    }
    parts
}

/// Parses a hexadecimal number. One of more than 64 bits is replaced by its hash.
fn parse_part_id(text: &str) -> Option<u64> {
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let digits = text.trim_start_matches('0').to_ascii_lowercase();
    let number = u64::from_str_radix(&format!("0{digits}"), 16);
    Some(number.unwrap_or_else(|_| xxh3_64(digits.as_bytes())))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}

/// Returns the value of the header that names a customer, in UTF-8.
fn customer_value(name: &str) -> Option<HeaderValue> {
    HeaderValue::from_bytes(name.as_bytes()).ok()
}

fn header_value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}
