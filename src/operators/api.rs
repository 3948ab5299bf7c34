//! Routes of the operators' API.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Value, json};

use super::backend::ApiBackend;
use super::keys::{Grant, find_operator};
use super::refusals::{ledger_problem, proposal_problem, redact_entries};
use super::response::{ApiResponse, Problem};
use crate::clock::Clock;
use crate::config::entry::Proposal;
use crate::config::ledger::ConfigLedger;
use crate::config::patch::redact_config;
use crate::config::state::ActiveConfig;
use crate::config::{Name, Role};
use crate::error::{Kind, Refusal};

/// Entries on a page of the history when the request gives no count.
const DEFAULT_PAGE_ENTRIES: u64 = 20;
/// Most entries on a page of the history.
const MAX_PAGE_ENTRIES: u64 = 200;
/// Longest attempt id, bytes.
const MAX_ATTEMPT_BYTES: usize = 128;

/// An operator's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorRequest {
    /// Id of the request.
    pub id: Name,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query.
    pub query: BTreeMap<String, String>,
    /// Bearer key of the `Authorization` header.
    pub key: Option<String>,
    /// `If-Match` header.
    pub if_match: Option<String>,
    /// `If-None-Match` header.
    pub if_none_match: Option<String>,
    /// `Idempotency-Key` header.
    pub attempt: Option<String>,
    /// Body; empty if the path takes none.
    pub body: Vec<u8>,
}

/// The operators' API of one daemon.
#[derive(Debug)]
pub struct OperatorApi<B> {
    /// Daemon that answers the requests.
    pub backend: Arc<B>,
    /// SHA-256 of the key of the operator `admin`, hex; empty for none.
    pub admin_hash: Name,
}

/// A path of the API with its parameters.
enum Route<'a> {
    Health,
    Ready,
    Metrics,
    Config,
    History,
    Version(&'a str),
    Audit,
    Status,
    Hosts,
    Models,
    Engines,
    Held,
    Release(&'a str),
    Drain,
}

impl<'a> Route<'a> {
    fn parse(path: &'a str) -> Option<Route<'a>> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let route = match parts[..] {
            ["healthz"] => Route::Health,
            ["readyz"] => Route::Ready,
            ["metrics"] => Route::Metrics,
            ["v1", "config"] => Route::Config,
            ["v1", "config", "history"] => Route::History,
            ["v1", "config", "versions", version] => Route::Version(version),
            ["v1", "audit"] => Route::Audit,
            ["v1", "status"] => Route::Status,
            ["v1", "hosts"] => Route::Hosts,
            ["v1", "models"] => Route::Models,
            ["v1", "engines"] => Route::Engines,
            ["v1", "held"] => Route::Held,
            ["v1", "held", fingerprint] => Route::Release(fingerprint),
            ["v1", "drain"] => Route::Drain,
            _ => return None,
        };
        Some(route)
    }

    fn methods(&self) -> &'static [&'static str] {
        match self {
            Route::Config => &["GET", "PATCH"],
            Route::Release(_) => &["DELETE"],
            Route::Drain => &["POST"],
            _ => &["GET"],
        }
    }
}

impl<B: ApiBackend> OperatorApi<B> {
    /// Checks path, method and key before the body is read.
    pub fn check_access(&self, request: &OperatorRequest) -> Result<(), Problem> {
        let route = Route::parse(&request.path).ok_or_else(|| not_found(&request.path))?;
        if !route.methods().contains(&request.method.as_str()) {
            let detail = format!("{} takes {}", request.path, route.methods().join(" or "));
            return Err(Refusal::new(Kind::BadMethod, detail).into());
        }
        match route {
            Route::Health | Route::Ready => Ok(()),
            _ => self.authenticate(request).map(|_| ()),
        }
    }

    /// Handles a request after its body has been read.
    pub fn handle(&self, request: &OperatorRequest) -> Result<ApiResponse, Problem> {
        self.check_access(request)?;
        let route = Route::parse(&request.path).ok_or_else(|| not_found(&request.path))?;
        match route {
            Route::Health => return Ok(ApiResponse::json(200, &json!({ "status": "ok" }))),
            Route::Ready => return self.readiness(),
            _ => {}
        }
        let grant = self.authenticate(request)?;
        match route {
            Route::Config if request.method == "PATCH" => {
                return self.change_config(request, &grant);
            }
            Route::Drain => return self.drain(&grant),
            Route::Release(fingerprint) => return self.release_held(fingerprint, &grant),
            _ => grant.require(Role::Read)?,
        }
        self.handle_read(&route, request)
    }

    fn handle_read(
        &self,
        route: &Route<'_>,
        request: &OperatorRequest,
    ) -> Result<ApiResponse, Problem> {
        let prefix = request.query.get("prefix").map_or("", String::as_str);
        let body = match route {
            Route::Config => return Ok(self.current_config(request)),
            Route::Version(version) => return self.config_version(version),
            Route::History | Route::Audit => return self.list_entries(request),
            Route::Metrics => return Ok(ApiResponse::metrics(self.backend.metrics())),
            Route::Status => json!(self.backend.status()),
            Route::Hosts => json!(self.backend.hosts()),
            Route::Models => json!(self.backend.models(prefix)),
            Route::Engines => json!(self.backend.engines(prefix)),
            Route::Held => json!(self.backend.held_requests()),
            _ => return Err(not_found(&request.path)),
        };
        Ok(ApiResponse::json(200, &body))
    }

