//! The paths of the operators' API.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Value, json};

use super::host::Host;
use super::keys::{Grant, find};
use super::refusals::{shown, unaccepted, unread};
use super::reply::{Problem, Reply};
use crate::clock::Clock;
use crate::config::entry::Proposal;
use crate::config::ledger::ConfigLedger;
use crate::config::patch::redact_config;
use crate::config::state::ActiveConfig;
use crate::config::{Name, Role};
use crate::error::{Kind, Refusal};

/// Changes that one page of the history shows when none are asked for.
const PAGE: u64 = 20;
/// Most changes in one page of the history.
const MOST_PAGE: u64 = 200;
/// Longest attempt id, bytes.
const MOST_ATTEMPT: usize = 128;

/// A request of an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Id of the request.
    pub id: Name,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query.
    pub query: BTreeMap<String, String>,
    /// Key of the `Authorization` header.
    pub key: Option<String>,
    /// `If-Match` header.
    pub matches: Option<String>,
    /// `If-None-Match` header.
    pub differs: Option<String>,
    /// `Idempotency-Key` header.
    pub attempt: Option<String>,
    /// Body; empty where the path takes none.
    pub body: Vec<u8>,
}

/// The operators' API of one daemon.
#[derive(Debug)]
pub struct Api<H> {
    /// Daemon.
    pub host: Arc<H>,
    /// SHA-256 of the key of the operator `admin`, hex; empty for none.
    pub admin: Name,
}

/// Whether a path exists, and under which methods.
enum Path<'a> {
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

impl<'a> Path<'a> {
    fn parse(path: &'a str) -> Option<Path<'a>> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let path = match parts[..] {
            ["healthz"] => Path::Health,
            ["readyz"] => Path::Ready,
            ["metrics"] => Path::Metrics,
            ["v1", "config"] => Path::Config,
            ["v1", "config", "history"] => Path::History,
            ["v1", "config", "versions", version] => Path::Version(version),
            ["v1", "audit"] => Path::Audit,
            ["v1", "status"] => Path::Status,
            ["v1", "hosts"] => Path::Hosts,
            ["v1", "models"] => Path::Models,
            ["v1", "engines"] => Path::Engines,
            ["v1", "held"] => Path::Held,
            ["v1", "held", fingerprint] => Path::Release(fingerprint),
            ["v1", "drain"] => Path::Drain,
            _ => return None,
        };
        Some(path)
    }

    fn methods(&self) -> &'static [&'static str] {
        match self {
            Path::Config => &["GET", "PATCH"],
            Path::Release(_) => &["DELETE"],
            Path::Drain => &["POST"],
            _ => &["GET"],
        }
    }
}

impl<H: Host> Api<H> {
    /// Refuses a request whose body need not be read.
    pub fn admit(&self, ask: &Ask) -> Result<(), Problem> {
        let path = Path::parse(&ask.path).ok_or_else(|| missing(&ask.path))?;
        if !path.methods().contains(&ask.method.as_str()) {
            let detail = format!("{} takes {}", ask.path, path.methods().join(" or "));
            return Err(Refusal::new(Kind::BadMethod, detail).into());
        }
        match path {
            Path::Health | Path::Ready => Ok(()),
            _ => self.grant(ask).map(|_| ()),
        }
    }

    /// Answers a request whose body has been read.
    pub fn answer(&self, ask: &Ask) -> Result<Reply, Problem> {
        self.admit(ask)?;
        let path = Path::parse(&ask.path).ok_or_else(|| missing(&ask.path))?;
        match path {
            Path::Health => return Ok(Reply::json(200, &json!({ "status": "ok" }))),
            Path::Ready => return self.ready(),
            _ => {}
        }
        let grant = self.grant(ask)?;
        match path {
            Path::Config if ask.method == "PATCH" => return self.change(ask, &grant),
            Path::Drain => return self.drain(&grant),
            Path::Release(fingerprint) => return self.release(fingerprint, &grant),
            _ => grant.require(Role::Read)?,
        }
        self.read(&path, ask)
    }

    fn read(&self, path: &Path<'_>, ask: &Ask) -> Result<Reply, Problem> {
        let prefix = ask.query.get("prefix").map_or("", String::as_str);
        let body = match path {
            Path::Config => return Ok(self.config(ask)),
            Path::Version(version) => return self.version(version),
            Path::History | Path::Audit => return self.history(ask),
            Path::Metrics => return Ok(Reply::metrics(self.host.metrics())),
            Path::Status => json!(self.host.status()),
            Path::Hosts => json!(self.host.hosts()),
            Path::Models => json!(self.host.models(prefix)),
            Path::Engines => json!(self.host.engines(prefix)),
            Path::Held => json!(self.host.held()),
            _ => return Err(missing(&ask.path)),
        };
        Ok(Reply::json(200, &body))
    }

    fn ready(&self) -> Result<Reply, Problem> {
        self.host.ready()?;
        Ok(Reply::json(200, &json!({ "status": "ready" })))
    }

