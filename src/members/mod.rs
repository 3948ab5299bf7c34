//! Membership: which daemons and upstreams are there, and which take work.
//!
//! Three sources are weighed: a daemon's own heartbeats, silence, and the
//! platform's lagging host list. "Leaving" is believed from either word and
//! sticks: a daemon's own word until its next incarnation, the list's until an
//! entry of a later revision. Silence only makes a member suspected; only its
//! absence from the list, together with silence, makes it gone.

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
/// Bytes a second that heartbeats may cost one daemon.
const HEARTBEAT_BYTES_PER_S: u32 = 2_500;
/// Heartbeats that may be missing before a member is suspected.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// Time between two heartbeats of a daemon that sends to all `members`.
///
/// It keeps to half of the 5 KB a second that control may use: 500 ms up to 8
/// members, 9 s at 140, and 30 s at 460. Where that is too slow, a daemon has
/// to send to a part of the members only and pass on what it heard.
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
    /// All entry hosts of the settings, this one included or not.
    pub peers: Vec<Name>,
    /// Silence after which a member is suspected.
    pub silence_timeout: Duration,
    /// Time without a link after which a member is suspected.
    pub link_timeout: Duration,
    /// Silence after which a member that is not listed is forgotten.
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
    /// Settings with times that fit the number of `peers`.
    pub fn sized(me: Name, peers: Vec<Name>) -> Self {
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
    /// Nothing but the time of the last sign.
    Unchanged,
    /// Readiness, leaving or an address.
    Changed,
    /// The member runs under a new incarnation.
    Restarted,
    /// The heartbeat is of an older incarnation and was ignored.
    Stale,
}

/// Last word of a member; the default heartbeat before its first.
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