    fn readiness(&self) -> Result<ApiResponse, Problem> {
        self.backend.check_ready()?;
        Ok(ApiResponse::json(200, &json!({ "status": "ready" })))
    }

    fn current_config(&self, request: &OperatorRequest) -> ApiResponse {
        let current = self.backend.active_config();
        if request.if_none_match.as_deref().and_then(etag_version) == Some(current.version) {
            return ApiResponse::json(304, &()).with_version(current.version);
        }
        config_response(&current)
    }

    fn config_version(&self, version: &str) -> Result<ApiResponse, Problem> {
        let Ok(version) = version.parse() else {
            return Err(bad_request(format!("version {version} is not a number")));
        };
        let current = self.backend.active_config();
        if version == current.version {
            return Ok(config_response(&current));
        }
        let at = self
            .ledger()
            .load_version(version)
            .map_err(|err| ledger_problem(&err))?;
        Ok(config_response(&at))
    }

    fn list_entries(&self, request: &OperatorRequest) -> Result<ApiResponse, Problem> {
        let count = query_number(request, "count")?
            .unwrap_or(DEFAULT_PAGE_ENTRIES)
            .clamp(1, MAX_PAGE_ENTRIES);
        let from = match query_number(request, "from")? {
            Some(from) => from.max(1),
            None => (self.backend.active_config().version + 1)
                .saturating_sub(count)
                .max(1),
        };
        let until = from.saturating_add(count - 1);
        let entries = self.ledger().entries_between(from, until);
        let entries = entries.map_err(|err| ledger_problem(&err))?;
        Ok(ApiResponse::json(200, &redact_entries(entries)))
    }

    fn change_config(
        &self,
        request: &OperatorRequest,
        grant: &Grant,
    ) -> Result<ApiResponse, Problem> {
        grant.require(Role::Change)?;
        let proposal = parse_proposal(request, grant)?;
        let entry = self.backend.propose(&proposal).map_err(proposal_problem)?;
        let (id, who, version) = (&*request.id, &*grant.who, entry.version);
        log::info!(request = id, who = who, version = version; "configuration changed");
        let mut entries = redact_entries(vec![entry]);
        Ok(ApiResponse::json(200, &entries.pop()).with_version(version))
    }

    fn drain(&self, grant: &Grant) -> Result<ApiResponse, Problem> {
        grant.require(Role::Drain)?;
        log::warn!(who = &*grant.who; "operator requested a drain");
        self.backend.drain();
        Ok(ApiResponse::json(202, &self.backend.status()))
    }

    fn release_held(&self, fingerprint: &str, grant: &Grant) -> Result<ApiResponse, Problem> {
        grant.require(Role::Change)?;
        log::warn!(who = &*grant.who; "operator requested a release of request {fingerprint}");
        if !self.backend.release_held(fingerprint)? {
            return Err(not_found(fingerprint));
        }
        Ok(ApiResponse::json(200, &json!({ "released": fingerprint })))
    }

    fn authenticate(&self, request: &OperatorRequest) -> Result<Grant, Problem> {
        let unknown = || Refusal::new(Kind::BadKey, "the operator key is missing or unknown");
        let key = request.key.as_deref().ok_or_else(unknown)?;
        let current = self.backend.active_config();
        let grant = find_operator(&current.config, &self.admin_hash, key);
        Ok(grant.ok_or_else(unknown)?)
    }

    fn ledger(&self) -> ConfigLedger<'_, B::Table, B::Objects> {
        ConfigLedger::new(self.backend.table(), self.backend.objects())
    }
}

fn parse_proposal(request: &OperatorRequest, grant: &Grant) -> Result<Proposal, Problem> {
    let Some(if_match) = &request.if_match else {
        let detail = "If-Match must name the version that the patch was written for";
        return Err(Refusal::new(Kind::VersionRequired, detail).into());
    };
    let Some(base) = etag_version(if_match) else {
        return Err(bad_request(format!("If-Match {if_match} names no version")));
    };
    let attempt = match &request.attempt {
        Some(attempt) if attempt.is_empty() || attempt.len() > MAX_ATTEMPT_BYTES => {
            let detail = format!("Idempotency-Key must have 1 to {MAX_ATTEMPT_BYTES} bytes");
            return Err(bad_request(detail));
        }
        Some(attempt) => attempt.as_str().into(),
        None => request.id.clone(),
    };
    let patch: Value = serde_json::from_slice(&request.body)
        .map_err(|err| bad_request(format!("the patch is not JSON: {err}")))?;
    Ok(Proposal {
        base,
        patch,
        who: grant.who.clone(),
        teams: grant.teams.clone(),
        attempt,
        unix: Clock::unix_seconds(),
    })
}

fn config_response(current: &ActiveConfig) -> ApiResponse {
    ApiResponse::json(200, &redact_config(&current.config)).with_version(current.version)
}

/// Returns the version in an entity tag: `"7"`, `W/"7"` or `7`.
fn etag_version(header: &str) -> Option<u64> {
    let tag = header.trim().trim_start_matches("W/");
    tag.trim_matches('"').parse().ok()
}

fn query_number(request: &OperatorRequest, name: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = request.query.get(name) else {
        return Ok(None);
    };
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_| bad_request(format!("{name}={text} is not a number")))
}

fn bad_request(detail: String) -> Problem {
    Refusal::new(Kind::BadRequest, detail).into()
}

fn not_found(path: &str) -> Problem {
    Refusal::new(Kind::NotFound, format!("there is nothing at {path}")).into()
}
