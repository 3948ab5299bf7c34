//! The paths of the callers' port.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::calls;
use crate::clock::Clock;
use crate::config::{Caller, Name};
use crate::control::Desk;
use crate::decide::retry::Budget;
use crate::error::{Kind, Refusal};
use crate::metrics::Metrics;
use crate::outside::{Platform, Table};
use crate::router::Router;
use crate::settings::Limits;

use super::answer::{Answer, Form, api_error};
use super::contracts::{Contracts, Open};
use super::guard::read_body;
use super::openai::{Collector, Completion, Endpoint, deadline};
use super::relay::{End, Outcome, Relay, Sink};
use super::request::{Ids, Terms, bearer, field, path, query};
use super::server::Handler;
use super::services::{ServiceCall, Services};
use super::stream::EventStream;

/// Prefix of the paths of plain services.
const SERVICES: &str = "/services/";

/// Serves callers.
pub struct Callers<P, T, L> {
    /// Plain services.
    pub services: Services<T, L>,
    /// Outside systems.
    pub platform: Arc<P>,
    /// The control thread.
    pub desk: Desk,
    /// Routing of warm requests.
    pub router: Router,
    /// Time.
    pub clock: Clock,
    /// What callers may use at this host.
    pub contracts: Contracts,
    /// Budget of retries of this daemon.
    pub retries: Mutex<Budget>,
    /// Counts what happens.
    pub metrics: Arc<Metrics>,
    /// Request ids.
    pub ids: Ids,
    /// Limits on clients.
    pub limits: Limits,
}

impl<P: Platform, T: Table, L: calls::CallPeers> Handler for Callers<P, T, L> {
    fn handle(&self, request: Request) {
        let id = self.ids.next();
        let form = form_of(&request);
        let result = self.route(request, &id);
        if let Err(refused) = result {
            let (request, refusal) = *refused;
            self.refused(request, &refusal, form, &id);
        }
    }

    fn refuse(&self, request: Request) {
        let id = self.ids.next();
        let form = form_of(&request);
        let detail = "too many requests are in progress at this host";
        let refusal = Refusal::new(Kind::QueueFull, detail).retry_after(Duration::from_secs(1));
        self.refused(request, &refusal, form, &id);
    }
}

/// A request that was refused before anything was sent.
type Refused = Box<(Request, Refusal)>;

impl<P: Platform, T: Table, L: calls::CallPeers> Callers<P, T, L> {
    fn refused(&self, request: Request, refusal: &Refusal, form: Form, id: &Name) {
        log::info!(request = &**id; "refused: {refusal}");
        self.metrics.refused(refusal.kind);
        Answer::refusal(refusal, form, id).send(request, id);
    }

    fn route(&self, request: Request, id: &Name) -> Result<(), Refused> {
        let caller = match self.caller(&request) {
            Ok(caller) => caller,
            Err(refusal) => return Err(Box::new((request, refusal))),
        };
        let method = request.method().clone();
        let place = path(&request).to_owned();
        match (&method, place.as_str()) {
            (Method::Post, "/v1/chat/completions") => {
                self.completion(request, id, &caller, Endpoint::Chat)
            }
            (Method::Post, "/v1/completions") => {
                self.completion(request, id, &caller, Endpoint::Text)
            }
            (Method::Get, "/v1/models") => {
                let body = self.models(&caller);
                Answer::json(&body).send(request, id);
                Ok(())
            }
            (Method::Get, "/v1/hosts") => {
                let model = query(&request, "model").map(str::to_owned);
                match self.desk.entry(model.as_deref()) {
                    Ok(body) => Answer::json(&body).send(request, id),
                    Err(refusal) => return Err(Box::new((request, refusal))),
                }
                Ok(())
            }
            (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models" | "/v1/hosts") => {
                let refusal = Refusal::new(Kind::BadMethod, format!("{method} {place}"));
                Err(Box::new((request, refusal)))
            }
            _ if place.starts_with(SERVICES) => self.service(request, id, &caller, &place),
            _ => {
                let refusal = Refusal::new(Kind::NotFound, place);
                Err(Box::new((request, refusal)))
            }
        }
    }

    fn service(
        &self,
        mut request: Request,
        id: &Name,
        caller: &Name,
        place: &str,
    ) -> Result<(), Refused> {
        let open = self.admit(caller);
        let _open = match open {
            Ok(open) => open,
            Err(refusal) => return Err(Box::new((request, refusal))),
        };
        match self.serve_call(&mut request, id, caller, place) {
            Ok(answer) => {
                answer.send(request, id);
                Ok(())
            }
            Err(refusal) => Err(Box::new((request, refusal))),
        }
    }

