//! Exchanges with engines: requests of callers, orders and report requests. The head of every
//! response passes here, so that what an engine says of itself is recorded whatever the
//! response answers, and whether or not it is believed to answer that.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::carried::Earlier;
use super::client::{self, CallLimits, Connection, SendError, SendOptions};
use super::clock;
use super::permits::PermitGuard;
use super::shared_stream::StreamHandle;
use super::state::Edge;
use super::statements::{RateHeader, RateStatement};
use super::unreachable::Cause;
use super::upstream::Lifetime;
use crate::clock::Moment;
use crate::platform::{headers, orders};

/// Time limits of a call to an engine, which answers within milliseconds. An
/// unanswered order can be repeated safely, as it names the number of orders that
/// the engine must have accepted before it.
const CALL_LIMITS: CallLimits = CallLimits {
    connect_timeout: Duration::from_millis(400),
    total_timeout: Duration::from_millis(250),
    max_bytes: 1 << 20,
};

/// Time limit for asking an engine for its start time on a new connection; long enough for
/// a lost packet to be sent again.
const LIFETIME_CHECK_TIME: Duration = Duration::from_millis(800);
/// Time for which a connection is read on when its response may be to an earlier request: the
/// response to the last request often follows at once. Its run may go on meanwhile.
const LATE_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// Maximum size of the body of such a response, bytes.
const MAX_LATE_BYTES: usize = 64 << 10;

/// Which engines get a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// An order or a report request, for engines that want them.
    Order,
    /// A question whether the engine still wants nothing.
    Check,
}

/// An engine as known when something is sent to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Its lifetime.
    pub lifetime: Lifetime,
    /// Its address.
    pub addr: SocketAddr,
}

/// Returns the start time that an engine's report names if it is that of another lifetime.
pub(super) fn other_start(lifetime: &Lifetime, report: &[u8]) -> Option<u64> {
    let report = orders::decode_report(report).ok()?;
    let born = report.incarnation;
    (born != 0 && born != lifetime.incarnation).then_some(born)
}

impl Edge {
    /// Sends the caller's request `id` to an engine, with a permit if the engine has named a
    /// rate. Dropping the future closes the connection.
    pub async fn send_request(
        &self,
        recipient: &Recipient,
        id: &str,
        permit: Option<&PermitGuard>,
        request: Request<Full<Bytes>>,
        options: SendOptions,
        used: &RefCell<Option<StreamHandle>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let asked_at = Cell::new(Moment::ZERO);
        let is_wanted = || {
            asked_at.set(clock::now());
            self.accepts(recipient) && self.keeps_rate(recipient, permit)
        };
        let check = async |connection: &mut Connection| {
            used.replace(Some(connection.stream()));
            // An id without a start time is never used again.
            let has_start = recipient.lifetime.incarnation != 0;
            if !options.checks_lifetime || !has_start || connection.leads_to(&recipient.lifetime) {
                return Ok(true);
            }
            if !self.accepts(recipient) {
                return Err(SendError::Withheld);
            }
            self.check_lifetime(connection, recipient).await
        };
        let addr = recipient.addr;
        let sending = self
            .client
            .send_prepared(addr, request, options, is_wanted, check);
        let (response, connection) = sending.await?;
        let (status, headers) = (response.status(), response.headers());
        let asked = match headers::is_signed_answer(status, headers, id) {
            true => Asked::Answered(asked_at.get()),
            false => Asked::Unknown,
        };
        self.record_statement(recipient, id, asked, status, headers);
        if !headers::promises_not_run(response.status()) {
            self.record_accepted(recipient);
        }
        Ok((response, connection))
    }

