//! Framing of engines' responses.

use http::header::{HeaderMap, TRANSFER_ENCODING};
use hyper::body::{Body, Incoming};

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Framing {
    /// The length in the head.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection, which a broken response may have too.
    Close,
}

impl Framing {
    /// Returns the framing of a response's body, which has not been read yet.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            return Framing::Length;
        }
        let encodings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last = encodings
            .and_then(|e| e.to_str().ok())
            .and_then(|e| e.rsplit(',').next())
            .unwrap_or_default();
        match last.trim().eq_ignore_ascii_case("chunked") {
            true => Framing::Chunked,
            false => Framing::Close,
        }
    }
}
