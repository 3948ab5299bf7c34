//! One sending of a request to an engine, up to the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::Job;
use super::attempt::Tries;
use crate::clock::Moment;
use crate::edge::call::Sending;
use crate::edge::client::{Conn, SendError};
use crate::edge::clock;
use crate::edge::flight::Flight;
use crate::edge::placement::ModelTarget;
use crate::edge::routing::Choice;
use crate::platform::heads;

/// Time limit of a connection to an engine.
const CONNECT: Duration = Duration::from_millis(400);
/// Time for the rest of a rejection, so that its connection can be kept.
const REST: Duration = Duration::from_millis(50);
/// Longest answer that is read whole before it is passed on, bytes; such an
/// answer can be had again from another engine when it is cut.
pub(super) const WHOLE_BYTES: usize = 256 << 10;

/// An engine's answer whose head has come.
#[derive(Debug)]
pub(super) struct Answered {
    pub response: Response<Incoming>,
    pub conn: Conn,
    pub said: heads::Answer,
    pub flight: Flight,
    /// When it was sent.
    pub sent: Moment,
    /// Time to the first event that was predicted then.
    pub predicted: Duration,
}

/// What became of one sending.
#[derive(Debug)]
pub(super) enum Sent {
    Answered(Box<Answered>),
    /// The engine did not run it.
    NotRun(StatusCode),
    /// No byte was sent.
    Unreached(String),
    /// It may have run.
    Broken(String),
    /// The engine stayed silent for its time.
    Silent,
}

/// Sends the request to one engine and waits for the head of its answer.
pub(super) async fn send(job: &Job, tries: &Tries, choice: &Choice, patience: Duration) -> Sent {
    let request = match request(job, tries, choice) {
        Ok(request) => request,
        Err(error) => return Sent::Unreached(error.to_string()),
    };
    let flight = Flight::begin(&job.edge, choice, job.call.prompt.as_ref());
    let sent = clock::now();
    let sending = job.edge.client.send(choice.addr, request, CONNECT);
    let Ok(outcome) = timeout(patience, sending).await else {
        match patience < job.left() {
            true => flight.judge(false),
            false => flight.unanswered(),
        }
        return Sent::Silent;
    };
    let (response, conn) = match outcome {
        Ok(exchange) => exchange,
        Err(SendError::Unreached(cause)) => {
            flight.unreached();
            if let Some(target) = target_of(job) {
                job.edge.lacks(&choice.engine, &target);
            }
            return Sent::Unreached(cause);
        }
        Err(SendError::Broken(cause)) => {
            flight.judge(false);
            job.edge.client.forget(choice.addr);
            return Sent::Broken(cause);
        }
    };
    let said = heads::answer(response.headers());
    let status = response.status();
    let ours = *said.id == *job.call.id || (said.id.is_empty() && job.call.id.is_empty());
    if said.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        if !ours && !said.id.is_empty() {
            return Sent::Broken("an answer to another request came".to_owned());
        }
        rejected(job, choice, status);
        conn_rest(response, conn, said).await;
        return Sent::NotRun(status);
    }
    if !ours {
        flight.judge(false);
        job.edge.client.forget(choice.addr);
        return Sent::Broken("an answer to another request came".to_owned());
    }
    if status.is_success() && !said.signed {
        flight.judge(false);
        return Sent::Broken("an unsigned answer came".to_owned());
    }
    Sent::Answered(Box::new(Answered {
        response,
        conn,
        said,
        flight,
        sent,
        predicted: choice.first_event,
    }))
}

fn request(job: &Job, tries: &Tries, choice: &Choice) -> http::Result<Request<Full<Bytes>>> {
    let path = job.head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri: Uri = path.parse().map_err(http::Error::from)?;
    let sending = Sending {
        engine: &choice.engine,
        left: job.left(),
        last_event: tries.last_event,
        priority: job.call.prompt.is_some().then_some(job.route.priority),
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = heads::to_engine(&job.head.headers, &sending);
    Ok(request)
}

/// Notes why an engine did not run a request.
fn rejected(job: &Job, choice: &Choice, status: StatusCode) {
    let request = &*job.call.id;
    let engine = &*choice.engine;
    log::info!(request, engine, status = status.as_u16(); "engine rejected the request");
    if status != StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if let Some(target) = target_of(job) {
        job.edge.lacks(&choice.engine, &target);
    }
}

/// What must be loaded for a request.
fn target_of(job: &Job) -> Option<ModelTarget> {
    let prompt = job.call.prompt.as_ref()?;
    Some(ModelTarget::of(&job.service, prompt))
}

/// Reads the rest of a short answer so that its connection can be kept.
async fn conn_rest(response: Response<Incoming>, conn: Conn, said: heads::Answer) {
    let body = Limited::new(response.into_body(), WHOLE_BYTES).collect();
    let read = timeout(REST, body).await;
    if matches!(read, Ok(Ok(_))) && !said.closing {
        conn.keep(said.idle);
    }
}