    /// Asks the engine behind a connection for its start time, as it may have started again at
    /// its address since its entry was written. Returns whether the connection can be used on: not
    /// if the response may be a late one to what the connection had carried before.
    ///
    /// # Errors
    ///
    /// Fails if it has, or does not answer.
    async fn check_lifetime(
        &self,
        connection: &mut Connection,
        recipient: &Recipient,
    ) -> Result<bool, SendError> {
        let not_sent = |text: String| SendError::NotSent(Cause::Silent, text);
        let request = orders::report_request(&recipient.addr.to_string());
        let request = request.map_err(|e| not_sent(e.to_string()))?;
        let asked = Asked::Called(clock::now());
        let exchange = connection.exchange(request, CALL_LIMITS.max_bytes);
        let response = client::within(LIFETIME_CHECK_TIME, exchange).await;
        let response = response.map_err(|e| not_sent(format!("lifetime not checked: {e}")))?;
        let (status, headers) = (response.status(), response.headers());
        let is_report = || status.is_success() && orders::decode_report(response.body()).is_ok();
        if connection.earlier() != Earlier::Nothing && !is_report() {
            let status = status.as_u16();
            log::info!(engine = &*recipient.lifetime.engine, status;
                "response to a report request not believed");
            return Ok(false);
        }
        self.record_statement(recipient, "", asked, status, headers);
        if let Some(born) = other_start(&recipient.lifetime, response.body()) {
            let (engine, life) = (&*recipient.lifetime.engine, recipient.lifetime.incarnation);
            log::info!(engine, life, born; "engine has started again");
            let text = "the engine has started again".to_owned();
            return Err(SendError::NotSent(Cause::Restarted, text));
        }
        self.record_report(&recipient.lifetime, response.body());
        connection.set_lifetime(recipient.lifetime.clone());
        let closes = headers::parse_response(response.headers()).closes;
        Ok(!closes && connection.is_usable().await)
    }

