//! Plain services: calls that may be repeated, and calls that may not.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use attohttpc::header::{CONTENT_TYPE, HeaderName};
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};

use crate::calls::{self, Calls, SendEnd};
use crate::clock::{Clock, Moment};
use crate::config::{Name, Route, Service};
use crate::error::{Kind, Refusal};
use crate::outside::Table;
use crate::outside::client::field as head_field;
use crate::outside::client::{Media, SendError, authorize, read, send};
use crate::protocol::calls::{CallIdentity, Reply};

use super::answer::Answer;

/// Time limit for connecting to a service.
const CONNECT: Duration = Duration::from_millis(500);
/// Time beyond its deadline for which the answer of a sent call is awaited.
const GRACE: Duration = Duration::from_secs(30);
/// Wait that a refusal names.
const COME_BACK: Duration = Duration::from_secs(1);
/// Head field of the key that marks retries of one call.
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
    pub media: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key.
    pub key: Option<Name>,
    /// The caller states that it has not sent this key before.
    pub first: bool,
    /// Moment by which the call must have begun.
    pub deadline: Moment,
}

/// Routes calls to plain services.
pub struct Services<T, P> {
    /// At-most-once calls.
    pub calls: Arc<Calls<T, P>>,
    /// Time.
    pub clock: Clock,
    /// Number of the next upstream to begin with.
    pub turn: AtomicUsize,
}

/// How one sending to an upstream failed.
struct Failure {
    error: SendError,
    addr: Name,
}

impl<T: Table, P: calls::Peers> Services<T, P> {
    /// Runs a call.
    ///
    /// # Errors
    ///
    /// What the call was refused for; the kind tells whether it may have run.
    pub fn run(&self, call: &ServiceCall, service: &Service) -> Result<Answer, Refusal> {
        if service.addrs.is_empty() {
            let detail = format!("service {} has no upstream", call.service);
            return Err(Refusal::new(Kind::UpstreamFailed, detail).retry_after(COME_BACK));
        }
        let reply = match once(call, service) {
            true => self.run_once(call, service)?,
            false => self.run_plain(call, service)?,
        };
        Ok(Answer {
            status: reply.status,
            content: reply.media.to_string(),
            body: reply.body,
            retry_after: None,
        })
    }

    fn run_once(&self, call: &ServiceCall, service: &Service) -> Result<Reply, Refusal> {
        let Some(key) = call.key.clone() else {
            let detail = format!("{} {} of {}", call.method, call.path, call.service);
            return Err(Refusal::new(Kind::KeyRequired, detail));
        };
        let path = format!("{}{}", call.service, call.path);
        let request = calls::Request {
            key,
            identity: CallIdentity {
                caller: call.caller.clone(),
                fingerprint: calls::fingerprint(call.method.as_str(), &path, &call.body),
            },
            keep: service.keep_s,
            first: call.first,
        };
        self.calls
            .run(&request, call.deadline, || self.send_once(call, service))
    }

    /// Sends until an upstream has got a byte.
    fn send_once(&self, call: &ServiceCall, service: &Service) -> SendEnd {
        let mut end = SendEnd::Unsent;
        for addr in self.order(service) {
            match self.send(call, service, &addr) {
                Ok(reply) => return SendEnd::Done(reply),
                Err(failure) => {
                    log::info!(request = &*call.id; "{}: {}", failure.addr, failure.error);
                    if failure.error.sent() {
                        end = SendEnd::Lost;
                        break;
                    }
                }
            }
        }
        end
    }

    fn run_plain(&self, call: &ServiceCall, service: &Service) -> Result<Reply, Refusal> {
        let repeatable = call.method.is_idempotent();
        let mut last = None;
        for addr in self.order(service) {
            if self.clock.now() >= call.deadline {
                break;
            }
            match self.send(call, service, &addr) {
                Ok(reply) => return Ok(reply),
                Err(failure) => {
                    let sent = failure.error.sent();
                    let detail = format!("{}: {}", failure.addr, failure.error);
                    if sent && !repeatable {
                        return Err(Refusal::new(Kind::OutcomeUnknown, detail));
                    }
                    last = Some(detail);
                }
            }
        }
        match last {
            Some(detail) => Err(Refusal::new(Kind::UpstreamFailed, detail).retry_after(COME_BACK)),
            None => {
                let detail = format!("no upstream of {} in time", call.service);
                Err(Refusal::new(Kind::DeadlineExpired, detail).retry_after(COME_BACK))
            }
        }
    }

    /// The upstreams, each call beginning with another.
    fn order(&self, service: &Service) -> Vec<Name> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let mut addrs = service.addrs.clone();
        let count = addrs.len().max(1);
        addrs.rotate_left(turn % count);
        addrs
    }

    fn send(&self, call: &ServiceCall, service: &Service, addr: &Name) -> Result<Reply, Failure> {
        let url = format!("http://{addr}{}", call.path);
        let left = call.deadline.saturating_sub(self.clock.now()) + GRACE;
        let failed = |error| Failure {
            error,
            addr: addr.clone(),
        };
        let request = RequestBuilder::try_new(call.method.clone(), url)
            .map_err(|e| failed(SendError::Unsent(e.to_string())))?
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(CONNECT)
            .timeout(left);
        let mut request = authorize(request, &service.key);
        if let Some(media) = &call.media {
            request = head_field(request, CONTENT_TYPE, media);
        }
        if let Some(key) = &call.key {
            request = head_field(request, IDEMPOTENCY_KEY, key);
        }
        let media = match call.body.is_empty() {
            true => Media::None,
            false => Media::Caller,
        };
        let response = send(request, media, &call.body).map_err(failed)?;
        reply(response).map_err(failed)
    }
}

fn reply(response: Response) -> Result<Reply, SendError> {
    let status = response.status().as_u16();
    let media = response.headers().get(CONTENT_TYPE);
    let media = media.and_then(|m| m.to_str().ok()).unwrap_or_default();
    Ok(Reply {
        status,
        media: media.into(),
        body: read(response)?,
    })
}

/// Whether the call may not be repeated.
fn once(call: &ServiceCall, service: &Service) -> bool {
    let matches = |route: &Route| {
        route.method.eq_ignore_ascii_case(call.method.as_str())
            && call.path.starts_with(&*route.path)
    };
    service.once.iter().any(matches)
}
