//! What a daemon spends: processor time, memory, bytes to other daemons.

use std::fs;

use mastichinge::fakes::site::OPERATOR_KEY;

use super::env::Env;

/// Ticks of processor time a second, as the kernel reports them.
const TICKS: f64 = 100.0;

/// What one daemon has spent.
#[derive(Clone, Copy, Debug, Default)]
pub struct DaemonUse {
    /// Host.
    pub host: usize,
    /// Processor time, seconds.
    pub busy: f64,
    /// Bytes sent to other daemons.
    pub bytes: f64,
}

/// What each running daemon has spent so far.
pub fn read(env: &Env) -> Vec<DaemonUse> {
    let mut all = Vec::new();
    for host in env.running() {
        let Some(process) = env.process_id(host) else {
            continue;
        };
        all.push(DaemonUse {
            host,
            busy: busy(process),
            bytes: sent(env, host),
        });
    }
    all
}

/// What each daemon spent between two looks at it.
pub fn since(before: &[DaemonUse], after: &[DaemonUse]) -> Vec<DaemonUse> {
    let mut spent = Vec::new();
    for now in after {
        let Some(then) = before.iter().find(|b| b.host == now.host) else {
            continue;
        };
        spent.push(DaemonUse {
            host: now.host,
            busy: now.busy - then.busy,
            bytes: now.bytes - then.bytes,
        });
    }
    spent
}

/// Processor time of a process, seconds.
pub fn busy(process: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let Some((_, rest)) = text.rsplit_once(") ") else {
        return 0.0;
    };
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS
}

/// Resident memory of a process, kB.
pub fn resident(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let mut lines = text.lines();
    let line = lines.find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Bytes that a daemon sent to other daemons.
fn sent(env: &Env, host: usize) -> f64 {
    let answer = attohttpc::get(env.operator_url(host, "/metrics"))
        .bearer_auth(OPERATOR_KEY)
        .send();
    let text = answer.and_then(|a| a.text()).unwrap_or_default();
    let mut sum = 0.0;
    for line in text.lines() {
        if line.starts_with('#') || !line.contains("peer_bytes") || !line.contains("\"sent\"") {
            continue;
        }
        let value = line.rsplit(' ').next();
        sum += value.and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
    }
    sum
}
