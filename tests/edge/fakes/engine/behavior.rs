//! How an engine behaves.

use std::time::Duration;

/// How an engine answers requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Answers correctly.
    #[default]
    Correct,
    /// Resets the connection after reading the request.
    Reset,
    /// Resets after this many events, in the middle of the next.
    ResetAfter(u64),
    /// Resets some time after the first event of a run, in the middle of the next.
    ResetLate,
    /// Ends streams in order after this many events, in the middle of the next.
    EndInside(u64),
    /// Ends streams in order after this many events.
    EndAfter(u64),
    /// Pauses streams after this many events for [`super::PREEMPTION`].
    PauseAfter(u64),
    /// Reads the next request, then stalls for [`super::STALL`] with all its responses and goes on.
    StallAtRequest,
    /// The same, and rejects that request without running it.
    StallAtRejection,
    /// Stalls for [`super::STALL`] with all its responses once a stream has this many events, and
    /// goes on.
    StallAfter(u64),
    /// Never answers.
    Silent,
    /// Answers without a length and resets in the middle.
    UnframedReset,
    /// Answers without a length and closes the connection.
    Unframed,
    /// Sends a second response after each response.
    Extra,
    /// Rejects every request without running it.
    Full,
    /// Rejects every request without running it or echoing its id.
    FullWithoutId,
    /// Runs every request. On a connection that has carried another, a late rejection
    /// with this status and without an id comes first.
    LateRejection(u16),
    /// The same, also on a connection that has carried only an order or a report request.
    LateRejectionAfterCall(u16),
    /// Rejects every request. On a connection that has carried another, a late answer to that
    /// one without added headers comes first.
    FullAfterLateAnswer,
    /// Rejects a request when it first comes, and runs it when it comes again. If it
    /// comes again on the same connection, the rejection is repeated first.
    RepeatedRejection,
    /// Runs every request, but answers with a rejection of another.
    RejectsAnother,
    /// Runs every request and answers with this status.
    Answers(u16),
    /// Answers orders correctly. On a connection that has carried a request, a late
    /// answer to that request comes first.
    LateAnswer,
    /// Sends another response to the last request before each report.
    LateBeforeReport,
    /// Answers before it reads the body, and reads the body later.
    Early,
    /// Answers without a length before it reads the body, and resets in the middle after this time.
    EarlyReset(Duration),
    /// The same, but closes the connection with the body unread.
    EarlyClose(Duration),
    /// Answers before it reads the body, and never reads the body.
    EarlyUnread,
    /// Begins to run every request, reads little or nothing of its body, and does not answer.
    Unread {
        /// Bytes that it reads in each pause between events.
        bytes: usize,
    },
    /// Runs every request and answers with this text in place of a status.
    Status(&'static str),
    /// Answers 500.
    Failing,
    /// Sends bytes without end at this place, until the connection closes.
    Endless(Place),
    /// Answers correctly. On a connection that has carried another request, sends bytes without
    /// end in place of the response.
    EndlessOnReuse,
    /// Answers with this number of bytes in a chunk, and half of it as the length.
    TwoLengths(usize),
    /// Answers requests correctly, and orders and report requests with 503.
    RefusesCalls,
    /// Answers requests correctly, and orders and report requests with a head alone.
    BreaksCalls,
    /// Answers with a long length, sends a part of the body, and then nothing.
    LongSilent,
    /// Answers with this number of bytes, as fast as they are read.
    Long(usize),
}

/// Where an engine sends bytes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In place of a response.
    Garbage,
    /// In the status line.
    StatusLine,
    /// In a line of a head.
    HeaderLine,
    /// Lines of a head.
    HeaderLines,
    /// Informational responses before the response.
    Informational,
    /// In a body without length or chunks.
    Body,
    /// In one chunk of a body.
    Chunk,
    /// Chunks of a body.
    Chunks,
    /// In the extension of a chunk.
    ChunkExtension,
    /// Lines of trailers.
    Trailers,
    /// Events of a stream.
    Events,
    /// The same event of a stream again and again.
    RepeatedEvent,
    /// After a complete response.
    AfterResponse,
}

impl Place {
    /// Returns the bytes that come once, and those that come without end.
    pub fn bytes(self, id: &str) -> (String, &'static str) {
        let signed = signed_head(id);
        let chunked = format!("{signed}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Place::Garbage => (String::new(), "\0\x01garbage"),
            Place::StatusLine => ("HTTP/1.1 200 ".to_owned(), "OK "),
            Place::HeaderLine => (format!("{signed}X-Long: "), "long "),
            Place::HeaderLines => (signed, "X-More: more\r\n"),
            Place::Informational => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Place::Body => (format!("{signed}\r\n"), "no answer "),
            Place::Chunk => (format!("{chunked}7fffffffffffffff\r\n"), "no answer "),
            Place::Chunks => (chunked, "1e\r\nno answer no answer no answer \r\n"),
            Place::ChunkExtension => (format!("{chunked}3;"), "extension"),
            Place::Trailers => (format!("{chunked}0\r\n"), "X-More: more\r\n"),
            Place::Events => (format!("{signed}\r\n"), "data: more\n\n"),
            Place::RepeatedEvent => (format!("{signed}\r\n"), "id: 1\ndata: more\n\n"),
            Place::AfterResponse => (format!("{signed}Content-Length: 0\r\n\r\n"), "more "),
        }
    }
}

/// Returns the start of the head of a successful response; header lines may follow.
pub fn signed_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Mastichinge-Request-Id: {id}\r\n\
         X-Mastichinge-Server-Stamp: stamp\r\n"
    )
}
