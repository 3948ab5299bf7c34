//! Proxies calls to plain services, which are HTTP upstreams other than engines.
//!
//! The configuration says which routes of a service run at most once; calls to
//! other routes may be retried on another upstream.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use attohttpc::header::{CONTENT_TYPE, HeaderName};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};

use crate::calls::{self, CallRunner, SendOutcome};
use crate::clock::{Clock, Moment};
use crate::config::{Name, Route, Service};
use crate::error::{Kind, Refusal};
use crate::outside::Table;
use crate::outside::client::{BodyType, SendError, add_header, authorize, read_body, send};
use crate::protocol::calls::{CallIdentity, Reply};

use super::response::BufferedResponse;

/// Time limit for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the deadline for which the response to a sent call is awaited.
const RESPONSE_GRACE: Duration = Duration::from_secs(30);
/// `Retry-After` of refusals.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Header with the key that identifies retries of the same call.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Request id.
    pub id: Name,
    /// Caller.
    pub caller: Name,
    /// Name of the service.
    pub service: Name,
    /// HTTP method.
    pub method: Method,
    /// Path below the service with its query, with a leading `/`.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key.
    pub idempotency_key: Option<Name>,
    /// Whether the caller states that it has not sent this key before.
    pub first_attempt: bool,
    /// Time by which the call must have started.
    pub deadline: Moment,
}

/// Sends calls to the upstreams of plain services.
pub struct ServiceProxy<T, P> {
    /// Runs the calls that must run at most once.
    pub calls: Arc<CallRunner<T, P>>,
    /// Clock.
    pub clock: Clock,
    /// Counter that selects the first upstream of the next call.
    pub next_upstream: AtomicUsize,
}

/// A failed attempt to send a call to an upstream.
struct SendFailure {
    error: SendError,
    addr: Name,
}

impl<T: Table, P: calls::CallPeers> ServiceProxy<T, P> {
    /// Runs a call.
    ///
    /// # Errors
    ///
    /// Why the call was refused; the kind says whether it may have run.
    pub fn run(&self, call: &ServiceCall, service: &Service) -> Result<BufferedResponse, Refusal> {
        if service.addrs.is_empty() {
            let detail = format!("service {} has no upstream", call.service);
            return Err(Refusal::new(Kind::UpstreamFailed, detail).retry_after(RETRY_AFTER));
        }
        let reply = match is_at_most_once(call, service) {
            true => self.run_at_most_once(call, service)?,
            false => self.run_retryable(call, service)?,
        };
        Ok(BufferedResponse {
            status: reply.status,
            content_type: reply.media.to_string(),
            body: reply.body,
            retry_after: None,
        })
    }

    fn run_at_most_once(&self, call: &ServiceCall, service: &Service) -> Result<Reply, Refusal> {
        let Some(key) = call.idempotency_key.clone() else {
            let detail = format!("{} {} of {}", call.method, call.path, call.service);
            return Err(Refusal::new(Kind::KeyRequired, detail));
        };
        let path = format!("{}{}", call.service, call.path);
        let request = calls::CallRequest {
            key,
            identity: CallIdentity {
                caller: call.caller.clone(),
                fingerprint: calls::fingerprint(call.method.as_str(), &path, &call.body),
            },
            retention_s: service.keep_s,
            first_attempt: call.first_attempt,
        };
        self.calls.run(&request, call.deadline, || {
            self.send_at_most_once(call, service)
        })
    }

    /// Tries the upstreams in turn until one replies or may have received a byte
    /// of the call.
    fn send_at_most_once(&self, call: &ServiceCall, service: &Service) -> SendOutcome {
        let mut outcome = SendOutcome::NotSent;
        for addr in self.upstream_order(service) {
            match self.send(call, service, &addr) {
                Ok(reply) => return SendOutcome::Done(reply),
                Err(failure) => {
                    log::info!(request = &*call.id; "sending to upstream {} failed: {}", failure.addr, failure.error);
                    if failure.error.maybe_sent() {
                        outcome = SendOutcome::NoAnswer;
                        break;
                    }
                }
            }
        }
        outcome
    }

    /// Tries the upstreams in turn until one replies. A call whose method is not
    /// idempotent is not repeated once an upstream may have received it.
    fn run_retryable(&self, call: &ServiceCall, service: &Service) -> Result<Reply, Refusal> {
        let is_idempotent = call.method.is_idempotent();
        let mut last_error = None;
        for addr in self.upstream_order(service) {
            if self.clock.now() >= call.deadline {
                break;
            }
            match self.send(call, service, &addr) {
                Ok(reply) => return Ok(reply),
                Err(failure) => {
                    let was_sent = failure.error.maybe_sent();
                    let detail = format!("{}: {}", failure.addr, failure.error);
                    if was_sent && !is_idempotent {
                        return Err(Refusal::new(Kind::OutcomeUnknown, detail));
                    }
                    last_error = Some(detail);
                }
            }
        }
        match last_error {
            Some(detail) => {
                Err(Refusal::new(Kind::UpstreamFailed, detail).retry_after(RETRY_AFTER))
            }
            None => {
                let detail = format!("no upstream of {} in time", call.service);
                Err(Refusal::new(Kind::DeadlineExpired, detail).retry_after(RETRY_AFTER))
            }
        }
    }

    /// Returns the upstreams in round-robin order: each call starts with the
    /// next one.
    fn upstream_order(&self, service: &Service) -> Vec<Name> {
        let next_upstream = self.next_upstream.fetch_add(1, Ordering::Relaxed);
        let mut addrs = service.addrs.clone();
        let count = addrs.len().max(1);
        addrs.rotate_left(next_upstream % count);
        addrs
    }

    fn send(
        &self,
        call: &ServiceCall,
        service: &Service,
        addr: &Name,
    ) -> Result<Reply, SendFailure> {
        let url = format!("http://{addr}{}", call.path);
        let timeout = call.deadline.saturating_sub(self.clock.now()) + RESPONSE_GRACE;
        let send_failure = |error| SendFailure {
            error,
            addr: addr.clone(),
        };
        let request = RequestBuilder::try_new(call.method.clone(), url)
            .map_err(|e| send_failure(SendError::NotSent(e.to_string())))?
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(timeout);
        let mut request = authorize(request, &service.key);
        if let Some(content_type) = &call.content_type {
            request = add_header(request, CONTENT_TYPE, content_type);
        }
        if let Some(key) = &call.idempotency_key {
            request = add_header(request, IDEMPOTENCY_KEY, key);
        }
        let body_type = match call.body.is_empty() {
            true => BodyType::None,
            false => BodyType::FromHeader,
        };
        let response = send(request, body_type, &call.body).map_err(send_failure)?;
        read_reply(response).map_err(send_failure)
    }
}

fn read_reply(response: Response) -> Result<Reply, SendError> {
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    Ok(Reply {
        status,
        media: content_type.into(),
        body: read_body(response)?,
    })
}

/// Returns whether the call must run at most once.
fn is_at_most_once(call: &ServiceCall, service: &Service) -> bool {
    let matches = |route: &Route| {
        route.method.eq_ignore_ascii_case(call.method.as_str())
            && call.path.starts_with(&*route.path)
    };
    service.once.iter().any(matches)
}
