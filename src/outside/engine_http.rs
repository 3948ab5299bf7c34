//! Model engines over HTTP.
//!
//! Work goes to the OpenAI paths and is answered by server-sent events that
//! end with `[DONE]`. Orders go to the Open Inference Protocol's model
//! repository, `POST /v2/repository/models/NAME/load` or `unload`, with
//! [`Parameters`]; `POST /v2/fence` raises the fencing token only. Each order
//! is answered by the engine's [`Report`], or by status 409 with a
//! [`Refusal`]. `GET /v2/report` reads the report.

use std::sync::Arc;
use std::time::Duration;

use attohttpc::header::HeaderName;
use attohttpc::{RequestBuilder, Response, Session};
use serde::{Deserialize, Serialize};

use super::client::{self, Media, SendError};
use super::escape::encode;
use super::events::Events;
use super::{Call, Engine, EngineError, Order, Report, Verb};

/// Header that carries the id of the request and attempt.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Largest body that a socket takes without the engine reading, bytes; sending
/// a larger one needs a limit of its own.
const SOCKET_BUFFER: usize = 64 * 1024;

/// Longest time for a stream whose body exceeds [`SOCKET_BUFFER`].
const LONGEST_STREAM: Duration = Duration::from_secs(3_600);

/// Body of an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// What the order says besides verb and model.
    pub parameters: Parameters,
}

/// What an order says besides verb and model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Parameters {
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
            parameters: Parameters {
                version: order.version.clone(),
                base: order.base.clone(),
                memory: order.memory,
                token: order.token,
                instance: order.instance.clone(),
            },
        }
    }
}

impl Parameters {
    /// The order that these parameters belong to.
    pub fn order(self, verb: Verb, model: &str) -> Order {
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

/// Reason of status 409 to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// The fencing token is older than `current`.
    Fenced {
        /// Token that the engine holds.
        current: u64,
    },
    /// The order is meant for another instance.
    Restarted {
        /// Present instance id.
        current: Arc<str>,
    },
}

impl From<Refusal> for EngineError {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Fenced { current } => EngineError::Fenced { current },
            Refusal::Restarted { current } => EngineError::Restarted { current },
        }
    }
}

impl From<SendError> for EngineError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(text) => EngineError::Unreached(text),
            SendError::Unanswered(text) => EngineError::Broken(text),
            SendError::Silent(text) => EngineError::Silent(text),
        }
    }
}

/// Client of model engines.
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
    fn post(&self, call: &Call, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", call.addr);
        prepare(self.session.post(url), call)
    }
}

impl Engine for HttpEngine {
    type Chunks = Events;

    fn stream(&self, call: &Call, path: &str, body: &[u8]) -> Result<Events, EngineError> {
        let mut request = self.post(call, path);
        if body.len() > SOCKET_BUFFER {
            request = request.timeout(LONGEST_STREAM);
        }
        let response = check(client::send(request, Media::Json, body)?)?;
        Ok(Events::new(response, call.silence))
    }

    fn order(&self, call: &Call, order: &Order) -> Result<Report, EngineError> {
        let body = serde_json::to_vec(&OrderBody::from(order)).map_err(invalid)?;
        let request = self.post(call, &path(order)).timeout(total(call));
        let response = check(client::send(request, Media::Json, &body)?)?;
        Ok(client::read_json(response)?)
    }

    fn report(&self, call: &Call) -> Result<Report, EngineError> {
        let url = format!("http://{}/v2/report", call.addr);
        let request = prepare(self.session.get(url), call).timeout(total(call));
        let response = check(client::send(request, Media::None, b"")?)?;
        Ok(client::read_json(response)?)
    }
}

/// Path of an order.
fn path(order: &Order) -> String {
    let verb = match order.verb {
        Verb::Load => "load",
        Verb::Unload => "unload",
        Verb::Fence => return "/v2/fence".into(),
    };
    format!("/v2/repository/models/{}/{verb}", encode(&order.model))
}

/// Time limit of a call that is not a stream.
fn total(call: &Call) -> Duration {
    call.connect + call.silence
}

fn prepare(request: RequestBuilder, call: &Call) -> RequestBuilder {
    let request = client::authorize(request, &call.key);
    let name = HeaderName::from_static(REQUEST_HEADER);
    client::field(request, name, &call.request)
        .connect_timeout(call.connect)
        .read_timeout(call.silence)
}

fn invalid(error: serde_json::Error) -> EngineError {
    EngineError::Unreached(error.to_string())
}

/// Turns an error status into an error.
fn check(response: Response) -> Result<Response, EngineError> {
    let status = response.status().as_u16();
    if response.is_success() {
        return Ok(response);
    }
    let detail = client::detail(response);
    let refusal = serde_json::from_str::<Refusal>(&detail);
    match refusal {
        Ok(refusal) if status == 409 => Err(refusal.into()),
        _ => Err(EngineError::Status { status, detail }),
    }
}
