//! How an engine answers requests, one behavior at a time.

use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::behavior::{Behavior, Place, signed_head};
use super::{
    CrashMoment, EVENT_PAUSE, EVENTS, Engine, LATE_PAUSE, PREEMPTION, signed as signed_of,
};
use crate::fakes::{ReceivedRequest, write_response};

/// Unit in which a long answer is written, bytes.
pub const LONG_BLOCK_BYTES: usize = 16_384;

impl Engine {
    /// Runs a request, or rejects it, as the engine behaves.
    pub(super) async fn run_request(
        &self,
        stream: &mut TcpStream,
        request: ReceivedRequest,
        earlier: &str,
    ) -> std::io::Result<()> {
        let id = request.header("x-mastichinge-request-id").to_owned();
        let model = request.header("x-mastichinge-model").to_owned();
        let expected = request.header("x-mastichinge-expect-instance").to_owned();
        let after = request.header("last-event-id").parse().unwrap_or(0);
        let is_stream = request.path().contains("stream");
        let (behavior, loaded, rejects_first) = {
            let mut state = self.state.lock().unwrap();
            let loaded = model.is_empty() || state.models.contains(&model);
            state.record_arrival(&request);
            let rejects_first =
                state.behavior == Behavior::RepeatedRejection && !state.rejected.contains(&id);
            if rejects_first {
                state.rejected.push(id.clone());
            }
            (state.behavior, loaded, rejects_first)
        };
        let signed = signed_of(&id);
        let not_run = [
            ("X-Mastichinge-Request-Id", id.as_str()),
            ("X-Mastichinge-Not-Run", "1"),
        ];
        let is_expected =
            expected == self.id || self.state.lock().unwrap().aliases.contains(&expected);
        if !is_expected || !loaded {
            return self.respond(stream, 421, &not_run, b"").await;
        }
        let rejects = rejects_first
            || matches!(
                behavior,
                Behavior::Full
                    | Behavior::FullWithoutId
                    | Behavior::FullAfterLateAnswer
                    | Behavior::StallAtRejection
            );
        let _run = (!rejects).then(|| self.begin_run(&id));
        if matches!(
            behavior,
            Behavior::StallAtRequest | Behavior::StallAtRejection
        ) {
            self.stall();
        }
        if behavior != Behavior::Silent {
            self.wait_for_stall().await;
        }
        if behavior == Behavior::FullAfterLateAnswer && !earlier.is_empty() {
            self.state.lock().unwrap().late_responses += 1;
            write_response(stream, 200, &signed_of(earlier), b"late").await?;
        }
        if rejects {
            let headers = match behavior {
                Behavior::FullWithoutId => &not_run[1..],
                _ => &not_run[..],
            };
            return self.respond(stream, 503, headers, b"full").await;
        }
        match behavior {
            Behavior::Reset => return reset(stream),
            Behavior::Silent => return self.wait_for_close(stream, &id).await,
            Behavior::LateRejection(status) | Behavior::LateRejectionAfterCall(status)
                if !earlier.is_empty() =>
            {
                self.late_response(stream, status, &not_run[1..]).await?;
            }
            Behavior::RepeatedRejection if earlier == id => {
                self.late_response(stream, 503, &not_run).await?;
            }
            Behavior::RejectsAnother => {
                let another = [("X-Mastichinge-Request-Id", "another"), not_run[1]];
                return self.respond(stream, 503, &another, b"full").await;
            }
            Behavior::Answers(status) => {
                return self.respond(stream, status, &signed, b"answer").await;
            }
            Behavior::Status(status) => {
                let head = signed_head(&id).replacen("200 OK", status, 1);
                let response = head + "Content-Length: 4\r\n\r\npart";
                return stream.write_all(response.as_bytes()).await;
            }
            Behavior::Early => return Ok(()),
            Behavior::Failing => return self.respond(stream, 500, &signed, b"failed").await,
            Behavior::Endless(place) => return self.send_endless(stream, place, &id).await,
            Behavior::EndlessOnReuse if !earlier.is_empty() => {
                return self.send_endless(stream, Place::Garbage, &id).await;
            }
            Behavior::TwoLengths(size) => {
                let response = format!(
                    "{}Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n\
                     {size:x}\r\n{}\r\n0\r\n\r\n",
                    signed_head(&id),
                    size / 2,
                    "x".repeat(size)
                );
                return stream.write_all(response.as_bytes()).await;
            }
            Behavior::Long(size) => {
                let head = format!("{}Content-Length: {size}\r\n\r\n", signed_head(&id));
                stream.write_all(head.as_bytes()).await?;
                let block = [b'x'; LONG_BLOCK_BYTES];
                for _ in 0..size / LONG_BLOCK_BYTES {
                    stream.write_all(&block).await?;
                }
                return Ok(());
            }
            Behavior::LongSilent => {
                let head = signed_head(&id) + "Content-Length: 1000000\r\n\r\npart";
                stream.write_all(head.as_bytes()).await?;
                return self.wait_for_close(stream, &id).await;
            }
            Behavior::UnframedReset | Behavior::Unframed => {
                let head = signed_head(&id) + "\r\npart";
                stream.write_all(head.as_bytes()).await?;
                stream.flush().await?;
                if behavior == Behavior::Unframed {
                    stream.write_all(b" and rest").await?;
                    stream.shutdown().await?;
                    return Err(std::io::ErrorKind::BrokenPipe.into());
                }
                sleep(EVENT_PAUSE).await;
                return reset(stream);
            }
            _ => {}
        }
        if !is_stream {
            self.answer(stream, &request).await?;
            if behavior == Behavior::Extra {
                let body = format!("second answer to {id}");
                self.respond(stream, 200, &signed, body.as_bytes()).await?;
            }
            return Ok(());
        }
        let crashes = self.crash_moment(&request);
        if crashes == Some(CrashMoment::BeforeHead) {
            return self.crash_before_head(stream, &request).await;
        }
        self.stream(stream, &request, after, (behavior, crashes))
            .await
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
        after: u64,
        (behavior, crashes): (Behavior, Option<CrashMoment>),
    ) -> std::io::Result<()> {
        let id = request.header("x-mastichinge-request-id");
        let (framing, pace) = {
            let state = self.state.lock().unwrap();
            (state.framing, state.pace)
        };
        let mut headers = framing.header().to_owned();
        for (name, value) in self.headers() {
            headers.push_str(&format!("{name}: {value}\r\n"));
        }
        let head = signed_head(id) + "Content-Type: text/event-stream\r\n" + &headers + "\r\n";
        stream.write_all(head.as_bytes()).await?;
        if crashes == Some(CrashMoment::AfterHead) {
            self.crash_by(request).await;
        }
        let mark = self.event_mark();
        for event in after + 1..=EVENTS {
            let text = format!("id: {event}\ndata: token {event}{mark}\n\n");
            let half = framing.frame(&text[..text.len() / 2]);
            let is_late = behavior == Behavior::ResetLate && event == after + 2;
            if is_late {
                sleep(LATE_PAUSE).await;
            }
            if is_late || behavior == Behavior::ResetAfter(event - 1) {
                stream.write_all(half.as_bytes()).await?;
                sleep(EVENT_PAUSE).await;
                return reset(stream);
            }
            if behavior == Behavior::EndInside(event - 1) {
                stream.write_all(half.as_bytes()).await?;
                return framing.end(stream).await;
            }
            if behavior == Behavior::EndAfter(event - 1) {
                return framing.end(stream).await;
            }
            if behavior == Behavior::PauseAfter(event - 1) {
                sleep(PREEMPTION).await;
            }
            let behavior = self.state.lock().unwrap().behavior;
            if behavior == Behavior::StallAfter(event - 1) {
                self.stall();
            }
            self.wait_for_stall().await;
            if let Some(pace) = pace {
                sleep(pace).await;
            }
            let framed = framing.frame(&text);
            if stream.write_all(framed.as_bytes()).await.is_err() {
                self.state.lock().unwrap().cancelled.push(id.to_owned());
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            if crashes.is_some() {
                self.crash_by(request).await;
            }
            if pace.is_none() {
                sleep(EVENT_PAUSE).await;
            }
        }
        framing.end(stream).await
    }

    /// Sends bytes without end until the connection closes.
    async fn send_endless(
        &self,
        stream: &mut TcpStream,
        place: Place,
        id: &str,
    ) -> std::io::Result<()> {
        const REPEATS: usize = 1_024;
        let (start, repeated) = place.bytes(id);
        let block = repeated.repeat(REPEATS);
        // In one write, so that a reader of the start has what follows it, too.
        let first = start + &block;
        let mut sent = first.len();
        let mut outcome = stream.write_all(first.as_bytes()).await;
        while outcome.is_ok() {
            outcome = stream.write_all(block.as_bytes()).await;
            sent += block.len();
        }
        self.state.lock().unwrap().endless_bytes.push(sent);
        outcome
    }

    /// Leaves the body of a request unread for as long as the behavior says so; returns whether
    /// the connection is of no more use.
    pub(super) async fn leaves_unread(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
    ) -> bool {
        let read = match self.behavior() {
            Behavior::EarlyUnread => {
                if self.answer(stream, request).await.is_err() {
                    return true;
                }
                0
            }
            Behavior::Unread { bytes } => bytes,
            _ => return false,
        };
        let _run = self.begin_run(request.header("x-mastichinge-request-id"));
        let mut block = vec![0; read];
        loop {
            sleep(EVENT_PAUSE).await;
            // An empty block is read at once, also after the end.
            match stream.read(&mut block).await {
                Ok(0) if read > 0 => return true,
                Err(_) => return true,
                Ok(_) => {}
            }
            if stream.take_error().is_ok_and(|e| e.is_some()) {
                return true;
            }
        }
    }

    /// Answers without a length before the body is read, and breaks off after `time`.
    pub(super) async fn break_early(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
        time: Duration,
    ) {
        let id = request.header("x-mastichinge-request-id");
        let head = signed_head(id) + "\r\nid: 1\ndata: part\n\n";
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        sleep(time).await;
        if matches!(self.behavior(), Behavior::EarlyReset(_)) {
            let _ = reset(stream);
        }
    }

    /// Waits for the connection to close without answering.
    pub(super) async fn wait_for_close(
        &self,
        stream: &mut TcpStream,
        id: &str,
    ) -> std::io::Result<()> {
        let mut byte = [0];
        // Any result other than a byte means that the connection is closed.
        if !matches!(stream.read(&mut byte).await, Ok(1)) {
            self.state.lock().unwrap().cancelled.push(id.to_owned());
        }
        Err(std::io::ErrorKind::BrokenPipe.into())
    }
}

/// Ends a connection with a reset.
pub(super) fn reset(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    Err(std::io::ErrorKind::ConnectionReset.into())
}