    /// Sends a call to an engine and reads the whole response. Marks the engine as down when
    /// the call could not be sent.
    pub async fn call_engine(
        &self,
        recipient: &Recipient,
        kind: CallKind,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, SendError> {
        let options = SendOptions {
            connect_timeout: CALL_LIMITS.connect_timeout,
            ..SendOptions::default()
        };
        let is_wanted = || kind == CallKind::Check || self.accepts(recipient);
        let asked = Asked::Called(clock::now());
        let exchange = async {
            let sending = self
                .call_client
                .send_if(recipient.addr, request, options, is_wanted);
            let (response, connection) = sending.await?;
            let (status, headers) = (response.status(), response.headers());
            self.record_statement(recipient, "", asked, status, headers);
            client::read_whole(response, connection, CALL_LIMITS.max_bytes).await
        };
        let outcome = client::within(CALL_LIMITS.total_timeout, exchange).await;
        match &outcome {
            Ok(response) => self.record_report(&recipient.lifetime, response.body()),
            Err(SendError::NotSent(cause, text)) => {
                self.mark_down(&recipient.lifetime.engine, *cause, text);
            }
            Err(_) => {}
        }
        outcome
    }

    /// Records whether an engine at which runs were left goes on, if its response to a call is a
    /// report.
    fn record_report(&self, lifetime: &Lifetime, body: &[u8]) {
        if !self.state.borrow().left_runs.contains(lifetime) {
            return;
        }
        if other_start(lifetime, body).is_some() {
            self.record_ended(lifetime);
        } else if orders::decode_report(body).is_ok_and(|r| r.incarnation == lifetime.incarnation) {
            self.record_heard(lifetime);
        }
    }

    /// Closes the connection of the request `id` after a response that may be to an earlier
    /// request, and reads what the engine says of itself in those that still arrive.
    pub fn hear_late_responses(
        self: &Rc<Self>,
        recipient: Recipient,
        id: &str,
        response: Response<Incoming>,
        connection: Connection,
    ) {
        let (edge, id) = (self.clone(), Arc::<str>::from(id));
        let reading = async move {
            let body = Limited::new(response.into_body(), MAX_LATE_BYTES).collect();
            if body.await.is_err() {
                return;
            }
            let Some(mut unread) = connection.into_unread().await else {
                return;
            };
            if let Err(error) = unread.close_write().await {
                log::debug!(addr:% = recipient.addr, error:%; "connection not closed in order");
            }
            while let Some((status, headers)) = unread.next_head().await {
                edge.record_statement(&recipient, &id, Asked::Unknown, status, &headers);
            }
        };
        tokio::task::spawn_local(timeout(LATE_RESPONSE_TIME, reading));
    }

    /// Records that an engine has accepted a request, and wakes those that wait for that after
    /// its pause.
    fn record_accepted(&self, recipient: &Recipient) {
        let mut state = self.state.borrow_mut();
        let engine = &recipient.lifetime.engine;
        let reopening = state.fleet.reopening_mut(engine);
        let others_follow = reopening.is_some_and(|r| r.record_accepted(clock::now()));
        drop(state);
        if others_follow {
            self.notify_waiting();
        }
    }

    /// Returns whether an engine accepts requests and orders of this host.
    fn accepts(&self, recipient: &Recipient) -> bool {
        let state = self.state.borrow();
        state
            .fleet
            .accepts(&recipient.lifetime.engine, clock::now())
    }

    /// Returns whether a request may be sent to an engine as far as its rate goes, and spends
    /// the permit.
    fn keeps_rate(&self, recipient: &Recipient, permit: Option<&PermitGuard>) -> bool {
        let engine = &recipient.lifetime.engine;
        let is_limited = self.state.borrow().fleet.rates().rate(engine).is_some();
        if !is_limited {
            return true;
        }
        let is_permitted = permit.is_some_and(|p| p.spend(engine));
        let outcome = match is_permitted {
            true => "spent",
            false => "missing",
        };
        self.metrics.record_permits(outcome, 1);
        is_permitted
    }

    /// Records what an engine says of itself in the head of a response that may be to the
    /// request `id`; calls have none.
    fn record_statement(
        &self,
        recipient: &Recipient,
        id: &str,
        asked: Asked,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let Lifetime {
            engine,
            incarnation,
        } = &recipient.lifetime;
        let (statement, mut errors) = headers::engine_statement(status, headers);
        if statement.leaves {
            self.record_leaving(engine, *incarnation);
        }
        if let Some(pause) = statement.pause {
            let ms = pause.as_millis() as u64;
            log::info!(request = id, engine = &**engine, ms, life = *incarnation;
                "engine asks for a pause");
            self.metrics.record_engine_statement("pause", "kept");
            let mut state = self.state.borrow_mut();
            state
                .fleet
                .record_pause(engine, *incarnation, pause, clock::now());
        }
        // Another engine has the address, or this one lacks a model.
        let is_own = status != StatusCode::MISDIRECTED_REQUEST;
        if is_own && let Some((rate, asked_at)) = asked.rate(statement.rate) {
            let heard = RateStatement {
                number: rand::random(),
                incarnation: *incarnation,
                rate,
                asked_at,
                heard_at: clock::now(),
            };
            self.record_rate(engine, heard);
        }
        match headers::engine_report(headers) {
            Ok(Some(report)) if is_own && asked != Asked::Unknown => {
                self.record_engine_report(&recipient.lifetime, report);
            }
            Ok(_) => {}
            Err(error) => errors.push(error),
        }
        for error in errors {
            log::warn!(request = id, engine = &**engine, error:%; "engine's statement ignored");
        }
    }
}

/// What is known of the time at which an engine made a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// Later than the request that it answers was sent.
    Answered(Moment),
    /// Later than the call that it answers was made. Responses to calls may name no rate.
    Called(Moment),
    /// Nothing: it may be to an earlier request.
    Unknown,
}

impl Asked {
    /// Returns the rate that a response names, absent if it says that there is none, and the
    /// time before which it was not made. `None` if it says nothing of rates.
    fn rate(self, header: RateHeader) -> Option<(Option<f64>, Moment)> {
        match (header, self) {
            (RateHeader::Named(rate), Asked::Answered(at) | Asked::Called(at)) => {
                Some((Some(rate), at))
            }
            (RateHeader::Named(rate), Asked::Unknown) => Some((Some(rate), Moment::ZERO)),
            (RateHeader::Absent, Asked::Answered(at)) => Some((None, at)),
            (RateHeader::Absent, Asked::Called(_) | Asked::Unknown) => None,
            (RateHeader::Invalid, _) => None,
        }
    }
}