    fn config(&self, ask: &Ask) -> Reply {
        let current = self.host.current();
        if ask.differs.as_deref().and_then(tag) == Some(current.version) {
            return Reply::json(304, &()).at(current.version);
        }
        document(&current)
    }

    fn version(&self, version: &str) -> Result<Reply, Problem> {
        let Ok(version) = version.parse() else {
            return Err(wrong(format!("version {version} is not a number")));
        };
        let current = self.host.current();
        if version == current.version {
            return Ok(document(&current));
        }
        let at = self
            .ledger()
            .load_version(version)
            .map_err(|err| unread(&err))?;
        Ok(document(&at))
    }

    fn history(&self, ask: &Ask) -> Result<Reply, Problem> {
        let count = number(ask, "count")?.unwrap_or(PAGE).clamp(1, MOST_PAGE);
        let from = match number(ask, "from")? {
            Some(from) => from.max(1),
            None => (self.host.current().version + 1)
                .saturating_sub(count)
                .max(1),
        };
        let until = from.saturating_add(count - 1);
        let entries = self.ledger().entries_between(from, until);
        let entries = entries.map_err(|err| unread(&err))?;
        Ok(Reply::json(200, &shown(entries)))
    }

    fn change(&self, ask: &Ask, grant: &Grant) -> Result<Reply, Problem> {
        grant.require(Role::Change)?;
        let proposal = proposal(ask, grant)?;
        let entry = self.host.propose(&proposal).map_err(unaccepted)?;
        let (id, who, version) = (&*ask.id, &*grant.who, entry.version);
        log::info!(request = id, who = who, version = version; "configuration changed");
        let mut entries = shown(vec![entry]);
        Ok(Reply::json(200, &entries.pop()).at(version))
    }

    fn drain(&self, grant: &Grant) -> Result<Reply, Problem> {
        grant.require(Role::Drain)?;
        log::warn!(who = &*grant.who; "drain asked for by an operator");
        self.host.drain();
        Ok(Reply::json(202, &self.host.status()))
    }

    fn release(&self, fingerprint: &str, grant: &Grant) -> Result<Reply, Problem> {
        grant.require(Role::Change)?;
        log::warn!(who = &*grant.who; "release of held request {fingerprint} asked for");
        if !self.host.release(fingerprint)? {
            return Err(missing(fingerprint));
        }
        Ok(Reply::json(200, &json!({ "released": fingerprint })))
    }

    fn grant(&self, ask: &Ask) -> Result<Grant, Problem> {
        let unknown = || Refusal::new(Kind::BadKey, "the operator key is missing or unknown");
        let key = ask.key.as_deref().ok_or_else(unknown)?;
        let current = self.host.current();
        let grant = find(&current.config, &self.admin, key);
        Ok(grant.ok_or_else(unknown)?)
    }

    fn ledger(&self) -> ConfigLedger<'_, H::Table, H::Objects> {
        ConfigLedger::new(self.host.table(), self.host.objects())
    }
}

fn proposal(ask: &Ask, grant: &Grant) -> Result<Proposal, Problem> {
    let Some(matches) = &ask.matches else {
        let detail = "If-Match must name the version that the patch was written for";
        return Err(Refusal::new(Kind::VersionRequired, detail).into());
    };
    let Some(base) = tag(matches) else {
        return Err(wrong(format!("If-Match {matches} names no version")));
    };
    let attempt = match &ask.attempt {
        Some(attempt) if attempt.is_empty() || attempt.len() > MOST_ATTEMPT => {
            let detail = format!("Idempotency-Key must have 1 to {MOST_ATTEMPT} bytes");
            return Err(wrong(detail));
        }
        Some(attempt) => attempt.as_str().into(),
        None => ask.id.clone(),
    };
    let patch: Value = serde_json::from_slice(&ask.body)
        .map_err(|err| wrong(format!("the patch is not JSON: {err}")))?;
    Ok(Proposal {
        base,
        patch,
        who: grant.who.clone(),
        teams: grant.teams.clone(),
        attempt,
        unix: Clock::unix(),
    })
}

fn document(current: &ActiveConfig) -> Reply {
    Reply::json(200, &redact_config(&current.config)).at(current.version)
}

/// The version in an entity tag: `"7"`, `W/"7"` or `7`.
fn tag(header: &str) -> Option<u64> {
    let tag = header.trim().trim_start_matches("W/");
    tag.trim_matches('"').parse().ok()
}

fn number(ask: &Ask, name: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = ask.query.get(name) else {
        return Ok(None);
    };
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_| wrong(format!("{name}={text} is not a number")))
}

fn wrong(detail: String) -> Problem {
    Refusal::new(Kind::BadRequest, detail).into()
}

fn missing(path: &str) -> Problem {
    Refusal::new(Kind::NotFound, format!("there is nothing at {path}")).into()
}
