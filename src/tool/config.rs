//! Commands on the configuration.

use std::fs;
use std::io::Read;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Method;
use serde_json::{Value, json};

use super::client::{Answer, Ask, Client};
use super::table::Table;
use super::wait::everywhere;
use super::{Output, ToolError};
use crate::cli::tool::{Page, Patch};
use crate::config::entry::Entry;
use crate::config::jsonc;
use crate::config::patch::create_patch;
use crate::logs::stamp;

/// Pause before a patch without an answer is sent again.
const AGAIN: Duration = Duration::from_millis(500);
/// Pause between two looks at the version in force.
const WATCH: Duration = Duration::from_millis(500);
/// Longest part of a patch that a table shows, characters.
const PATCH_CHARS: usize = 60;

/// `config show`.
pub fn show(client: &Client, at: Option<u64>, output: &mut Output<'_>) -> Result<(), ToolError> {
    let answer = document(client, at)?;
    let version = answer.version;
    if output.json {
        return output.pretty(&json!({ "version": version, "config": answer.body }));
    }
    output.line(&format!("// version {}", version.unwrap_or_default()))?;
    output.pretty(&answer.body)
}

/// `config diff`.
pub fn diff(
    client: &Client,
    from: u64,
    until: Option<u64>,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let old = document(client, Some(from))?.body;
    let new = document(client, until)?.body;
    output.pretty(&create_patch(&old, &new))
}

fn document(client: &Client, version: Option<u64>) -> Result<Answer, ToolError> {
    match version {
        Some(version) => client.get(format!("/v1/config/versions/{version}")),
        None => client.get("/v1/config"),
    }
}

/// `config patch`.
pub fn patch(client: &Client, patch: &Patch, output: &mut Output<'_>) -> Result<(), ToolError> {
    let start = Instant::now();
    let attempt = match &patch.attempt {
        Some(attempt) => attempt.clone(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let ask = Ask {
        method: Method::PATCH,
        base: Some(patch.base),
        attempt: Some(attempt),
        body: Some(read(&patch.file)?),
        ..Ask::get("/v1/config")
    };
    let entry: Entry = settle(client, &ask, patch.limit, output)?.read()?;
    if patch.wait {
        let left = patch.limit.saturating_sub(start.elapsed());
        everywhere(client, entry.version, left, output)?;
    }
    if output.json {
        return output.pretty(&entry);
    }
    output.line(&format!("version {} is accepted", entry.version))
}

/// Sends a patch until a host says what became of it.
fn settle(
    client: &Client,
    ask: &Ask,
    limit: Duration,
    output: &mut Output<'_>,
) -> Result<Answer, ToolError> {
    let start = Instant::now();
    let mut uncertain = false;
    loop {
        let err = match client.send(ask) {
            Ok(answer) => return Ok(answer),
            Err(err) => err,
        };
        if !err.passes() {
            return Err(explained(err, output)?);
        }
        uncertain |= err.uncertain();
        if start.elapsed() + AGAIN >= limit {
            let attempt = ask.attempt.clone().unwrap_or_default();
            return Err(if uncertain {
                ToolError::Unknown { attempt }
            } else {
                err
            });
        }
        output.progress(&format!("sending again: {err}"))?;
        thread::sleep(AGAIN);
    }
}

/// Prints what a conflict or a refusal lists beside its one sentence.
fn explained(err: ToolError, output: &mut Output<'_>) -> Result<ToolError, ToolError> {
    let ToolError::Refused { problem, .. } = &err else {
        return Ok(err);
    };
    if !problem.changes.is_empty() {
        output.progress("changed since:")?;
        output.progress(&changes(&problem.changes).text())?;
    }
    Ok(err)
}

/// `config history`.
pub fn history(client: &Client, page: &Page, output: &mut Output<'_>) -> Result<(), ToolError> {
    let entries: Vec<Entry> = client.get(paged("/v1/config/history", page))?.read()?;
    if output.json {
        return output.pretty(&entries);
    }
    output.line(&changes(&entries).text())
}

/// `audit`.
pub fn audit(client: &Client, page: &Page, output: &mut Output<'_>) -> Result<(), ToolError> {
    let entries: Vec<Entry> = client.get(paged("/v1/audit", page))?.read()?;
    if output.json {
        return output.pretty(&entries);
    }
    let mut table = Table::new(&["version", "base", "time", "who", "attempt", "patch"]);
    for e in &entries {
        table.row(&[&e.version, &e.base, &time(e), &e.who, &e.attempt, &e.patch]);
    }
    output.line(&table.text())
}

/// `config watch`.
pub fn watch(
    client: &Client,
    count: Option<u64>,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let mut known = client.get("/v1/config")?.version.unwrap_or_default();
    output.progress(&format!("version {known} is in force"))?;
    let mut left = count;
    while left != Some(0) {
        let ask = Ask {
            known: Some(known),
            ..Ask::get("/v1/config")
        };
        let version = client.send(&ask)?.version.unwrap_or(known);
        if version <= known {
            thread::sleep(WATCH);
            continue;
        }
        let page = Page {
            from: Some(known + 1),
            count: Some(version - known),
        };
        let entries: Vec<Entry> = client.get(paged("/v1/config/history", &page))?.read()?;
        for entry in entries {
            if entry.version <= known || left == Some(0) {
                continue;
            }
            known = entry.version;
            left = left.map(|n| n - 1);
            if output.json {
                output.line(&json!(entry).to_string())?;
                continue;
            }
            output.line(&format!(
                "{} {} {} {}",
                entry.version,
                time(&entry),
                entry.who,
                entry.patch
            ))?;
        }
    }
    Ok(())
}

fn changes(entries: &[Entry]) -> Table {
    let mut table = Table::new(&["version", "time", "who", "patch"]);
    for entry in entries {
        let patch = entry.patch.to_string();
        let mut shown: String = patch.chars().take(PATCH_CHARS).collect();
        if shown.len() < patch.len() {
            shown.push('…');
        }
        table.row(&[&entry.version, &time(entry), &entry.who, &shown]);
    }
    table
}

fn time(entry: &Entry) -> String {
    stamp(Duration::from_secs(entry.unix))
}

fn paged(path: &str, page: &Page) -> String {
    let mut path = format!("{path}?");
    if let Some(from) = page.from {
        path.push_str(&format!("from={from}&"));
    }
    if let Some(count) = page.count {
        path.push_str(&format!("count={count}&"));
    }
    path.pop();
    path
}

fn read(path: &Path) -> Result<Value, ToolError> {
    let mut text = String::new();
    let outcome = if path == Path::new("-") {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        fs::read_to_string(path).map(|read| text = read)
    };
    outcome.map_err(|err| ToolError::input(path, err.to_string()))?;
    jsonc::parse(&text).map_err(|cause| ToolError::input(path, cause))
}
