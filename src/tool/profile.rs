//! Profile of the tool: host addresses and operator key.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::ToolError;
use crate::cli::tool::ToolArgs;
use crate::config::jsonc;

/// Addresses of operators' ports and the operator key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// Addresses in the order in which they are tried.
    pub hosts: Vec<SocketAddr>,
    /// Operator key.
    pub key: String,
}

/// Environment variables of the tool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// `MASTICHINGE_HOSTS`.
    pub hosts: Option<String>,
    /// `MASTICHINGE_KEY`.
    pub key: Option<String>,
    /// `MASTICHINGE_PROFILE`.
    pub profile: Option<PathBuf>,
}

impl Environment {
    /// Reads the variables from the environment of this process.
    pub fn read() -> Self {
        Environment {
            hosts: std::env::var("MASTICHINGE_HOSTS").ok(),
            key: std::env::var("MASTICHINGE_KEY").ok(),
            profile: std::env::var_os("MASTICHINGE_PROFILE").map(PathBuf::from),
        }
    }
}

impl Profile {
    /// Combines command line, environment and profile file; earlier ones take precedence.
    ///
    /// # Errors
    ///
    /// Fails if no host is named, too.
    pub fn resolve(args: &ToolArgs, environment: &Environment) -> Result<Self, ToolError> {
        let profile = Profile::read(args, environment)?;
        if profile.hosts.is_empty() {
            let hint = "no host is named; give --hosts, MASTICHINGE_HOSTS or a profile";
            return Err(ToolError::Profile(hint.to_owned()));
        }
        Ok(profile)
    }

    /// Does the same for a command that needs no host.
    pub fn read(args: &ToolArgs, environment: &Environment) -> Result<Self, ToolError> {
        let path = args.profile.as_ref().or(environment.profile.as_ref());
        let mut profile = match path {
            Some(path) => read_profile(path)?,
            None => Profile::default(),
        };
        let hosts = args.hosts.as_ref().or(environment.hosts.as_ref());
        if let Some(hosts) = hosts {
            profile.hosts = parse_addresses(hosts)?;
        }
        if let Some(key) = &environment.key {
            profile.key.clone_from(key);
        }
        Ok(profile)
    }
}

fn read_profile(path: &Path) -> Result<Profile, ToolError> {
    let unusable = |cause: String| ToolError::input(path, cause);
    let text = fs::read_to_string(path).map_err(|err| unusable(err.to_string()))?;
    let value = jsonc::parse(&text).map_err(unusable)?;
    serde_json::from_value(value).map_err(|err| unusable(err.to_string()))
}

fn parse_addresses(list: &str) -> Result<Vec<SocketAddr>, ToolError> {
    let mut hosts = Vec::new();
    for text in list.split(',') {
        let text = text.trim();
        let host = text
            .parse()
            .map_err(|_| ToolError::Profile(format!("host {text} is not ip:port")))?;
        hosts.push(host);
    }
    Ok(hosts)
}
