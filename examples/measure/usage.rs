//! Resources that a daemon uses: CPU time, memory and bytes sent to other daemons.

use std::fs;

use mastichinge::fakes::site::OPERATOR_KEY;

use super::env::Env;

/// Kernel clock ticks per second, the unit of CPU time in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Resources that one daemon has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct DaemonUsage {
    /// Host.
    pub host: usize,
    /// CPU time, seconds.
    pub cpu_time: f64,
    /// Bytes sent to other daemons.
    pub sent_bytes: f64,
}

/// Returns what each running daemon has used so far.
pub fn read_all(env: &Env) -> Vec<DaemonUsage> {
    let mut all = Vec::new();
    for host in env.running() {
        let Some(process) = env.process_id(host) else {
            continue;
        };
        all.push(DaemonUsage {
            host,
            cpu_time: cpu_time_s(process),
            sent_bytes: peer_bytes_sent(env, host),
        });
    }
    all
}

/// Returns what each daemon used between two readings.
pub fn difference(before: &[DaemonUsage], after: &[DaemonUsage]) -> Vec<DaemonUsage> {
    let mut usage = Vec::new();
    for now in after {
        let Some(then) = before.iter().find(|b| b.host == now.host) else {
            continue;
        };
        usage.push(DaemonUsage {
            host: now.host,
            cpu_time: now.cpu_time - then.cpu_time,
            sent_bytes: now.sent_bytes - then.sent_bytes,
        });
    }
    usage
}

/// Returns the CPU time of a process, seconds.
pub fn cpu_time_s(process: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let Some((_, rest)) = text.rsplit_once(") ") else {
        return 0.0;
    };
    let fields: Vec<&str> = rest.split(' ').collect();
    // Fields 14 and 15 of the line: user and system time.
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Returns the resident memory of a process, kB.
pub fn resident_kb(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let mut lines = text.lines();
    let line = lines.find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the bytes that a daemon has sent to other daemons.
fn peer_bytes_sent(env: &Env, host: usize) -> f64 {
    let response = attohttpc::get(env.operator_url(host, "/metrics"))
        .bearer_auth(OPERATOR_KEY)
        .send();
    let text = response.and_then(|a| a.text()).unwrap_or_default();
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
