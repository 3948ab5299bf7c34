//! Commands that print the state of hosts, models, engines and held requests.

use attohttpc::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::client::{ApiRequest, Client};
use super::table::TextTable;
use super::{Output, ToolError};
use crate::config::Name;
use crate::operators::status::{
    EngineStatus, HeldStatus, HostStatus, MemberStatus, ModelStatus, ReplicaStatus,
};
use crate::outside::escape::encode;

/// Runs `status`.
pub fn status(client: &Client, output: &mut Output<'_>) -> Result<(), ToolError> {
    let status: HostStatus = client.get("/v1/status")?.read()?;
    if output.json {
        return output.print_json(&status);
    }
    let mut table = TextTable::new(&["field", "value"]);
    table.add_row(&[&"host", &status.host]);
    table.add_row(&[&"firm", &status.firm]);
    table.add_row(&[&"domain", &status.domain]);
    table.add_row(&[&"program", &status.program]);
    table.add_row(&[&"config", &status.config]);
    table.add_row(&[&"state", &format_state(status.ready, status.leaving)]);
    table.add_row(&[&"streams", &status.streams]);
    table.add_row(&[&"waiting", &status.waiting]);
    table.add_row(&[&"pools", &status.pools.join(" ")]);
    table.add_row(&[&"uptime", &format!("{} s", status.uptime_s)]);
    output.print_line(&table.text())
}

/// Runs `hosts`.
pub fn hosts(client: &Client, output: &mut Output<'_>) -> Result<(), ToolError> {
    let head = [
        "host", "domain", "address", "config", "state", "streams", "silent",
    ];
    print_list(
        client,
        "/v1/hosts",
        &head,
        output,
        |m: &MemberStatus, table| {
            let state = format_state(m.ready, m.leaving);
            let silent = format!("{} ms", m.silent_ms);
            table.add_row(&[
                &m.host, &m.domain, &m.addr, &m.config, &state, &m.streams, &silent,
            ]);
        },
    )
}

/// Runs `models`.
pub fn models(client: &Client, prefix: &str, output: &mut Output<'_>) -> Result<(), ToolError> {
    let path = format!("/v1/models?prefix={}", encode(prefix));
    let head = [
        "model", "base", "pool", "team", "owner", "limit", "waiting", "replicas",
    ];
    print_list(client, &path, &head, output, |m: &ModelStatus, table| {
        let base = m.base.as_deref().unwrap_or("-");
        let replicas = format_replicas(&m.replicas);
        table.add_row(&[
            &m.model, &base, &m.pool, &m.team, &m.owner, &m.limit, &m.waiting, &replicas,
        ]);
    })
}

/// Runs `engines`.
pub fn engines(client: &Client, prefix: &str, output: &mut Output<'_>) -> Result<(), ToolError> {
    let path = format!("/v1/engines?prefix={}", encode(prefix));
    let head = [
        "engine", "pool", "domain", "memory", "used", "running", "waiting", "state", "models",
    ];
    print_list(client, &path, &head, output, |e: &EngineStatus, table| {
        let state = format_state(!e.instance.is_empty(), e.leaving);
        let models = e.models.join(" ");
        table.add_row(&[
            &e.engine, &e.pool, &e.domain, &e.memory, &e.used, &e.running, &e.waiting, &state,
            &models,
        ]);
    })
}

/// Runs `held`.
pub fn held(client: &Client, output: &mut Output<'_>) -> Result<(), ToolError> {
    let head = ["fingerprint", "model", "crashed engines"];
    print_list(
        client,
        "/v1/held",
        &head,
        output,
        |h: &HeldStatus, table| {
            table.add_row(&[&h.fingerprint, &h.model, &join_names(&h.instances)]);
        },
    )
}

/// Runs `release`.
pub fn release(
    client: &Client,
    fingerprint: &str,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let request = ApiRequest {
        method: Method::DELETE,
        ..ApiRequest::get(format!("/v1/held/{}", encode(fingerprint)))
    };
    let response = client.send(&request)?;
    if output.json {
        return output.print_json(&response.body);
    }
    output.print_line(&format!("released {fingerprint}"))
}

/// Prints a list as JSON or as a table with one row per element.
fn print_list<T: DeserializeOwned + Serialize>(
    client: &Client,
    path: &str,
    head: &[&str],
    output: &mut Output<'_>,
    row: impl Fn(&T, &mut TextTable),
) -> Result<(), ToolError> {
    let elements: Vec<T> = client.get(path)?.read()?;
    if output.json {
        return output.print_json(&elements);
    }
    let mut table = TextTable::new(head);
    for element in &elements {
        row(element, &mut table);
    }
    output.print_line(&table.text())
}

fn format_state(ready: bool, leaving: bool) -> &'static str {
    match (ready, leaving) {
        (_, true) => "leaving",
        (true, false) => "ready",
        (false, false) => "not ready",
    }
}

fn join_names(names: &[Name]) -> String {
    names.join(" ")
}

fn format_replicas(replicas: &[ReplicaStatus]) -> String {
    let shown: Vec<String> = replicas
        .iter()
        .map(|r| format!("{}:{}", r.engine, r.state))
        .collect();
    shown.join(" ")
}
