//! Configuration commands.

use std::fs;
use std::io::Read;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Method;
use serde_json::{Value, json};

use super::client::{ApiRequest, ApiResponse, Client};
use super::table::TextTable;
use super::wait::wait_for_version;
use super::{Output, ToolError};
use crate::cli::tool::{PageArgs, PatchArgs};
use crate::config::entry::Entry;
use crate::config::jsonc;
use crate::config::patch::create_patch;
use crate::logs::format_timestamp;

/// Delay before a patch without a response is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the active version is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Most characters of a patch in a table.
const MAX_PATCH_CHARS: usize = 60;

/// Runs `config show`.
pub fn show(client: &Client, at: Option<u64>, output: &mut Output<'_>) -> Result<(), ToolError> {
    let response = get_config(client, at)?;
    let version = response.version;
    if output.json {
        return output.print_json(&json!({ "version": version, "config": response.body }));
    }
    output.print_line(&format!("// version {}", version.unwrap_or_default()))?;
    output.print_json(&response.body)
}

/// Runs `config diff`.
pub fn diff(
    client: &Client,
    from: u64,
    until: Option<u64>,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let old = get_config(client, Some(from))?.body;
    let new = get_config(client, until)?.body;
    output.print_json(&create_patch(&old, &new))
}

pub(super) fn get_config(client: &Client, version: Option<u64>) -> Result<ApiResponse, ToolError> {
    match version {
        Some(version) => client.get(format!("/v1/config/versions/{version}")),
        None => client.get("/v1/config"),
    }
}

/// Runs `config patch`.
pub fn patch(client: &Client, patch: &PatchArgs, output: &mut Output<'_>) -> Result<(), ToolError> {
    let start = Instant::now();
    let attempt = match &patch.attempt {
        Some(attempt) => attempt.clone(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let request = ApiRequest {
        method: Method::PATCH,
        base: Some(patch.base),
        attempt: Some(attempt),
        body: Some(read_patch(&patch.file)?),
        ..ApiRequest::get("/v1/config")
    };
    let entry: Entry = send_until_settled(client, &request, patch.limit, output)?.read()?;
    if patch.wait {
        let left = patch.limit.saturating_sub(start.elapsed());
        wait_for_version(client, entry.version, left, output)?;
    }
    if output.json {
        return output.print_json(&entry);
    }
    output.print_line(&format!("version {} is accepted", entry.version))
}

/// Sends a patch again until its outcome is known or the time limit passes.
fn send_until_settled(
    client: &Client,
    request: &ApiRequest,
    limit: Duration,
    output: &mut Output<'_>,
) -> Result<ApiResponse, ToolError> {
    let start = Instant::now();
    let mut uncertain = false;
    loop {
        let err = match client.send(request) {
            Ok(response) => return Ok(response),
            Err(err) => err,
        };
        if !err.is_retryable() {
            return Err(print_changes(err, output)?);
        }
        uncertain |= err.is_uncertain();
        if start.elapsed() + RETRY_INTERVAL >= limit {
            let attempt = request.attempt.clone().unwrap_or_default();
            return Err(if uncertain {
                ToolError::OutcomeUnknown { attempt }
            } else {
                err
            });
        }
        output.print_progress(&format!("sending again: {err}"))?;
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Prints the changes since the base version if a conflict lists them; returns `err`.
fn print_changes(err: ToolError, output: &mut Output<'_>) -> Result<ToolError, ToolError> {
    let ToolError::Refused { problem, .. } = &err else {
        return Ok(err);
    };
    if !problem.changes.is_empty() {
        output.print_progress("changed since:")?;
        output.print_progress(&changes_table(&problem.changes).text())?;
    }
    Ok(err)
}

/// Runs `config history`.
pub fn history(client: &Client, page: &PageArgs, output: &mut Output<'_>) -> Result<(), ToolError> {
    let entries: Vec<Entry> = client.get(page_path("/v1/config/history", page))?.read()?;
    if output.json {
        return output.print_json(&entries);
    }
    output.print_line(&changes_table(&entries).text())
}

/// Runs `audit`.
pub fn audit(client: &Client, page: &PageArgs, output: &mut Output<'_>) -> Result<(), ToolError> {
    let entries: Vec<Entry> = client.get(page_path("/v1/audit", page))?.read()?;
    if output.json {
        return output.print_json(&entries);
    }
    let mut table = TextTable::new(&["version", "base", "time", "who", "attempt", "patch"]);
    for e in &entries {
        table.add_row(&[
            &e.version,
            &e.base,
            &entry_time(e),
            &e.who,
            &e.attempt,
            &e.patch,
        ]);
    }
    output.print_line(&table.text())
}

/// Runs `config watch`.
pub fn watch(
    client: &Client,
    count: Option<u64>,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let mut known = client.get("/v1/config")?.version.unwrap_or_default();
    output.print_progress(&format!("version {known} is in force"))?;
    let mut left = count;
    while left != Some(0) {
        let request = ApiRequest {
            known_version: Some(known),
            ..ApiRequest::get("/v1/config")
        };
        let version = client.send(&request)?.version.unwrap_or(known);
        if version <= known {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let page = PageArgs {
            from: Some(known + 1),
            count: Some(version - known),
        };
        let entries: Vec<Entry> = client.get(page_path("/v1/config/history", &page))?.read()?;
        for entry in entries {
            if entry.version <= known || left == Some(0) {
                continue;
            }
            known = entry.version;
            left = left.map(|n| n - 1);
            if output.json {
                output.print_line(&json!(entry).to_string())?;
                continue;
            }
            output.print_line(&format!(
                "{} {} {} {}",
                entry.version,
                entry_time(&entry),
                entry.who,
                entry.patch
            ))?;
        }
    }
    Ok(())
}

fn changes_table(entries: &[Entry]) -> TextTable {
    let mut table = TextTable::new(&["version", "time", "who", "patch"]);
    for entry in entries {
        let patch = entry.patch.to_string();
        let mut shown: String = patch.chars().take(MAX_PATCH_CHARS).collect();
        if shown.len() < patch.len() {
            shown.push('…');
        }
        table.add_row(&[&entry.version, &entry_time(entry), &entry.who, &shown]);
    }
    table
}

fn entry_time(entry: &Entry) -> String {
    format_timestamp(Duration::from_secs(entry.unix))
}

fn page_path(path: &str, page: &PageArgs) -> String {
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

pub(super) fn read_patch(path: &Path) -> Result<Value, ToolError> {
    let mut text = String::new();
    let outcome = if path == Path::new("-") {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        fs::read_to_string(path).map(|read| text = read)
    };
    outcome.map_err(|err| ToolError::input(path, err.to_string()))?;
    jsonc::parse(&text).map_err(|cause| ToolError::input(path, cause))
}
