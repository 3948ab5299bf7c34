//! Requests of callers and operators, and their responses.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use mastichinge::fakes::site::{CALLER_KEY, OPERATOR_KEY};
use serde_json::{Value, json};

use super::WAIT_TIMEOUT;

/// A streamed completion as the caller received it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompletionReply {
    /// HTTP status; 0 if no response was received.
    pub status: u16,
    /// Text of the completion.
    pub text: String,
    /// Whether the stream ended with its final event.
    pub complete: bool,
    /// Error code of a refusal, or of a stream that ended with an error.
    pub error_code: String,
    /// Value of `Retry-After`, if any.
    pub retry_after: Option<String>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
}

/// A non-idempotent call.
#[derive(Clone, Debug, Default)]
pub struct Booking {
    /// Idempotency key.
    pub key: String,
    /// Body of the request.
    pub body: String,
    /// Whether the caller states that it has not sent the key before.
    pub first_attempt: bool,
    /// Deadline, ms; with 0, the deadline of the service applies.
    pub deadline_ms: u64,
}

/// Response to a booking.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BookingReply {
    /// HTTP status; 0 if no response was received.
    pub status: u16,
    /// Number of the run that the service returned; 0 for a refusal.
    pub run: u64,
    /// Kind of a refusal.
    pub kind: String,
}

/// Sends a prompt with additional headers and reads the stream.
pub fn send_prompt(
    url: &str,
    model: &str,
    prompt: &str,
    headers: &[(&'static str, &str)],
) -> CompletionReply {
    send_prompt_until(url, model, prompt, headers, usize::MAX)
}

/// Like [`send_prompt`], but closes the connection after `max_pieces` pieces of text.
pub fn send_prompt_until(
    url: &str,
    model: &str,
    prompt: &str,
    headers: &[(&'static str, &str)],
    max_pieces: usize,
) -> CompletionReply {
    let messages = json!([{"role": "user", "content": prompt}]);
    send_messages(url, model, &messages, headers, max_pieces)
}

/// Sends a conversation, like [`send_prompt_until`].
pub fn send_messages(
    url: &str,
    model: &str,
    messages: &Value,
    headers: &[(&'static str, &str)],
    max_pieces: usize,
) -> CompletionReply {
    let body = json!({"model": model, "stream": true, "messages": messages});
    let start = Instant::now();
    let mut request = attohttpc::post(url)
        .bearer_auth(CALLER_KEY)
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(WAIT_TIMEOUT);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let Ok(response) = request.text(body.to_string()).send() else {
        return CompletionReply::default();
    };
    let mut reply = CompletionReply {
        status: response.status().as_u16(),
        ..CompletionReply::default()
    };
    let retry_after = response.headers().get("retry-after");
    reply.retry_after = retry_after.and_then(|r| r.to_str().ok()).map(str::to_owned);
    match reply.status {
        200 => read_events(&mut reply, &mut BufReader::new(response), start, max_pieces),
        _ => read_error(&mut reply, &mut BufReader::new(response)),
    }
    reply
}

/// Reads the error code of a refusal.
pub fn read_error(reply: &mut CompletionReply, body: &mut impl BufRead) {
    let body: Value = serde_json::from_reader(body).unwrap_or_default();
    let code = body["error"]["code"].as_str();
    reply.error_code = code.unwrap_or_default().to_owned();
}

/// Reads the events of a stream up to `max_pieces` pieces of text.
pub fn read_events(
    reply: &mut CompletionReply,
    body: &mut impl BufRead,
    start: Instant,
    max_pieces: usize,
) {
    let mut pieces = 0;
    for line in body.lines() {
        let Ok(line) = line else {
            break;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        reply.complete |= data == "[DONE]";
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(code) = chunk["error"]["code"].as_str() {
            reply.error_code = code.to_owned();
        }
        let piece = chunk["choices"][0]["delta"]["content"].as_str();
        if let Some(piece) = piece.filter(|p| !p.is_empty()) {
            reply.first_token.get_or_insert_with(|| start.elapsed());
            reply.text.push_str(piece);
            pieces += 1;
        }
        if pieces >= max_pieces {
            break;
        }
    }
}

/// Sends a booking and reads the response.
pub fn send_booking(url: &str, booking: &Booking) -> BookingReply {
    let mut request = attohttpc::post(url)
        .bearer_auth(CALLER_KEY)
        .header("Idempotency-Key", &booking.key)
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(WAIT_TIMEOUT);
    if booking.first_attempt {
        request = request.header("X-First-Attempt", "1");
    }
    if booking.deadline_ms > 0 {
        request = request.header("X-Deadline-Ms", booking.deadline_ms);
    }
    let Ok(response) = request.text(&booking.body).send() else {
        return BookingReply::default();
    };
    let status = response.status().as_u16();
    let Ok(text) = response.text() else {
        return BookingReply::default();
    };
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    BookingReply {
        status,
        run: body["run"].as_u64().unwrap_or(0),
        kind: body["kind"].as_str().unwrap_or_default().to_owned(),
    }
}

/// Patches the configuration at `url`; returns status and body, with status 0 if there
/// was no response.
pub fn patch_config(url: &str, base: u64, attempt: &str, changes: &Value) -> (u16, Value) {
    let response = attohttpc::patch(url)
        .bearer_auth(OPERATOR_KEY)
        .header("If-Match", format!("\"{base}\""))
        .header("Idempotency-Key", attempt)
        .connect_timeout(Duration::from_secs(2))
        .timeout(Duration::from_secs(20))
        .text(changes.to_string())
        .send();
    let Ok(response) = response else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    let text = response.text().unwrap_or_default();
    (status, serde_json::from_str(&text).unwrap_or(Value::Null))
}
