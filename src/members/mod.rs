//! Membership: which daemons and upstreams are present, and which take work.
//!
//! Three sources count: a daemon's own heartbeats, their absence, and the
//! platform's lagging host list. A member is leaving when either its heartbeat
//! or the list says so. This state is kept: from a heartbeat until the next
//! incarnation of the daemon, from the list until an entry of a later revision.
//! A silent member is only suspected; it is removed when it is also absent from
//! the list.

mod host_list;
mod rendezvous;
mod upstreams;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Name;
use crate::outside::Hosts;
use crate::peer::wire::Heartbeat;
use crate::protocol::ownership::Owner;
use host_list::HostList;

pub use rendezvous::rendezvous_order;
pub use upstreams::{UpstreamSettings, UpstreamStatus, Upstreams};

/// Shortest time between two heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Bytes of one heartbeat with TCP and IP headers and its acknowledgement.
const HEARTBEAT_BYTES: u32 = 160;
/// Bytes per second that the heartbeats of one daemon may use.
const HEARTBEAT_BYTES_PER_S: u32 = 2_500;
/// Heartbeats that may be missing before a member is suspected.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// Returns the time between two heartbeats of a daemon that sends to all
/// `members`.
///
/// Heartbeats use at most half of the 5 KB/s that control traffic may use:
/// 500 ms up to 8 members, 9 s at 140, and 30 s at 460. Where that is too slow,
/// a daemon would have to send to some members only, and those pass on what
/// they received.
pub fn heartbeat_period(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let bytes = HEARTBEAT_BYTES.saturating_mul(members);
    HEARTBEAT_PERIOD.max(Duration::from_secs(1) * bytes / HEARTBEAT_BYTES_PER_S)
}

/// Settings of the membership.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// This host.
    pub me: Name,
    /// All hosts of the settings, with or without this one.
    pub peers: Vec<Name>,
    /// Silence after which a member is suspected.
    pub silence_timeout: Duration,
    /// Time without a link after which a member is suspected.
    pub link_timeout: Duration,
    /// Silence after which a member that is not listed is removed.
    pub forget_timeout: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            me: "".into(),
            peers: Vec::new(),
            silence_timeout: HEARTBEAT_PERIOD * MAX_MISSED_HEARTBEATS,
            link_timeout: HEARTBEAT_PERIOD,
            forget_timeout: Duration::from_secs(60),
        }
    }
}

impl MemberSettings {
    /// Returns settings whose silence timeout fits the number of `peers`.
    pub fn for_peers(me: Name, peers: Vec<Name>) -> Self {
        let period = heartbeat_period(peers.len());
        MemberSettings {
            me,
            peers,
            silence_timeout: period * MAX_MISSED_HEARTBEATS,
            ..MemberSettings::default()
        }
    }
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Only the time of the last heartbeat changed.
    Unchanged,
    /// Readiness, leaving, the address or the failure domain changed.
    Changed,
    /// The member is new, or runs under a new incarnation.
    Restarted,
    /// The heartbeat is of an older incarnation and was ignored.
    Stale,
}

/// Last heartbeat of a member (the default one before its first) and its link.
#[derive(Clone, Debug)]
struct Member {
    heartbeat: Heartbeat,
    last_heard: Moment,
    linked: bool,
    link_lost: Moment,
}

impl Member {
    fn new(heartbeat: Heartbeat, now: Moment) -> Self {
        Member {
            heartbeat,
            last_heard: now,
            linked: true,
            link_lost: now,
        }
    }
}

/// Host that callers may connect to, as `GET /v1/hosts` lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// Host.
    pub host: Name,
    /// Address for callers, `ip:port`.
    pub addr: Name,
    /// Failure domain.
    pub domain: Name,
}

/// Membership as one daemon sees it.
#[derive(Clone, Debug)]
pub struct Members {
    settings: MemberSettings,
    members: BTreeMap<Name, Member>,
    host_list: HostList,
}

impl Members {
    /// Returns a membership without members.
    pub fn new(settings: MemberSettings) -> Self {
        Members {
            settings,
            members: BTreeMap::new(),
            host_list: HostList::default(),
        }
    }

