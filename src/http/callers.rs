//! The API on the callers' port.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::calls;
use crate::clock::Clock;
use crate::config::{Caller, Name};
use crate::control::ControlHandle;
use crate::decide::retry::RetryBudget;
use crate::error::{Kind, Refusal};
use crate::metrics::Metrics;
use crate::outside::{Platform, Table};
use crate::router::Router;
use crate::settings::ClientLimits;

use super::guard::read_body;
use super::openai::{CompletionRequest, Endpoint, ResponseCollector, time_to_deadline};
use super::quotas::{CallerQuotas, QuotaPermit};
use super::relay::{ChunkSink, CompletionEnd, CompletionOutcome, Relay};
use super::request::{RequestContext, RequestIds, bearer_key, header_value, path, query_value};
use super::response::{BufferedResponse, ErrorFormat, openai_error};
use super::server::{Handler, RefusalCause};
use super::services::{ServiceCall, ServiceProxy};
use super::stream::EventStream;

/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Handles the requests of callers.
pub struct CallerApi<P, T, L> {
    /// Plain services.
    pub services: ServiceProxy<T, L>,
    /// External systems of the platform.
    pub platform: Arc<P>,
    /// The control thread.
    pub control: ControlHandle,
    /// Routes requests whose model is loaded.
    pub router: Router,
    /// Clock.
    pub clock: Clock,
    /// Limits on the callers' use of this host.
    pub quotas: CallerQuotas,
    /// Retry budget of this daemon.
    pub retries: Mutex<RetryBudget>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Generates request ids.
    pub request_ids: RequestIds,
    /// Limits on client connections and requests.
    pub limits: ClientLimits,
}

impl<P: Platform, T: Table, L: calls::CallPeers> Handler for CallerApi<P, T, L> {
    fn handle(&self, request: Request) {
        let id = self.request_ids.next_id();
        let format = error_format(&request);
        let result = self.route(request, &id);
        if let Err(refused) = result {
            let (request, refusal) = *refused;
            self.send_refusal(request, &refusal, format, &id);
        }
    }

    fn refuse(&self, request: Request, cause: RefusalCause) {
        let id = self.request_ids.next_id();
        let format = error_format(&request);
        let refusal = cause.refusal("too many requests are in progress at this host");
        let response = self.refusal_response(&refusal, format, &id);
        match cause {
            RefusalCause::Busy => response.send(request, &id),
            RefusalCause::Stopping => response.send_and_close(request, &id),
        }
    }
}

/// A request that was refused before anything was sent.
type RefusedRequest = Box<(Request, Refusal)>;

impl<P: Platform, T: Table, L: calls::CallPeers> CallerApi<P, T, L> {
    fn send_refusal(&self, request: Request, refusal: &Refusal, format: ErrorFormat, id: &Name) {
        self.refusal_response(refusal, format, id).send(request, id);
    }

    /// Logs and counts a refusal; returns the response.
    fn refusal_response(
        &self,
        refusal: &Refusal,
        format: ErrorFormat,
        id: &Name,
    ) -> BufferedResponse {
        log::info!(request = &**id; "request refused: {refusal}");
        self.metrics.record_refusal(refusal.kind);
        BufferedResponse::error(refusal, format, id)
    }

    fn route(&self, request: Request, id: &Name) -> Result<(), RefusedRequest> {
        let caller = match self.authenticate(&request) {
            Ok(caller) => caller,
            Err(refusal) => return Err(Box::new((request, refusal))),
        };
        let method = request.method().clone();
        let url_path = path(&request).to_owned();
        match (&method, url_path.as_str()) {
            (Method::Post, "/v1/chat/completions") => {
                self.handle_completion(request, id, &caller, Endpoint::Chat)
            }
            (Method::Post, "/v1/completions") => {
                self.handle_completion(request, id, &caller, Endpoint::Text)
            }
            (Method::Get, "/v1/models") => {
                let body = self.list_models(&caller);
                BufferedResponse::json(&body).send(request, id);
                Ok(())
            }
            (Method::Get, "/v1/hosts") => {
                let model = query_value(&request, "model").map(str::to_owned);
                match self.control.entry_hosts(model.as_deref()) {
                    Ok(body) => BufferedResponse::json(&body).send(request, id),
                    Err(refusal) => return Err(Box::new((request, refusal))),
                }
                Ok(())
            }
            (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models" | "/v1/hosts") => {
                let refusal = Refusal::new(Kind::BadMethod, format!("{method} {url_path}"));
                Err(Box::new((request, refusal)))
            }
            _ if url_path.starts_with(SERVICES_PREFIX) => {
                self.handle_service(request, id, &caller, &url_path)
            }
            _ => {
                let refusal = Refusal::new(Kind::NotFound, url_path);
                Err(Box::new((request, refusal)))
            }
        }
    }

    fn handle_service(
        &self,
        mut request: Request,
        id: &Name,
        caller: &Name,
        url_path: &str,
    ) -> Result<(), RefusedRequest> {
        let admitted = self.admit(caller);
        let _permit = match admitted {
            Ok(permit) => permit,
            Err(refusal) => return Err(Box::new((request, refusal))),
        };
        match self.call_service(&mut request, id, caller, url_path) {
            Ok(response) => {
                response.send(request, id);
                Ok(())
            }
            Err(refusal) => Err(Box::new((request, refusal))),
        }
    }

