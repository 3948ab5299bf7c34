//! The daemons of this deployment, and who of them is alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;

/// Period of a daemon's packets to the others.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Silence after which a daemon is not taken as alive: four lost packets.
pub const ALIVE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time for which a daemon must be served by the store to count as such.
const STORE_STABLE_TIME: Duration = Duration::from_millis(800);
/// Silence after which a daemon no longer shares in limits: what it spent has
/// left every window by then.
const SHARE_TIMEOUT: Duration = Duration::from_secs(15);
/// Period of packets to daemons that are silent.
const SILENT_PEER_PERIOD: Duration = Duration::from_secs(2);

/// A daemon's row in the store, which other daemons find it by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Lifetime of the process, ms since the Unix epoch.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for datagrams.
    pub peers: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Lifetime that was heard of last.
    pub incarnation: u64,
    /// Number of the last packet of that lifetime.
    pub sequence: u64,
    /// Address for datagrams.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// When it was heard; absent when it only stands in the store.
    pub heard_at: Option<Moment>,
    /// When a packet went to it.
    pub sent_at: Option<Moment>,
    /// It takes callers.
    pub ready: bool,
    /// Since when it says that the store serves it.
    pub store_since: Option<Moment>,
    /// What it said of its leadership.
    pub leadership: Option<LeadershipStatus>,
}

/// What a daemon said of its leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeadershipStatus {
    /// Fencing number.
    pub fence: u64,
    /// Version of its row.
    pub row: u64,
    /// It offers the orders to others.
    pub offered: bool,
    /// The last order to keep away from was given before this moment.
    pub last_order: Moment,
    /// When the row was last renewed.
    pub renewed_at: Moment,
    /// Loads from the weight store, by service.
    pub loads: Vec<(Arc<str>, Moment)>,
}

impl Member {
    /// Whether it was heard within the last beats.
    pub fn is_alive(&self, now: Moment) -> bool {
        self.silence(now) < ALIVE_TIMEOUT
    }

    /// Whether the store serves it, and has for a while: a holder renews its
    /// row within that time when the store comes back for all.
    pub fn has_stable_store(&self, now: Moment) -> bool {
        self.store_since
            .is_some_and(|since| now.saturating_sub(since) >= STORE_STABLE_TIME)
    }

    /// How long it has been silent; for ever when it was never heard.
    pub fn silence(&self, now: Moment) -> Duration {
        self.heard_at
            .map_or(Duration::MAX, |heard| now.saturating_sub(heard))
    }
}

/// The other daemons by host.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Daemons by host.
    pub all: BTreeMap<Arc<str>, Member>,
}

impl Members {
    /// Takes in the rows of the store; daemons without a row that are silent
    /// are forgotten.
    pub fn update_records(&mut self, rows: Vec<(Arc<str>, MemberRecord)>, own: &str, now: Moment) {
        let mut listed = Vec::new();
        for (host, record) in rows {
            if &*host == own {
                continue;
            }
            listed.push(host.clone());
            let member = self.all.entry(host).or_insert_with(|| Member {
                incarnation: record.incarnation,
                sequence: 0,
                peers: record.peers,
                callers: record.callers,
                domain: record.domain.clone(),
                heard_at: None,
                sent_at: None,
                ready: false,
                store_since: None,
                leadership: None,
            });
            if record.incarnation >= member.incarnation {
                member.peers = record.peers;
                member.callers = record.callers;
            }
        }
        self.all
            .retain(|host, m| listed.contains(host) || m.silence(now) < SHARE_TIMEOUT);
    }

    /// Notes a packet; false when it is older than what is known.
    pub fn record_heartbeat(
        &mut self,
        host: &str,
        life: u64,
        number: u64,
        now: Moment,
    ) -> Option<&mut Member> {
        let member = self.all.get_mut(host)?;
        if (life, number) <= (member.incarnation, member.sequence) && member.heard_at.is_some() {
            return None;
        }
        if life < member.incarnation {
            return None;
        }
        member.incarnation = life;
        member.sequence = number;
        member.heard_at = Some(now);
        Some(member)
    }

    /// Daemons that a beat is due to; they are noted as sent to.
    pub fn take_due(&mut self, now: Moment) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for member in self.all.values_mut() {
            let silent = member.silence(now) > SHARE_TIMEOUT;
            let lately = member
                .sent_at
                .is_some_and(|at| now.saturating_sub(at) < SILENT_PEER_PERIOD);
            if silent && lately {
                continue;
            }
            member.sent_at = Some(now);
            due.push(member.peers);
        }
        due
    }

    /// Daemons that are alive.
    pub fn alive_members(&self, now: Moment) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        self.all.iter().filter(move |(_, m)| m.is_alive(now))
    }

    /// The daemon that holds the orders, as it says itself; of several, the
    /// one with the highest fencing number.
    pub fn leader(&self, now: Moment) -> Option<(&Arc<str>, &Member)> {
        let fence = |m: &Member| m.leadership.as_ref().map_or(0, |t| t.fence);
        let holding = self.alive_members(now).filter(|(_, m)| fence(m) > 0);
        holding.max_by_key(|(_, m)| fence(m))
    }

    /// What a host said last of its leadership `fence`.
    pub fn leadership_of(&self, host: &str, fence: u64) -> Option<(&Member, &LeadershipStatus)> {
        let member = self.all.get(host)?;
        let told = member.leadership.as_ref().filter(|t| t.fence == fence)?;
        Some((member, told))
    }

    /// Daemons that share in limits, this one included.
    pub fn share_count(&self, now: Moment) -> usize {
        let sharing = |m: &&Member| m.heard_at.is_none() || m.silence(now) < SHARE_TIMEOUT;
        1 + self.all.values().filter(sharing).count()
    }

    /// Place of this host among those that could take over the orders.
    pub fn succession_rank(&self, own: &str, now: Moment) -> u32 {
        let before =
            |(host, m): &(&Arc<str>, &Member)| &***host < own && m.ready && m.store_since.is_some();
        self.alive_members(now).filter(before).count() as u32
    }

    /// Addresses for callers of the daemons that take them, this one's first
    /// when it does.
    pub fn entry_addrs(&self, own: Option<SocketAddr>, now: Moment) -> Vec<SocketAddr> {
        let mut addrs: Vec<_> = own.into_iter().collect();
        for (_, member) in self.alive_members(now) {
            if member.ready {
                addrs.push(member.callers);
            }
        }
        addrs
    }
}
