//! Command `config check`.

use std::path::Path;

use serde_json::{Value, json};

use super::client::Client;
use super::config::{get_config, read_patch};
use super::table::TextTable;
use super::{Output, Profile, ToolError};
use crate::cli::tool::CheckArgs;
use crate::config::Config;
use crate::config::check::{Level, Report, check_patch, remove_hidden_keys};
use crate::config::field_error::format_errors;
use crate::config::patch::apply_patch;

/// Configuration that a patch is compared with.
struct Base {
    config: Config,
    /// Where it comes from; empty if there is none.
    source: String,
}

/// Runs `config check`.
pub fn run(profile: &Profile, args: &CheckArgs, output: &mut Output<'_>) -> Result<(), ToolError> {
    let patch = read_patch(&args.file)?;
    let base = match &args.against {
        Some(path) => read_base(path)?,
        None if profile.hosts.is_empty() => Base {
            config: Config::default(),
            source: String::new(),
        },
        None => get_base(&Client::new(profile))?,
    };
    let report = check_patch(&base.config, &patch);
    print_report(&report, &base.source, output)?;
    let (errors, warnings) = (report.count(Level::Error), report.count(Level::Warning));
    if errors > 0 || args.strict && warnings > 0 {
        let path = args.file.clone();
        return Err(ToolError::Findings {
            path,
            errors,
            warnings,
        });
    }
    Ok(())
}

/// Reads a configuration, as a document or as `config show` prints it.
fn read_base(path: &Path) -> Result<Base, ToolError> {
    let mut document = read_patch(path)?;
    if document.get("version").is_some()
        && let Some(config) = document.get_mut("config")
    {
        document = config.take();
    }
    let config = parse(document).map_err(|cause| ToolError::input(path, cause))?;
    let source = path.display().to_string();
    Ok(Base { config, source })
}

/// Gets the version in force from a host.
fn get_base(client: &Client) -> Result<Base, ToolError> {
    let response = get_config(client, None)?;
    let host = response.host;
    let config = parse(response.body);
    let config = config.map_err(|cause| ToolError::UnexpectedResponse { host, cause })?;
    let version = response.version.unwrap_or_default();
    let source = format!("version {version}");
    Ok(Base { config, source })
}

fn parse(mut document: Value) -> Result<Config, String> {
    remove_hidden_keys(&mut document);
    apply_patch(&Config::default(), &document).map_err(|errors| format_errors(&errors))
}

fn print_report(report: &Report, source: &str, output: &mut Output<'_>) -> Result<(), ToolError> {
    if output.json {
        let (findings, changes) = (&report.findings, &report.changes);
        return output.print_json(&json!({
            "against": source, "findings": findings, "changes": changes,
        }));
    }
    if report.findings.is_empty() {
        output.print_line("nothing found")?;
    } else {
        let mut table = TextTable::new(&["level", "kind", "path", "message"]);
        for f in &report.findings {
            table.add_row(&[&f.level, &f.kind, &f.path, &f.message]);
        }
        output.print_line(&table.text())?;
    }
    if source.is_empty() {
        return Ok(());
    }
    output.print_line(&format!("// changes of {source}"))?;
    output.print_json(&report.changes)
}
