//! The daemons of this deployment, and who of them is alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Moment;

/// Period of a daemon's packets to the others.
pub const BEAT: Duration = Duration::from_millis(250);
/// Silence after which a daemon is not taken as alive: four lost packets.
pub const SILENCE: Duration = Duration::from_millis(1_100);
/// Time for which a daemon must be served by the store to count as such.
const SERVED: Duration = Duration::from_millis(800);
/// Silence after which a daemon no longer shares in limits: what it spent has
/// left every window by then.
const SHARING: Duration = Duration::from_secs(15);
/// Period of packets to daemons that are silent.
const DEAD_BEAT: Duration = Duration::from_secs(2);

/// A daemon's row in the store, which other daemons find it by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Lifetime of the process, ms since the Unix epoch.
    pub life: u64,
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
    pub life: u64,
    /// Number of the last packet of that lifetime.
    pub number: u64,
    /// Address for datagrams.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// When it was heard; absent when it only stands in the store.
    pub heard: Option<Moment>,
    /// When a packet went to it.
    pub sent: Option<Moment>,
    /// It takes callers.
    pub ready: bool,
    /// Since when it says that the store serves it.
    pub store: Option<Moment>,
    /// What it said of its leadership.
    pub leadership: Option<Told>,
}

/// What a daemon said of its leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Fencing number.
    pub fence: u64,
    /// Version of its row.
    pub row: u64,
    /// It offers the orders to others.
    pub offered: bool,
    /// The last order to keep away from was given before this moment.
    pub ordered: Moment,
    /// When the row was last renewed.
    pub renewed: Moment,
    /// Loads from the weight store, by service.
    pub loads: Vec<(Arc<str>, Moment)>,
}

impl Member {
    /// Whether it was heard within the last beats.
    pub fn alive(&self, now: Moment) -> bool {
        self.silent_for(now) < SILENCE
    }

    /// Whether the store serves it, and has for a while: a holder renews its
    /// row within that time when the store comes back for all.
    pub fn served(&self, now: Moment) -> bool {
        self.store
            .is_some_and(|since| now.saturating_sub(since) >= SERVED)
    }

    /// How long it has been silent; for ever when it was never heard.
    pub fn silent_for(&self, now: Moment) -> Duration {
        self.heard
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
    pub fn read(&mut self, rows: Vec<(Arc<str>, Record)>, own: &str, now: Moment) {
        let mut listed = Vec::new();
        for (host, record) in rows {
            if &*host == own {
                continue;
            }
            listed.push(host.clone());
            let member = self.all.entry(host).or_insert_with(|| Member {
                life: record.life,
                number: 0,
                peers: record.peers,
                callers: record.callers,
                domain: record.domain.clone(),
                heard: None,
                sent: None,
                ready: false,
                store: None,
                leadership: None,
            });
            if record.life >= member.life {
                member.peers = record.peers;
                member.callers = record.callers;
            }
        }
        self.all
            .retain(|host, m| listed.contains(host) || m.silent_for(now) < SHARING);
    }

    /// Notes a packet; false when it is older than what is known.
    pub fn hear(&mut self, host: &str, life: u64, number: u64, now: Moment) -> Option<&mut Member> {
        let member = self.all.get_mut(host)?;
        if (life, number) <= (member.life, member.number) && member.heard.is_some() {
            return None;
        }
        if life < member.life {
            return None;
        }
        member.life = life;
        member.number = number;
        member.heard = Some(now);
        Some(member)
    }

    /// Daemons that a beat is due to; they are noted as sent to.
    pub fn due(&mut self, now: Moment) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for member in self.all.values_mut() {
            let silent = member.silent_for(now) > SHARING;
            let lately = member
                .sent
                .is_some_and(|at| now.saturating_sub(at) < DEAD_BEAT);
            if silent && lately {
                continue;
            }
            member.sent = Some(now);
            due.push(member.peers);
        }
        due
    }

    /// Daemons that are alive.
    pub fn alive(&self, now: Moment) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        self.all.iter().filter(move |(_, m)| m.alive(now))
    }

    /// The daemon that holds the orders, as it says itself; of several, the
    /// one with the highest fencing number.
    pub fn leader(&self, now: Moment) -> Option<(&Arc<str>, &Member)> {
        let fence = |m: &Member| m.leadership.as_ref().map_or(0, |t| t.fence);
        let holding = self.alive(now).filter(|(_, m)| fence(m) > 0);
        holding.max_by_key(|(_, m)| fence(m))
    }

    /// What a host said last of its leadership `fence`.
    pub fn told(&self, host: &str, fence: u64) -> Option<(&Member, &Told)> {
        let member = self.all.get(host)?;
        let told = member.leadership.as_ref().filter(|t| t.fence == fence)?;
        Some((member, told))
    }

    /// Daemons that share in limits, this one included.
    pub fn sharing(&self, now: Moment) -> usize {
        let sharing = |m: &&Member| m.heard.is_none() || m.silent_for(now) < SHARING;
        1 + self.all.values().filter(sharing).count()
    }

    /// Place of this host among those that could take over the orders.
    pub fn rank(&self, own: &str, now: Moment) -> u32 {
        let before =
            |(host, m): &(&Arc<str>, &Member)| &***host < own && m.ready && m.store.is_some();
        self.alive(now).filter(before).count() as u32
    }

    /// Addresses for callers of the daemons that take them, this one's first
    /// when it does.
    pub fn entries(&self, own: Option<SocketAddr>, now: Moment) -> Vec<SocketAddr> {
        let mut addrs: Vec<_> = own.into_iter().collect();
        for (_, member) in self.alive(now) {
            if member.ready {
                addrs.push(member.callers);
            }
        }
        addrs
    }
}