    fn call_service(
        &self,
        request: &mut Request,
        id: &Name,
        caller: &Name,
        url_path: &str,
    ) -> Result<BufferedResponse, Refusal> {
        let rest = &url_path[SERVICES_PREFIX.len()..];
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        let config = self.control.config();
        let unknown = || Refusal::new(Kind::UnknownService, format!("no service {name:?}"));
        let (name, service) = config.services.get_key_value(name).ok_or_else(unknown)?;
        let caller_config = config.callers.get(caller).cloned().unwrap_or_default();
        if !may_use_team(&caller_config, &service.team) {
            let detail = format!("{caller} may not use services of team {}", service.team);
            return Err(Refusal::new(Kind::Forbidden, detail));
        }
        let default = Duration::from_millis(service.deadline_ms);
        let time_left = time_to_deadline(header_value(request, "X-Deadline-Ms"), default)?;
        let method = request.method().to_string();
        let method = attohttpc::Method::from_bytes(method.as_bytes());
        let path = request.url()[SERVICES_PREFIX.len() + name.len()..].to_owned();
        let path = match path.starts_with('/') {
            true => path,
            false => format!("/{path}"),
        };
        let call = ServiceCall {
            id: id.clone(),
            caller: caller.clone(),
            service: name.clone(),
            method: method.map_err(|e| Refusal::new(Kind::BadMethod, e.to_string()))?,
            path,
            content_type: header_value(request, "Content-Type").map(str::to_owned),
            idempotency_key: header_value(request, "Idempotency-Key").map(Name::from),
            first_attempt: header_value(request, "X-First-Attempt") == Some("1"),
            deadline: self.clock.now() + time_left,
            body: self.read_body(request)?,
        };
        self.services.run(&call, service)
    }

    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, Refusal> {
        let timeout = Duration::from_millis(self.limits.receive_ms);
        read_body(request, self.limits.body, timeout)
    }

    fn authenticate(&self, request: &Request) -> Result<Name, Refusal> {
        let Some(key) = bearer_key(request) else {
            return Err(Refusal::new(Kind::BadKey, "no bearer key was given"));
        };
        if !self.control.ready() {
            return Err(Refusal::new(Kind::NotReady, "no configuration is known")
                .retry_after(Duration::from_secs(1)));
        }
        self.control
            .caller(key)
            .ok_or_else(|| Refusal::new(Kind::BadKey, "the key is not known"))
    }

    fn handle_completion(
        &self,
        mut request: Request,
        id: &Name,
        caller: &Name,
        endpoint: Endpoint,
    ) -> Result<(), RefusedRequest> {
        let prepared = self.prepare(&mut request, id, caller, endpoint);
        let (completion, context) = match prepared {
            Ok(prepared) => prepared,
            Err(refusal) => return Err(Box::new((request, refusal))),
        };
        let _open_stream = OpenStream::new(&self.metrics);
        let admitted = self.admit(caller);
        let _permit = match admitted {
            Ok(permit) => permit,
            Err(refusal) => return Err(Box::new((request, refusal))),
        };
        let relay = Relay {
            engine: self.platform.engine(),
            router: &self.router,
            control: &self.control,
            retries: &self.retries,
            clock: self.clock,
        };
        if completion.stream {
            return self.respond_streamed(request, &relay, &completion, &context);
        }
        self.respond_buffered(request, &relay, &completion, &context)
    }

