//! Applications and verdicts in datagrams, and the rates that they are about.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{Application, Rank, Verdict};
use crate::clock::Moment;
use crate::edge::gossip::{ApplicationNote, Packet, RateNote, VerdictNote};
use crate::edge::state::State;
use crate::edge::statements::{RateChange, RateStatement};

/// What a host does about permits in one round of sending.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitRound {
    /// Datagrams to single hosts.
    pub packets: Vec<(SocketAddr, Packet)>,
    /// Permits that this host has granted.
    pub granted: u32,
    /// Applications that it has refused.
    pub refused: u32,
    /// Whether applications of this host have their verdicts.
    pub decided: bool,
    /// Host from which this one gets its permits.
    pub allocator: Arc<str>,
    /// Part of all hosts that gets its permits from this one.
    pub share: f64,
}

impl State {
    /// Applies for permits, and decides on the applications of the hosts that follow this one,
    /// `own`. `is_ready` tells whether it serves callers.
    pub fn next_permits(&mut self, own: &Arc<str>, is_ready: bool, now: Moment) -> PermitRound {
        let is_idle = !self.permits.is_waiting() && !self.allocator.is_busy();
        if is_idle && self.fleet.rates().is_empty() {
            return PermitRound::default();
        }
        if !self.members.is_known {
            // Alone as it seems, it would grant the whole of each rate.
            return PermitRound {
                allocator: own.clone(),
                ..PermitRound::default()
            };
        }
        let allocator = self.members.allocator(own, is_ready, now);
        let is_own = allocator == *own;
        let mut round = PermitRound {
            share: self.members.follower_share(own, is_own, now),
            allocator,
            ..PermitRound::default()
        };
        let rates = self.fleet.rates().limited();
        self.allocator.fill(rates, round.share, now);
        let due = self.permits.take_due(now);
        if is_own {
            if !due.is_empty() {
                self.allocator.apply(own, due, now);
            }
        } else if let Some(member) = self.members.all.get(&round.allocator)
            && !due.is_empty()
        {
            let packet = self.application_packet(due, now);
            round.packets.push((member.peers, packet));
        }
        let mut replies: BTreeMap<Arc<str>, Vec<VerdictNote>> = BTreeMap::new();
        for (applicant, verdict) in self.allocator.decide(now) {
            match &verdict {
                Verdict::Granted(_) => round.granted += 1,
                Verdict::Refused(_) => round.refused += 1,
            }
            if applicant.host == *own {
                round.decided |= self.permits.record(applicant.number, verdict, now);
                continue;
            }
            let note = verdict_note(applicant.number, &verdict);
            replies.entry(applicant.host).or_default().push(note);
        }
        for (host, verdicts) in replies {
            let Some(member) = self.members.all.get(&host) else {
                continue;
            };
            let packet = Packet {
                verdicts,
                ..Packet::default()
            };
            round.packets.push((member.peers, packet));
        }
        round
    }

    /// Returns the time after which permits need attention again.
    pub fn permits_due_in(&mut self, now: Moment) -> Option<Duration> {
        let repeat = self.permits.is_waiting().then_some(super::REPEAT_PERIOD);
        let grant = self.allocator.next_permit_in(now);
        repeat.into_iter().chain(grant).min()
    }

    /// Applies what a packet says of engines' rates; returns the changes with the start times of
    /// the engines.
    pub fn apply_rates(
        &mut self,
        packet: &Packet,
        now: Moment,
    ) -> Vec<(Arc<str>, RateChange, u64)> {
        let mut changes = Vec::new();
        for note in &packet.rates {
            let engine: Arc<str> = note.engine.as_str().into();
            let Some(statement) = decode_rate(note, now) else {
                log::warn!(engine = &*note.engine; "a host's note of a rate ignored: no number");
                continue;
            };
            let change = self.fleet.rates_mut().record(&engine, statement);
            changes.extend(change.map(|c| (engine, c, statement.incarnation)));
        }
        changes
    }

    /// Applies what a packet of `host` says of permits; returns whether applications of this
    /// host have their verdicts.
    pub fn apply_permits(
        &mut self,
        own: &str,
        host: &Arc<str>,
        packet: &Packet,
        now: Moment,
    ) -> bool {
        if !packet.applications.is_empty() {
            if let Some(member) = self.members.all.get_mut(host) {
                member.allocator = Some(own.into());
            }
            let applications = packet.applications.iter().map(decode_application);
            self.allocator.apply(host, applications.collect(), now);
        }
        let mut decided = false;
        for note in &packet.verdicts {
            let verdict = match &*note.engine {
                "" => Verdict::Refused(Duration::from_millis(note.return_ms)),
                engine => Verdict::Granted(engine.into()),
            };
            decided |= self.permits.record(note.number, verdict, now);
        }
        decided
    }

    /// Returns the packet with these applications, and what is known of the rates of their
    /// engines: an allocator that has just started has not heard of them.
    fn application_packet(&self, due: Vec<Application>, now: Moment) -> Packet {
        let mut packet = Packet::default();
        for application in due {
            for engine in &application.engines {
                let is_added = packet.rates.iter().any(|r| r.engine == **engine);
                let statement = self.fleet.rates().statement(engine);
                if let Some(statement) = statement.filter(|_| !is_added) {
                    packet.rates.push(rate_note(engine, statement, now));
                }
            }
            packet.applications.push(application_note(application));
        }
        packet
    }
}

/// Returns the note of what an engine has said of its rate.
pub fn rate_note(engine: &str, statement: &RateStatement, now: Moment) -> RateNote {
    let age_us = |at: Moment| now.saturating_sub(at).as_micros() as u64;
    RateNote {
        engine: engine.to_owned(),
        incarnation: statement.incarnation,
        number: statement.number,
        rate: statement.rate,
        asked_us: age_us(statement.asked_at),
        heard_us: age_us(statement.heard_at),
    }
}

/// Decodes a note that has just arrived; `None` if its rate is no number of at least 0.
pub fn decode_rate(note: &RateNote, now: Moment) -> Option<RateStatement> {
    if note.rate.is_some_and(|r| !r.is_finite() || r < 0.0) {
        return None;
    }
    let ago = |us| now.saturating_sub(Duration::from_micros(us));
    Some(RateStatement {
        number: note.number,
        incarnation: note.incarnation,
        rate: note.rate,
        asked_at: ago(note.asked_us),
        heard_at: ago(note.heard_us),
    })
}

fn application_note(application: Application) -> ApplicationNote {
    let engines = application.engines.iter();
    ApplicationNote {
        number: application.number,
        engines: engines.map(|e| e.to_string()).collect(),
        rank: application.rank.number(),
        patience_ms: application.patience.as_millis() as u64,
    }
}

fn decode_application(note: &ApplicationNote) -> Application {
    let engines = note.engines.iter();
    Application {
        number: note.number,
        engines: engines.map(|e| e.as_str().into()).collect(),
        rank: Rank::from_number(note.rank),
        patience: Duration::from_millis(note.patience_ms),
    }
}

fn verdict_note(number: u64, verdict: &Verdict) -> VerdictNote {
    let (engine, return_ms) = match verdict {
        Verdict::Granted(engine) => (engine.to_string(), 0),
        Verdict::Refused(delay) => (String::new(), delay.as_millis() as u64),
    };
    VerdictNote {
        number,
        engine,
        return_ms,
    }
}