    fn serve_call(
        &self,
        request: &mut Request,
        id: &Name,
        caller: &Name,
        place: &str,
    ) -> Result<Answer, Refusal> {
        let rest = &place[SERVICES.len()..];
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        let config = self.desk.config();
        let unknown = || Refusal::new(Kind::UnknownService, format!("no service {name:?}"));
        let (name, service) = config.services.get_key_value(name).ok_or_else(unknown)?;
        let contract = config.callers.get(caller).cloned().unwrap_or_default();
        if !permits(&contract, &service.team) {
            let detail = format!("{caller} may not use services of team {}", service.team);
            return Err(Refusal::new(Kind::Forbidden, detail));
        }
        let fallback = Duration::from_millis(service.deadline_ms);
        let left = deadline(field(request, "X-Deadline-Ms"), fallback)?;
        let method = request.method().to_string();
        let method = attohttpc::Method::from_bytes(method.as_bytes());
        let url = request.url()[SERVICES.len() + name.len()..].to_owned();
        let path = match url.starts_with('/') {
            true => url,
            false => format!("/{url}"),
        };
        let call = ServiceCall {
            id: id.clone(),
            caller: caller.clone(),
            service: name.clone(),
            method: method.map_err(|e| Refusal::new(Kind::BadMethod, e.to_string()))?,
            path,
            media: field(request, "Content-Type").map(str::to_owned),
            key: field(request, "Idempotency-Key").map(Name::from),
            first: field(request, "X-First-Attempt") == Some("1"),
            deadline: self.clock.now() + left,
            body: self.read_body(request)?,
        };
        self.services.run(&call, service)
    }

    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, Refusal> {
        let wait = Duration::from_millis(self.limits.receive_ms);
        read_body(request, self.limits.body, wait)
    }

    fn caller(&self, request: &Request) -> Result<Name, Refusal> {
        let Some(key) = bearer(request) else {
            return Err(Refusal::new(Kind::BadKey, "no bearer key was given"));
        };
        if !self.desk.ready() {
            return Err(Refusal::new(Kind::NotReady, "no configuration is known")
                .retry_after(Duration::from_secs(1)));
        }
        self.desk
            .caller(key)
            .ok_or_else(|| Refusal::new(Kind::BadKey, "the key is not known"))
    }

    fn completion(
        &self,
        mut request: Request,
        id: &Name,
        caller: &Name,
        endpoint: Endpoint,
    ) -> Result<(), Refused> {
        let prepared = self.prepare(&mut request, id, caller, endpoint);
        let (ask, terms) = match prepared {
            Ok(prepared) => prepared,
            Err(refusal) => return Err(Box::new((request, refusal))),
        };
        let _open = OpenStream::new(&self.metrics);
        let open = self.admit(caller);
        let _open = match open {
            Ok(open) => open,
            Err(refusal) => return Err(Box::new((request, refusal))),
        };
        let relay = Relay {
            engine: self.platform.engine(),
            router: &self.router,
            desk: &self.desk,
            retries: &self.retries,
            clock: self.clock,
        };
        if ask.stream {
            return self.streamed(request, &relay, &ask, &terms);
        }
        self.whole(request, &relay, &ask, &terms)
    }