    fn admit(&self, caller: &Name) -> Result<QuotaPermit<'_>, Refusal> {
        let view = self.control.view();
        let caller_config = view.config.callers.get(caller).cloned().unwrap_or_default();
        let now = self.clock.now();
        self.quotas
            .admit(caller, &caller_config, view.alive_count, now)
    }

    /// Parses a completion request, and checks the caller's access to the model
    /// and the deadline.
    fn prepare(
        &self,
        request: &mut Request,
        id: &Name,
        caller: &Name,
        endpoint: Endpoint,
    ) -> Result<(CompletionRequest, RequestContext), Refusal> {
        let body = self.read_body(request)?;
        let completion = CompletionRequest::parse(endpoint, &body)?;
        let config = self.control.config();
        let unknown = || {
            Refusal::new(
                Kind::UnknownModel,
                format!("no model {:?}", completion.model),
            )
        };
        let model = config.models.get(&completion.model).ok_or_else(unknown)?;
        let caller_config = config.callers.get(caller).cloned().unwrap_or_default();
        if !may_use_team(&caller_config, &model.team) {
            let detail = format!("{caller} may not use models of team {}", model.team);
            return Err(Refusal::new(Kind::Forbidden, detail));
        }
        let arrival = self.clock.now();
        let default = Duration::from_millis(model.deadline_ms);
        let time_left = time_to_deadline(header_value(request, "X-Deadline-Ms"), default)?;
        let priority = request_priority(
            header_value(request, "X-Priority"),
            model.priority,
            &caller_config,
        )?;
        let context = RequestContext {
            id: id.clone(),
            caller: caller.clone(),
            priority,
            arrival,
            deadline: arrival + time_left,
        };
        Ok((completion, context))
    }

    fn respond_streamed(
        &self,
        request: Request,
        relay: &Relay<'_, P::Engine>,
        completion: &CompletionRequest,
        context: &RequestContext,
    ) -> Result<(), RefusedRequest> {
        let mut stream = EventStream::new(request, &context.id);
        let outcome = relay.run(completion, context, &mut StreamSink(&mut stream));
        self.record_outcome(completion, context, &outcome);
        match outcome.end {
            CompletionEnd::Complete => {
                let _ = stream.end(true);
            }
            CompletionEnd::Disconnected => {}
            CompletionEnd::Refused(refusal, _) if stream.is_started() => {
                let _ = stream.send(&openai_error(&refusal, &context.id).to_string());
                let _ = stream.end(false);
            }
            CompletionEnd::Refused(refusal, _) => {
                if let Some(request) = stream.into_request() {
                    return Err(Box::new((request, refusal)));
                }
            }
        }
        Ok(())
    }

    fn respond_buffered(
        &self,
        request: Request,
        relay: &Relay<'_, P::Engine>,
        completion: &CompletionRequest,
        context: &RequestContext,
    ) -> Result<(), RefusedRequest> {
        let mut sink = BufferSink(ResponseCollector::new(
            completion.endpoint,
            &completion.model,
        ));
        let outcome = relay.run(completion, context, &mut sink);
        self.record_outcome(completion, context, &outcome);
        match outcome.end {
            CompletionEnd::Complete | CompletionEnd::Disconnected => {
                BufferedResponse::json(&sink.0.into_response(&context.id))
                    .send(request, &context.id);
                Ok(())
            }
            CompletionEnd::Refused(refusal, _) => Err(Box::new((request, refusal))),
        }
    }

    fn record_outcome(
        &self,
        completion: &CompletionRequest,
        context: &RequestContext,
        outcome: &CompletionOutcome,
    ) {
        let total = self.clock.now().saturating_sub(context.arrival);
        if let Some(first_token) = outcome.first_token {
            let after = first_token.saturating_sub(context.arrival);
            self.metrics.record_first_token(after, outcome.cold);
        }
        for _ in 0..outcome.retries {
            self.metrics.record_retry();
        }
        if outcome.end == CompletionEnd::Complete {
            let config = self.control.config();
            let worth = config
                .models
                .get(&completion.model)
                .map_or(1.0, |m| m.worth);
            self.metrics.record_served(total, worth);
        }
        log::debug!(
            request = &*context.id, model = &*completion.model, cold = outcome.cold,
            retries = outcome.retries, total_ms = total.as_millis() as u64;
            "completion ended"
        );
    }

    fn list_models(&self, caller: &Name) -> Value {
        let config = self.control.config();
        let caller_config = config.callers.get(caller).cloned().unwrap_or_default();
        let data: Vec<Value> = config
            .models
            .iter()
            .filter(|(_, model)| may_use_team(&caller_config, &model.team))
            .map(|(name, model)| {
                json!({"id": name, "object": "model", "created": 0, "owned_by": model.team})
            })
            .collect();
        json!({"object": "list", "data": data})
    }
}

/// Counts as one open stream until it is dropped.
struct OpenStream<'a>(&'a Metrics);

impl<'a> OpenStream<'a> {
    fn new(metrics: &'a Metrics) -> Self {
        metrics.add_streams(1);
        OpenStream(metrics)
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.0.add_streams(-1);
    }
}

/// Sends chunks to the client as they arrive.
struct StreamSink<'a>(&'a mut EventStream);

impl ChunkSink for StreamSink<'_> {
    fn send_chunk(&mut self, data: &str) -> bool {
        self.0.send(data).is_ok()
    }
}

/// Collects chunks into one response.
struct BufferSink(ResponseCollector);

impl ChunkSink for BufferSink {
    fn send_chunk(&mut self, data: &str) -> bool {
        self.0.add(data);
        true
    }
}

/// Returns the error format for the path of `request`.
fn error_format(request: &Request) -> ErrorFormat {
    if path(request).starts_with("/v1/") {
        return ErrorFormat::OpenAi;
    }
    ErrorFormat::ProblemDetails
}

/// Returns whether a caller may use the models and services of `team`.
fn may_use_team(caller_config: &Caller, team: &Name) -> bool {
    caller_config.teams.iter().any(|t| &**t == "*" || t == team)
}

/// Returns the priority of a request, capped at the caller's maximum.
fn request_priority(
    requested: Option<&str>,
    default: u8,
    caller_config: &Caller,
) -> Result<u8, Refusal> {
    let Some(requested) = requested else {
        return Ok(default.min(caller_config.priority));
    };
    let invalid = |_| Refusal::new(Kind::BadRequest, format!("X-Priority is {requested:?}"));
    let requested: u8 = requested.trim().parse().map_err(invalid)?;
    Ok(requested.min(caller_config.priority))
}
