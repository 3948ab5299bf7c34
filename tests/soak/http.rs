//! Reads a response of a daemon from a connection that may serve more requests.

use std::io;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::record::Answer;

/// Reads one response, or a part of it with so many events at least. The error is the end of the
/// connection before a whole head; a response that is cut later is returned as incomplete. `now`
/// returns the time since the start of the run.
pub async fn read_answer(
    stream: &mut TcpStream,
    most_events: Option<usize>,
    now: impl Fn() -> Duration,
) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    bytes.drain(..head_end + 4);
    let mut answer = parse_head(&head);
    answer.head_at = now();
    let length = header(&head, "content-length").and_then(|v| v.parse::<usize>().ok());
    let chunked = header(&head, "transfer-encoding").is_some_and(|v| v == "chunked");
    loop {
        if let Some(length) = length {
            answer.body = bytes[..length.min(bytes.len())].to_vec();
            answer.complete = bytes.len() == length;
        } else if chunked {
            (answer.body, answer.complete) = decode_chunks(&bytes);
        }
        let is_enough = most_events.is_some_and(|most| whole_events(&answer.body).len() >= most);
        if answer.complete || is_enough {
            return Ok(answer);
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) => break,
            Ok(_) => {}
            // The bytes until a reset are the response.
            Err(_) => return Ok(answer),
        }
    }
    if length.is_none() && !chunked {
        answer.body = bytes;
        answer.complete = true;
    }
    Ok(answer)
}

fn parse_head(head: &str) -> Answer {
    let text = |name| header(head, name).unwrap_or_default().to_owned();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let retry_after = header(head, "retry-after").and_then(|v| v.parse::<f64>().ok());
    Answer {
        status: status.unwrap_or(0),
        id: text("x-mastichinge-request-id"),
        stamp: text("x-mastichinge-server-stamp"),
        retry_after: retry_after.map(Duration::from_secs_f64),
        leaving: header(head, "server-leaving").is_some_and(|v| v == "1"),
        rate: header(head, "server-limit").and_then(|v| v.parse().ok()),
        closes: header(head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
        ..Answer::default()
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.split("\r\n").filter_map(|l| l.split_once(':'));
    let (_, value) = lines.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    Some(value.trim())
}

/// Returns the body so far and whether it is complete.
fn decode_chunks(bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let mut rest = bytes;
    while let Some(at) = find(rest, b"\r\n") {
        let size = std::str::from_utf8(&rest[..at]).unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        rest = &rest[at + 2..];
        if size == 0 {
            return (body, rest == b"\r\n");
        }
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..size.min(rest.len())]);
            return (body, false);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
    (body, false)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// Returns the whole events of a body.
pub fn whole_events(body: &[u8]) -> Vec<&str> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let events = text.split_inclusive("\n\n");
    events.filter(|event| event.ends_with("\n\n")).collect()
}

/// Returns the id of an event.
pub fn event_id(event: &str) -> Option<u64> {
    let id = event.lines().find_map(|l| l.strip_prefix("id: "))?;
    id.parse().ok()
}

/// Returns the version of the software that wrote an event.
pub fn event_software(event: &str) -> Option<&str> {
    let data = event.lines().find_map(|l| l.strip_prefix("data: "))?;
    data.rsplit_once(" at ").map(|(_, software)| software)
}