    /// Records a heartbeat; this daemon's own ones are recorded too.
    pub fn record_heartbeat(
        &mut self,
        from: &Name,
        heartbeat: &Heartbeat,
        now: Moment,
    ) -> HeartbeatOutcome {
        if *from == self.settings.me {
            self.discount_pause(now);
        }
        let Some(member) = self.members.get_mut(from) else {
            let fresh = Member::new(heartbeat.clone(), now);
            self.members.insert(from.clone(), fresh);
            return HeartbeatOutcome::Restarted;
        };
        if heartbeat.incarnation < member.heartbeat.incarnation {
            return HeartbeatOutcome::Stale;
        }
        let restarted = heartbeat.incarnation > member.heartbeat.incarnation;
        let leaving = heartbeat.leaving || (!restarted && member.heartbeat.leaving);
        let heartbeat = Heartbeat {
            leaving,
            ..heartbeat.clone()
        };
        let outcome = match restarted {
            true => HeartbeatOutcome::Restarted,
            false if announced_state(&heartbeat) == announced_state(&member.heartbeat) => {
                HeartbeatOutcome::Unchanged
            }
            false => HeartbeatOutcome::Changed,
        };
        *member = Member::new(heartbeat, now);
        outcome
    }

    /// Records a newly opened link.
    pub fn record_link_up(&mut self, host: &Name, incarnation: u64, now: Moment) {
        let known = self.incarnation(host);
        if known.is_none_or(|known| known < incarnation) {
            let heartbeat = Heartbeat {
                incarnation,
                ..Heartbeat::default()
            };
            let fresh = Member::new(heartbeat, now);
            self.members.insert(host.clone(), fresh);
            return;
        }
        if let Some(member) = self.members.get_mut(host)
            && member.heartbeat.incarnation == incarnation
        {
            member.linked = true;
            member.last_heard = now;
        }
    }