    fn admit(&self, caller: &Name) -> Result<Open<'_>, Refusal> {
        let view = self.desk.view();
        let contract = view.config.callers.get(caller).cloned().unwrap_or_default();
        let now = self.clock.now();
        self.contracts.admit(caller, &contract, view.alive, now)
    }

    /// Checks a completion request against caller, model and deadline.
    fn prepare(
        &self,
        request: &mut Request,
        id: &Name,
        caller: &Name,
        endpoint: Endpoint,
    ) -> Result<(Completion, Terms), Refusal> {
        let body = self.read_body(request)?;
        let ask = Completion::parse(endpoint, &body)?;
        let config = self.desk.config();
        let unknown = || Refusal::new(Kind::UnknownModel, format!("no model {:?}", ask.model));
        let model = config.models.get(&ask.model).ok_or_else(unknown)?;
        let contract = config.callers.get(caller).cloned().unwrap_or_default();
        if !permits(&contract, &model.team) {
            let detail = format!("{caller} may not use models of team {}", model.team);
            return Err(Refusal::new(Kind::Forbidden, detail));
        }
        let arrived = self.clock.now();
        let fallback = Duration::from_millis(model.deadline_ms);
        let left = deadline(field(request, "X-Deadline-Ms"), fallback)?;
        let priority = priority(field(request, "X-Priority"), model.priority, &contract)?;
        let terms = Terms {
            id: id.clone(),
            caller: caller.clone(),
            priority,
            arrived,
            deadline: arrived + left,
        };
        Ok((ask, terms))
    }

    fn streamed(
        &self,
        request: Request,
        relay: &Relay<'_, P::Engine>,
        ask: &Completion,
        terms: &Terms,
    ) -> Result<(), Refused> {
        let mut stream = EventStream::new(request, &terms.id);
        let outcome = relay.run(ask, terms, &mut Streamed(&mut stream));
        self.note(ask, terms, &outcome);
        match outcome.end {
            End::Whole => {
                let _ = stream.end(true);
            }
            End::HungUp => {}
            End::Refused(refusal, _) if stream.started() => {
                let _ = stream.send(&api_error(&refusal, &terms.id).to_string());
                let _ = stream.end(false);
            }
            End::Refused(refusal, _) => {
                if let Some(request) = stream.into_request() {
                    return Err(Box::new((request, refusal)));
                }
            }
        }
        Ok(())
    }

    fn whole(
        &self,
        request: Request,
        relay: &Relay<'_, P::Engine>,
        ask: &Completion,
        terms: &Terms,
    ) -> Result<(), Refused> {
        let mut sink = Collected(Collector::new(ask.endpoint, &ask.model));
        let outcome = relay.run(ask, terms, &mut sink);
        self.note(ask, terms, &outcome);
        match outcome.end {
            End::Whole | End::HungUp => {
                Answer::json(&sink.0.finish(&terms.id)).send(request, &terms.id);
                Ok(())
            }
            End::Refused(refusal, _) => Err(Box::new((request, refusal))),
        }
    }

    fn note(&self, ask: &Completion, terms: &Terms, outcome: &Outcome) {
        let total = self.clock.now().saturating_sub(terms.arrived);
        if let Some(first) = outcome.first {
            let after = first.saturating_sub(terms.arrived);
            self.metrics.first_token(after, outcome.cold);
        }
        for _ in 0..outcome.retries {
            self.metrics.retried();
        }
        if outcome.end == End::Whole {
            let config = self.desk.config();
            let worth = config.models.get(&ask.model).map_or(1.0, |m| m.worth);
            self.metrics.served(total, worth);
        }
        log::debug!(
            request = &*terms.id, model = &*ask.model, cold = outcome.cold,
            retries = outcome.retries, total_ms = total.as_millis() as u64;
            "ended"
        );
    }

    fn models(&self, caller: &Name) -> Value {
        let config = self.desk.config();
        let contract = config.callers.get(caller).cloned().unwrap_or_default();
        let data: Vec<Value> = config
            .models
            .iter()
            .filter(|(_, model)| permits(&contract, &model.team))
            .map(|(name, model)| {
                json!({"id": name, "object": "model", "created": 0, "owned_by": model.team})
            })
            .collect();
        json!({"object": "list", "data": data})
    }
}

/// Counts one open stream for as long as it lives.
struct OpenStream<'a>(&'a Metrics);

impl<'a> OpenStream<'a> {
    fn new(metrics: &'a Metrics) -> Self {
        metrics.streams(1);
        OpenStream(metrics)
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.0.streams(-1);
    }
}

/// Chunks that go to a client as they come.
struct Streamed<'a>(&'a mut EventStream);

impl Sink for Streamed<'_> {
    fn chunk(&mut self, data: &str) -> bool {
        self.0.send(data).is_ok()
    }
}

/// Chunks that are collected into one answer.
struct Collected(Collector);

impl Sink for Collected {
    fn chunk(&mut self, data: &str) -> bool {
        self.0.add(data);
        true
    }
}

/// The error form of the path that `request` names.
fn form_of(request: &Request) -> Form {
    if path(request).starts_with("/v1/") {
        return Form::Api;
    }
    Form::Problem
}

/// Whether a caller may use the objects of `team`.
fn permits(contract: &Caller, team: &Name) -> bool {
    contract.teams.iter().any(|t| &**t == "*" || t == team)
}

/// The priority of a request, at most what the caller's contract allows.
fn priority(asked: Option<&str>, usual: u8, contract: &Caller) -> Result<u8, Refusal> {
    let Some(asked) = asked else {
        return Ok(usual.min(contract.priority));
    };
    let wrong = |_| Refusal::new(Kind::BadRequest, format!("X-Priority is {asked:?}"));
    let asked: u8 = asked.trim().parse().map_err(wrong)?;
    Ok(asked.min(contract.priority))
}
