//! Streams that callers take up again: they go on only at the version that began them.

use std::sync::Arc;
use std::time::Duration;

use super::RoutedRequest;
use super::attempt::Failure;
use super::retry::Attempts;
use crate::edge::origins::{Origin, Resumed, UnknownOrigin};
use crate::error::Kind;

/// Retry delay of a stream whose version no engine has.
pub(super) const GONE_RETRY: Duration = Duration::from_secs(600);
/// Retry delay while it may become known where a stream began.
const UNKNOWN_RETRY: Duration = Duration::from_millis(300);

/// Returns the version that began the stream that a caller takes up again.
pub(super) async fn find_software(
    routed: &RoutedRequest,
    attempts: &Attempts,
) -> Result<Arc<str>, Failure> {
    let resumed = routed.headers.resumed;
    let is_named = matches!(resumed, Resumed::Stream(_));
    let found = match is_named || !routed.route.is_split() {
        true => routed.edge.find_origin(&routed.service, resumed).await,
        false => Err(UnknownOrigin::Unnamed),
    };
    log_take_up(routed, &found);
    match found {
        Ok(origin) => Ok(origin.software),
        Err(error) => {
            let retry_after = match error.is_passing() {
                true => UNKNOWN_RETRY,
                false => GONE_RETRY,
            };
            Err(Failure {
                refusal: attempts.refuse(Kind::NoCapacity).after(retry_after),
                cause: error.to_string(),
                engine: "".into(),
            })
        }
    }
}

/// Counts and logs a stream that is taken up again.
fn log_take_up(routed: &RoutedRequest, found: &Result<Origin, UnknownOrigin>) {
    let source: &'static str = match found {
        Ok(origin) => origin.source.into(),
        Err(_) => "unknown",
    };
    routed.edge.metrics.record_take_up(source);
    let stream = match routed.headers.resumed {
        Resumed::Stream(stream) => stream.to_string(),
        Resumed::Unnamed | Resumed::Ambiguous => String::new(),
    };
    let request = &*routed.headers.id;
    let after = routed.headers.last_event.unwrap_or_default();
    let software = found.as_ref().map_or("", |origin| &*origin.software);
    let ms = routed.age().as_millis() as u64;
    log::info!(request, stream, after, software, source, ms; "stream taken up");
}
