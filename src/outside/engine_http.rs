//! HTTP client of model engines.
//!
//! Requests use the OpenAI paths; responses are server-sent events that end
//! with `[DONE]`. Orders use the model repository of the Open Inference
//! Protocol, `POST /v2/repository/models/NAME/load` or `unload`, with
//! [`OrderParameters`]; `POST /v2/fence` only raises the fencing token. The
//! response to an order is the engine's [`Report`], or status 409 with an
//! [`OrderRefusal`]. `GET /v2/report` reads the report.

use std::sync::Arc;
use std::time::Duration;

use attohttpc::header::HeaderName;
use attohttpc::{RequestBuilder, Response, Session};
use serde::{Deserialize, Serialize};

use super::client::{self, BodyType, SendError};
use super::escape::encode;
use super::sse::SseReader;
use super::{CallOptions, Engine, EngineError, Order, Report, Verb};

/// Header with the id of the request and attempt.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Largest body that fits into the socket buffer, bytes; sending a larger one
/// blocks until the engine reads and needs a total timeout.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;

/// Timeout of a whole stream whose request body exceeds [`SOCKET_BUFFER_BYTES`].
const LARGE_BODY_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Body of an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// All fields of the order but verb and model.
    pub parameters: OrderParameters,
}

/// All fields of an order but verb and model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderParameters {
    /// Version of the weights.
    pub version: Arc<str>,
    /// Base model of an adapter.
    pub base: Option<Arc<str>>,
    /// Memory, MB.
    pub memory: u64,
    /// Fencing token of the owner.
    pub token: u64,
    /// Instance id that the order is meant for.
    pub instance: Arc<str>,
}

impl From<&Order> for OrderBody {
    fn from(order: &Order) -> Self {
        OrderBody {
            parameters: OrderParameters {
                version: order.version.clone(),
                base: order.base.clone(),
                memory: order.memory,
                token: order.token,
                instance: order.instance.clone(),
            },
        }
    }
}

impl OrderParameters {
    /// Returns the order with these parameters.
    pub fn into_order(self, verb: Verb, model: &str) -> Order {
        Order {
            verb,
            model: model.into(),
            version: self.version,
            base: self.base,
            memory: self.memory,
            token: self.token,
            instance: self.instance,
        }
    }
}

/// Reason for which an engine rejects an order with status 409.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum OrderRefusal {
    /// The fencing token of the order is older than `current`.
    Fenced {
        /// Highest token that the engine has seen.
        current: u64,
    },
    /// The order is meant for another instance.
    Restarted {
        /// Instance id of the engine.
        current: Arc<str>,
    },
}

impl From<OrderRefusal> for EngineError {
    fn from(refusal: OrderRefusal) -> Self {
        match refusal {
            OrderRefusal::Fenced { current } => EngineError::Fenced { current },
            OrderRefusal::Restarted { current } => EngineError::Restarted { current },
        }
    }
}

impl From<SendError> for EngineError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(text) => EngineError::Unreachable(text),
            SendError::NoAnswer(text) => EngineError::ConnectionLost(text),
            SendError::TimedOut(text) => EngineError::TimedOut(text),
        }
    }
}

/// HTTP client of model engines.
#[derive(Debug)]
pub struct HttpEngine {
    session: Session,
}

impl Default for HttpEngine {
    fn default() -> Self {
        HttpEngine {
            session: client::session(),
        }
    }
}

impl HttpEngine {
    fn post(&self, call: &CallOptions, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", call.addr);
        add_options(self.session.post(url), call)
    }
}

impl Engine for HttpEngine {
    type ChunkStream = SseReader;

    fn stream(
        &self,
        call: &CallOptions,
        path: &str,
        body: &[u8],
    ) -> Result<SseReader, EngineError> {
        let mut request = self.post(call, path);
        if body.len() > SOCKET_BUFFER_BYTES {
            request = request.timeout(LARGE_BODY_TIMEOUT);
        }
        let response = check_status(client::send(request, BodyType::Json, body)?)?;
        Ok(SseReader::new(response, call.read_timeout))
    }

    fn order(&self, call: &CallOptions, order: &Order) -> Result<Report, EngineError> {
        let body = serde_json::to_vec(&OrderBody::from(order)).map_err(encode_error)?;
        let request = self
            .post(call, &order_path(order))
            .timeout(call_timeout(call));
        let response = check_status(client::send(request, BodyType::Json, &body)?)?;
        Ok(client::read_json(response)?)
    }

    fn report(&self, call: &CallOptions) -> Result<Report, EngineError> {
        let url = format!("http://{}/v2/report", call.addr);
        let request = add_options(self.session.get(url), call).timeout(call_timeout(call));
        let response = check_status(client::send(request, BodyType::None, b"")?)?;
        Ok(client::read_json(response)?)
    }
}

/// Returns the path of an order.
fn order_path(order: &Order) -> String {
    let verb = match order.verb {
        Verb::Load => "load",
        Verb::Unload => "unload",
        Verb::Fence => return "/v2/fence".into(),
    };
    format!("/v2/repository/models/{}/{verb}", encode(&order.model))
}

/// Returns the total timeout of a call that is not a stream.
fn call_timeout(call: &CallOptions) -> Duration {
    call.connect_timeout + call.read_timeout
}

fn add_options(request: RequestBuilder, call: &CallOptions) -> RequestBuilder {
    let request = client::authorize(request, &call.key);
    let name = HeaderName::from_static(REQUEST_ID_HEADER);
    client::add_header(request, name, &call.request_id)
        .connect_timeout(call.connect_timeout)
        .read_timeout(call.read_timeout)
}

/// Returns an encoding error as `Unreachable`, because nothing was sent.
fn encode_error(error: serde_json::Error) -> EngineError {
    EngineError::Unreachable(error.to_string())
}

/// Returns an error for an error status.
fn check_status(response: Response) -> Result<Response, EngineError> {
    let status = response.status().as_u16();
    if response.is_success() {
        return Ok(response);
    }
    let detail = client::read_error_detail(response);
    let refusal = serde_json::from_str::<OrderRefusal>(&detail);
    match refusal {
        Ok(refusal) if status == 409 => Err(refusal.into()),
        _ => Err(EngineError::Status { status, detail }),
    }
}