/// A host in an entry answer.
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
    /// A membership that knows nobody yet.
    pub fn new(settings: MemberSettings) -> Self {
        Members {
            settings,
            members: BTreeMap::new(),
            host_list: HostList::default(),
        }
    }

    /// Takes in a heartbeat, this daemon's own ones included.
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

    /// Takes in a newly opened link.
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

    /// Takes in a closed link; one to an earlier incarnation changes nothing.
    pub fn record_link_down(&mut self, host: &str, incarnation: u64, now: Moment) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if member.linked && member.heartbeat.incarnation <= incarnation {
            member.linked = false;
            member.link_lost = now;
        }
    }

    /// This daemon leaves, from now on.
    pub fn leave(&mut self) {
        if let Some(member) = self.members.get_mut(&self.settings.me) {
            member.heartbeat.leaving = true;
        }
    }

    /// Takes in the platform's list; older revisions change nothing. Answers
    /// the newest known state of it.
    pub fn update_host_list(&mut self, hosts: &Hosts) -> Hosts {
        self.host_list.update(hosts);
        self.host_list.hosts()
    }

    /// Forgets members that are silent and no longer listed; answers which.
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

    /// Whether `host` gave a recent sign of life; leaving ones do.
    pub fn is_alive(&self, host: &str, now: Moment) -> bool {
        self.members
            .get(host)
            .is_some_and(|m| self.is_member_alive(m, now))
    }

    /// Whether `host` runs under exactly this incarnation and is alive.
    pub fn is_running(&self, host: &str, incarnation: u64, now: Moment) -> bool {
        let member = self.members.get(host);
        member
            .is_some_and(|m| m.heartbeat.incarnation == incarnation && self.is_member_alive(m, now))
    }

    /// Whether `host` is listed as, or calls itself, leaving.
    pub fn is_leaving(&self, host: &str) -> bool {
        let said = self.members.get(host).is_some_and(|m| m.heartbeat.leaving);
        said || self.host_list.is_leaving(host)
    }

    /// Whether there is a link to `host`; this daemon needs none to itself.
    pub fn is_linked(&self, host: &str) -> bool {
        self.members.get(host).is_some_and(|m| m.linked)
    }

    /// Last known incarnation of `host`.
    pub fn incarnation(&self, host: &str) -> Option<u64> {
        self.members.get(host).map(|m| m.heartbeat.incarnation)
    }

    /// Last heartbeat of `host`.
    pub fn heartbeat(&self, host: &str) -> Option<&Heartbeat> {
        self.members.get(host).map(|m| &m.heartbeat)
    }

    /// Time since the last sign of life of `host`.
    pub fn silence(&self, host: &str, now: Moment) -> Option<Duration> {
        let member = self.members.get(host)?;
        Some(now.saturating_sub(member.last_heard))
    }

    /// All known hosts, suspected ones included.
    pub fn known_hosts(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    /// Hosts that gave a recent sign of life, this one included.
    pub fn alive_hosts(&self, now: Moment) -> Vec<Name> {
        let alive = self
            .members
            .iter()
            .filter(|(_, m)| self.is_member_alive(m, now));
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// Hosts that are alive, linked, or were linked until just now. A silent
    /// one may be paused, with requests in progress that it will go on with;
    /// when it does, it may close its links and open them anew.
    pub fn present_hosts(&self, now: Moment) -> Vec<Name> {
        let unlinked = |m: &Member| now.saturating_sub(m.link_lost) >= self.settings.link_timeout;
        let present = |m: &Member| m.linked || !unlinked(m) || self.is_member_alive(m, now);
        let hosts = self.members.iter().filter(|(_, m)| present(m));
        hosts.map(|(name, _)| name.clone()).collect()
    }

    /// Incarnations of the hosts that gave a recent sign of life.
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

    /// Hosts that may own something: alive, ready and not leaving.
    pub fn serving_hosts(&self, now: Moment) -> Vec<Name> {
        let serving = self.serving(now);
        serving.map(|(name, _)| name.clone()).collect()
    }

    /// Hosts for entry answers: alive, ready and not leaving.
    pub fn entry_hosts(&self, now: Moment) -> Vec<EntryHost> {
        let serving = self.serving(now);
        let with_addr = serving.filter(|(_, m)| !m.heartbeat.addr.is_empty());
        with_addr
            .map(|(name, m)| EntryHost {
                host: name.clone(),
                addr: m.heartbeat.addr.as_str().into(),
                domain: m.heartbeat.domain.as_str().into(),
            })
            .collect()
    }

    /// [`Members::serving_hosts`] in the rendezvous order of `key`.
    pub fn rank_hosts(&self, key: &str, now: Moment) -> Vec<Name> {
        rendezvous_order(key, self.serving_hosts(now))
    }

    /// Place of this daemon in [`Members::rank_hosts`], 0 for the first.
    pub fn rank(&self, key: &str, now: Moment) -> Option<usize> {
        let ranked = self.rank_hosts(key, now);
        ranked.iter().position(|name| *name == self.settings.me)
    }

    /// Part of the daemons of the deployment that are alive here, in (0, 1].
    ///
    /// A daemon counts when it is listed or alive; before the first list, all
    /// daemons of the settings count.
    pub fn visible_fraction(&self, now: Moment) -> f64 {
        let me = &self.settings.me;
        let others = self.settings.peers.iter().filter(|name| *name != me);
        let (mut seen, mut all) = (1.0, 1.0);
        for name in others {
            let alive = self.is_alive(name, now);
            if alive {
                seen += 1.0;
            }
            if alive || !self.host_list.is_known() || self.host_list.contains(name) {
                all += 1.0;
            }
        }
        seen / all
    }

    fn serving(&self, now: Moment) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().filter(move |(name, m)| {
            m.heartbeat.ready
                && !m.heartbeat.leaving
                && !self.host_list.is_leaving(name)
                && self.is_member_alive(m, now)
        })
    }

    /// Does not count the time for which this daemon itself was paused as
    /// silence of the others.
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

    /// `now`, but not long after this daemon's own last heartbeat: without
    /// one it was paused and may have unread heartbeats of the others.
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

/// What a change of a heartbeat matters for.
fn announced_state(heartbeat: &Heartbeat) -> (bool, bool, &str, &str) {
    (
        heartbeat.leaving,
        heartbeat.ready,
        &heartbeat.addr,
        &heartbeat.domain,
    )
}
