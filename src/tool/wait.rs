//! Waits for a configuration version and for drains.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Method;

use super::client::{ApiRequest, Client};
use super::{Output, ToolError};
use crate::cli::tool::DrainArgs;
use crate::operators::status::{HostStatus, MemberStatus};

/// Interval at which the hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until every host that is not leaving has `version`.
pub fn wait_for_version(
    client: &Client,
    version: u64,
    limit: Duration,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let start = Instant::now();
    let mut shown = None;
    loop {
        let members: Vec<MemberStatus> = client.get("/v1/hosts")?.read()?;
        let (mut updated, mut missing) = (0, Vec::new());
        for member in &members {
            if member.leaving {
                continue;
            }
            if member.config >= version {
                updated += 1;
            } else {
                missing.push(&*member.host);
            }
        }
        if shown != Some(updated) {
            let all = updated + missing.len();
            output.print_progress(&format!("version {version} is at {updated} of {all} hosts"))?;
            shown = Some(updated);
        }
        if missing.is_empty() {
            return Ok(());
        }
        if start.elapsed() >= limit {
            let what = format!("version {version} at {}", missing.join(", "));
            return Err(ToolError::TimedOut { what, limit });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Runs `drain`.
pub fn drain(client: &Client, drain: &DrainArgs, output: &mut Output<'_>) -> Result<(), ToolError> {
    let Ok(addr) = drain.addr.parse::<SocketAddr>() else {
        let cause = format!("host {} is not ip:port", drain.addr);
        return Err(ToolError::Profile(cause));
    };
    let client = client.for_host(addr);
    let request = ApiRequest {
        method: Method::POST,
        ..ApiRequest::get("/v1/drain")
    };
    let status: HostStatus = client.send(&request)?.read()?;
    if drain.wait {
        wait_for_exit(&client, &status, drain.limit, output)?;
    }
    if output.json {
        return output.print_json(&status);
    }
    let state = if drain.wait { "has ended" } else { "drains" };
    output.print_line(&format!("host {} {state}", status.host))
}

/// Waits until the host no longer accepts connections.
fn wait_for_exit(
    client: &Client,
    status: &HostStatus,
    limit: Duration,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let start = Instant::now();
    let mut shown = None;
    loop {
        let now: HostStatus = match client.get("/v1/status") {
            Ok(response) => response.read()?,
            Err(ToolError::Unreachable(_)) => return Ok(()),
            // The host may still be draining, or just stopping; poll it again.
            Err(err) if err.is_retryable() => status.clone(),
            Err(err) => return Err(err),
        };
        if shown != Some(now.streams) {
            output.print_progress(&format!("{} requests in progress", now.streams))?;
            shown = Some(now.streams);
        }
        if start.elapsed() >= limit {
            let what = format!("drain of {}", status.host);
            return Err(ToolError::TimedOut { what, limit });
        }
        thread::sleep(POLL_INTERVAL);
    }
}