    /// Records a closed link; one to an earlier incarnation is ignored.
    pub fn record_link_down(&mut self, host: &str, incarnation: u64, now: Moment) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if member.linked && member.heartbeat.incarnation <= incarnation {
            member.linked = false;
            member.link_lost = now;
        }
    }

    /// Marks this daemon as leaving.
    pub fn leave(&mut self) {
        if let Some(member) = self.members.get_mut(&self.settings.me) {
            member.heartbeat.leaving = true;
        }
    }

    /// Merges the platform's list, ignoring older revisions; returns its newest
    /// known state.
    pub fn update_host_list(&mut self, hosts: &Hosts) -> Hosts {
        self.host_list.update(hosts);
        self.host_list.hosts()
    }

    /// Removes members that are silent and no longer listed, and returns them.
    pub fn expire(&mut self, now: Moment) -> Vec<Name> {
        let now = self.capped_now(now);
        let mut gone = Vec::new();
        for (name, member) in &self.members {
            let silent = now.saturating_sub(member.last_heard) >= self.settings.forget_timeout;
            if silent && !self.host_list.contains(name) && *name != self.settings.me {
                gone.push(name.clone());
            }
        }
        for name in &gone {
            self.members.remove(name);
        }
        gone
    }

    /// Returns whether `host` is alive: heard recently, and linked or unlinked
    /// for less than the link timeout. Leaving hosts may be alive.
    pub fn is_alive(&self, host: &str, now: Moment) -> bool {
        self.members
            .get(host)
            .is_some_and(|m| self.is_member_alive(m, now))
    }

    /// Returns whether `host` is alive under exactly this incarnation.
    pub fn is_running(&self, host: &str, incarnation: u64, now: Moment) -> bool {
        let member = self.members.get(host);
        member
            .is_some_and(|m| m.heartbeat.incarnation == incarnation && self.is_member_alive(m, now))
    }

    /// Returns whether the list or the last heartbeat of `host` says that it is
    /// leaving.
    pub fn is_leaving(&self, host: &str) -> bool {
        let announced = self.members.get(host).is_some_and(|m| m.heartbeat.leaving);
        announced || self.host_list.is_leaving(host)
    }

    /// Returns whether there is a link to `host`; this daemon counts as linked
    /// to itself.
    pub fn is_linked(&self, host: &str) -> bool {
        self.members.get(host).is_some_and(|m| m.linked)
    }

    /// Returns the last known incarnation of `host`.
    pub fn incarnation(&self, host: &str) -> Option<u64> {
        self.members.get(host).map(|m| m.heartbeat.incarnation)
    }

    /// Returns the last heartbeat of `host`.
    pub fn heartbeat(&self, host: &str) -> Option<&Heartbeat> {
        self.members.get(host).map(|m| &m.heartbeat)
    }

    /// Returns the time since `host` was last heard.
    pub fn silence(&self, host: &str, now: Moment) -> Option<Duration> {
        let member = self.members.get(host)?;
        Some(now.saturating_sub(member.last_heard))
    }

    /// Returns all known hosts, including suspected ones.
    pub fn known_hosts(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    /// Returns the hosts that are alive, including this one.
    pub fn alive_hosts(&self, now: Moment) -> Vec<Name> {
        let alive = self
            .members
            .iter()
            .filter(|(_, m)| self.is_member_alive(m, now));
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the hosts that are alive, linked, or were linked within the link
    /// timeout. A silent host may be paused and later resume its requests in
    /// progress; it may then close its links and open new ones.
    pub fn present_hosts(&self, now: Moment) -> Vec<Name> {
        let unlinked = |m: &Member| now.saturating_sub(m.link_lost) >= self.settings.link_timeout;
        let present = |m: &Member| m.linked || !unlinked(m) || self.is_member_alive(m, now);
        let hosts = self.members.iter().filter(|(_, m)| present(m));
        hosts.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the incarnations of the hosts that are alive.
    pub fn alive_incarnations(&self, now: Moment) -> Vec<Owner> {
        let alive = self
            .members
            .iter()
            .filter(|(_, m)| self.is_member_alive(m, now));
        let owner = |(host, m): (&Name, &Member)| Owner {
            host: host.clone(),
            incarnation: m.heartbeat.incarnation,
        };
        alive.map(owner).collect()
    }

    /// Returns the hosts that may own pools: alive, ready and not leaving.
    pub fn serving_hosts(&self, now: Moment) -> Vec<Name> {
        let serving = self.serving_members(now);
        serving.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the hosts that callers may connect to: alive, ready, not leaving
    /// and with an address.
    pub fn entry_hosts(&self, now: Moment) -> Vec<EntryHost> {
        let serving = self.serving_members(now);
        let with_addr = serving.filter(|(_, m)| !m.heartbeat.addr.is_empty());
        with_addr
            .map(|(name, m)| EntryHost {
                host: name.clone(),
                addr: m.heartbeat.addr.as_str().into(),
                domain: m.heartbeat.domain.as_str().into(),
            })
            .collect()
    }

    /// Returns [`Members::serving_hosts`] in the rendezvous order of `key`.
    pub fn rank_hosts(&self, key: &str, now: Moment) -> Vec<Name> {
        rendezvous_order(key, self.serving_hosts(now))
    }

    /// Returns the position of this daemon in [`Members::rank_hosts`], 0 for
    /// the first.
    pub fn rank(&self, key: &str, now: Moment) -> Option<usize> {
        let ranked = self.rank_hosts(key, now);
        ranked.iter().position(|name| *name == self.settings.me)
    }

    /// Returns the fraction of the deployment's daemons that this daemon sees
    /// alive, in (0, 1].
    ///
    /// Listed and alive daemons count as deployed; before the first list, all
    /// daemons of the settings do.
    pub fn visible_fraction(&self, now: Moment) -> f64 {
        let me = &self.settings.me;
        let others = self.settings.peers.iter().filter(|name| *name != me);
        let (mut alive_count, mut total) = (1.0, 1.0);
        for name in others {
            let alive = self.is_alive(name, now);
            if alive {
                alive_count += 1.0;
            }
            if alive || !self.host_list.is_known() || self.host_list.contains(name) {
                total += 1.0;
            }
        }
        alive_count / total
    }

    /// Returns the members that are alive, ready and not leaving.
    fn serving_members(&self, now: Moment) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().filter(move |(name, m)| {
            m.heartbeat.ready
                && !m.heartbeat.leaving
                && !self.host_list.is_leaving(name)
                && self.is_member_alive(m, now)
        })
    }

    /// Moves the times of all members by a pause of this daemon, so that the
    /// pause does not count as silence of the others.
    fn discount_pause(&mut self, now: Moment) {
        let Some(last) = self.members.get(&self.settings.me).map(|m| m.last_heard) else {
            return;
        };
        let gap = now.saturating_sub(last);
        if gap < self.settings.silence_timeout {
            return;
        }
        for member in self.members.values_mut() {
            member.last_heard += gap;
            member.link_lost += gap;
        }
    }

    /// Returns `now`, capped at half the silence timeout after this daemon's
    /// own last heartbeat: a daemon without a recent one was paused and may
    /// have unread heartbeats of the others.
    fn capped_now(&self, now: Moment) -> Moment {
        let me = self.members.get(&self.settings.me);
        me.map_or(now, |m| {
            now.min(m.last_heard + self.settings.silence_timeout / 2)
        })
    }

    fn is_member_alive(&self, member: &Member, now: Moment) -> bool {
        let now = self.capped_now(now);
        let silent = now.saturating_sub(member.last_heard) >= self.settings.silence_timeout;
        let unlinked = now.saturating_sub(member.link_lost) >= self.settings.link_timeout;
        !silent && (member.linked || !unlinked)
    }
}

/// Returns the fields of a heartbeat whose changes are reported.
fn announced_state(heartbeat: &Heartbeat) -> (bool, bool, &str, &str) {
    (
        heartbeat.leaving,
        heartbeat.ready,
        &heartbeat.addr,
        &heartbeat.domain,
    )
}
