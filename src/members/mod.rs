//! Membership of daemons.
use crate::clock::Moment;
use crate::config::Name;
use crate::control::EntryHost;
use crate::peer::wire::Heartbeat;
use crate::platform::{HostState, Hosts};
use crate::protocol::ownership::Owner;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::time::Duration;

const SILENCE: Duration = Duration::from_millis(2_500);

#[derive(Clone, Debug, Default)]
struct Member {
    incarnation: u64,
    heard: Moment,
    linked: bool,
    beat: Option<Heartbeat>,
    listed_leaving: bool,
}

/// Members.
pub struct Members {
    me: Name,
    incarnation: u64,
    leaving: bool,
    all: BTreeMap<Name, Member>,
    listed: usize,
}

#[allow(missing_docs)]
impl Members {
    pub fn new(me: &Name, incarnation: u64) -> Self {
        Members {
            me: me.clone(),
            incarnation,
            leaving: false,
            all: BTreeMap::new(),
            listed: 0,
        }
    }
    pub fn leave(&mut self) {
        self.leaving = true;
    }
    pub fn up(&mut self, host: &Name, incarnation: u64, now: Moment) {
        let m = self.all.entry(host.clone()).or_default();
        if m.incarnation != incarnation {
            *m = Member {
                listed_leaving: m.listed_leaving,
                ..Member::default()
            };
        }
        m.incarnation = incarnation;
        m.linked = true;
        m.heard = now;
    }
    pub fn down(&mut self, host: &Name, incarnation: u64, _now: Moment) {
        if let Some(m) = self.all.get_mut(host)
            && m.incarnation == incarnation
        {
            m.linked = false;
        }
    }
    pub fn heard(&mut self, host: &Name, beat: &Heartbeat, now: Moment) {
        let m = self.all.entry(host.clone()).or_default();
        m.incarnation = beat.incarnation;
        m.heard = now;
        m.linked = true;
        m.beat = Some(beat.clone());
    }
    pub fn listed(&mut self, hosts: &Hosts, _now: Moment) {
        self.listed = 0;
        for (name, m) in &mut self.all {
            let e = hosts.hosts.iter().find(|h| h.name == *name);
            m.listed_leaving = e.is_some_and(|e| e.state == HostState::Leaving);
            if e.is_some() {
                self.listed += 1;
            }
        }
    }
    fn is_alive(&self, name: &Name, m: &Member, now: Moment) -> bool {
        *name == self.me || now.saturating_sub(m.heard) < SILENCE
    }
    pub fn alive(&self, now: Moment) -> Vec<Name> {
        self.all
            .iter()
            .filter(|(n, m)| self.is_alive(n, m, now))
            .map(|(n, _)| n.clone())
            .collect()
    }
    pub fn owners(&self, now: Moment) -> Vec<Owner> {
        self.all
            .iter()
            .filter(|(n, m)| self.is_alive(n, m, now))
            .map(|(n, m)| Owner {
                host: n.clone(),
                incarnation: m.incarnation,
            })
            .collect()
    }
    pub fn ranked(&self, key: &str, now: Moment) -> Vec<Name> {
        let mut v: Vec<(Vec<u8>, Name)> = self
            .all
            .iter()
            .filter(|(n, m)| {
                self.is_alive(n, m, now) && !m.beat.as_ref().is_some_and(|b| b.leaving)
            })
            .map(|(n, _)| (Sha256::digest(format!("{key}/{n}")).to_vec(), n.clone()))
            .collect();
        v.sort();
        v.into_iter().map(|(_, n)| n).collect()
    }
    pub fn rank(&self, key: &str, now: Moment) -> Option<usize> {
        self.ranked(key, now).iter().position(|n| *n == self.me)
    }
    pub fn visible(&self, now: Moment) -> f64 {
        let _ = now;
        1.0
    }
    pub fn incarnation(&self, host: &Name) -> Option<u64> {
        if *host == self.me {
            return Some(self.incarnation);
        }
        self.all.get(host).map(|m| m.incarnation)
    }
    pub fn linked(&self, host: &Name) -> bool {
        self.all.get(host).is_some_and(|m| m.linked)
    }
    pub fn entry(&self, now: Moment) -> Vec<EntryHost> {
        self.all
            .iter()
            .filter(|(n, m)| {
                self.is_alive(n, m, now) && !m.listed_leaving && !(self.leaving && **n == self.me)
            })
            .filter_map(|(n, m)| {
                let b = m.beat.as_ref()?;
                (b.ready && !b.leaving).then(|| EntryHost {
                    host: n.clone(),
                    addr: b.addr.as_str().into(),
                    domain: b.domain.as_str().into(),
                })
            })
            .collect()
    }
}
