//! Statuses of HTTP responses.

use http::StatusCode;

/// Highest status (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// Returns whether a response with this status answers its request. Informational ones come before
/// the answer, and numbers above the last class are none.
pub fn is_answer(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() <= MAX_STATUS
}
