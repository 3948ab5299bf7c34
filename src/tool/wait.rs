//! Waits for what takes long, with progress.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Method;

use super::client::{Ask, Client};
use super::{Output, ToolError};
use crate::cli::tool::Drain;
use crate::operators::status::{HostStatus, MemberStatus};

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(200);

/// Waits until every host that is not leaving has `version`.
pub fn everywhere(
    client: &Client,
    version: u64,
    limit: Duration,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let start = Instant::now();
    let mut shown = None;
    loop {
        let members: Vec<MemberStatus> = client.get("/v1/hosts")?.read()?;
        let (mut there, mut missing) = (0, Vec::new());
        for member in &members {
            if member.leaving {
                continue;
            }
            if member.config >= version {
                there += 1;
            } else {
                missing.push(&*member.host);
            }
        }
        if shown != Some(there) {
            let all = there + missing.len();
            output.progress(&format!("version {version} is at {there} of {all} hosts"))?;
            shown = Some(there);
        }
        if missing.is_empty() {
            return Ok(());
        }
        if start.elapsed() >= limit {
            let what = format!("version {version} at {}", missing.join(", "));
            return Err(ToolError::Late { what, limit });
        }
        thread::sleep(LOOK);
    }
}

/// `drain`.
pub fn drain(client: &Client, drain: &Drain, output: &mut Output<'_>) -> Result<(), ToolError> {
    let Ok(addr) = drain.addr.parse::<SocketAddr>() else {
        let cause = format!("host {} is not ip:port", drain.addr);
        return Err(ToolError::Profile(cause));
    };
    let client = client.only(addr);
    let ask = Ask {
        method: Method::POST,
        ..Ask::get("/v1/drain")
    };
    let status: HostStatus = client.send(&ask)?.read()?;
    if drain.wait {
        ended(&client, &status, drain.limit, output)?;
    }
    if output.json {
        return output.pretty(&status);
    }
    let state = if drain.wait { "has ended" } else { "drains" };
    output.line(&format!("host {} {state}", status.host))
}

/// Waits until the host no longer accepts connections.
fn ended(
    client: &Client,
    status: &HostStatus,
    limit: Duration,
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let start = Instant::now();
    let mut shown = None;
    loop {
        let now: HostStatus = match client.get("/v1/status") {
            Ok(answer) => answer.read()?,
            Err(ToolError::Unreached(_)) => return Ok(()),
            Err(ToolError::Broken(_)) => status.clone(),
            Err(err) => return Err(err),
        };
        if shown != Some(now.streams) {
            output.progress(&format!("{} requests in progress", now.streams))?;
            shown = Some(now.streams);
        }
        if start.elapsed() >= limit {
            let what = format!("drain of {}", status.host);
            return Err(ToolError::Late { what, limit });
        }
        thread::sleep(LOOK);
    }
}
