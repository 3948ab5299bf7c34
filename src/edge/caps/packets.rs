//! Charges and their answers in datagrams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::notes::{CapAnswer, CapLevel, ChargeNote};
use super::{Answer, CapRules, Charge};
use crate::clock::Moment;
use crate::edge::gossip::Packet;
use crate::edge::permits::Rank;
use crate::edge::state::State;

/// Minimum time between the last grant of an allocator that falls silent and the first one of its
/// successor: [`crate::edge::members::ALIVE_TIMEOUT`] less the period of heartbeats.
const UNUSED_TIME: Duration = Duration::from_millis(700);

/// What a host does about caps in one round of sending.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapRound {
    /// Datagrams to single hosts.
    pub packets: Vec<(SocketAddr, Packet)>,
    /// Charges that this host has granted.
    pub granted: u32,
    /// Charges that it has refused.
    pub refused: u32,
    /// Whether charges of this host have been answered.
    pub decided: bool,
    /// Host to which the charges go from now on, if that is another one than before.
    pub allocator: Option<Arc<str>>,
}

/// What a host is told.
#[derive(Debug, Default)]
struct Reply {
    answers: Vec<CapAnswer>,
    /// Customers of which it gets its room.
    customers: BTreeSet<Arc<str>>,
}

impl State {
    /// Tells the charges of this host, `own`, to the allocator, and answers those of the hosts
    /// that follow this one. `is_ready` tells whether it serves callers.
    pub fn next_caps(
        &mut self,
        own: &Arc<str>,
        is_ready: bool,
        rules: &CapRules,
        now: Moment,
    ) -> CapRound {
        let mut round = CapRound::default();
        let has_caps = self.desired.customers.iter().any(|c| c.cap.is_some());
        if !has_caps && self.accounts.is_empty() && !self.ledger.is_busy() {
            return round;
        }
        if !self.members.is_known {
            // Alone as it seems, it would grant the whole of each cap.
            return round;
        }
        let allocator = self.members.allocator(own, is_ready, now);
        let is_own = allocator == *own;
        let share = self.members.cap_share(own, is_own, now);
        if self.cap_allocator.as_ref() != Some(&allocator) {
            self.follow(own, &allocator, rules, &mut round, now);
        }
        let customers = self.desired.customers.iter();
        let caps = customers.filter_map(|c| Some((&c.name, c.cap?)));
        self.ledger.fill(caps, rules, share, now);
        let due = self.accounts.take_due(now);
        if is_own {
            self.ledger.apply(own, due, now);
        } else if let Some(member) = self.members.all.get(&allocator)
            && !due.is_empty()
        {
            let packet = Packet {
                charges: due.into_iter().map(charge_note).collect(),
                ..Packet::default()
            };
            round.packets.push((member.peers, packet));
        }
        self.answer_charges(own, rules, &mut round, now);
        round
    }

    /// Turns to another allocator.
    fn follow(
        &mut self,
        own: &Arc<str>,
        allocator: &Arc<str>,
        rules: &CapRules,
        round: &mut CapRound,
        now: Moment,
    ) {
        let before = self.cap_allocator.replace(allocator.clone());
        self.accounts.tell_again();
        if allocator == own {
            let member = before.and_then(|host| self.members.all.get(&host));
            let unused = match member {
                Some(member) if !member.is_alive(now) => UNUSED_TIME,
                Some(_) | None => Duration::ZERO,
            };
            self.ledger.take_over(unused, rules, now);
        } else if before.as_ref() == Some(own)
            && let Some(member) = self.members.all.get(allocator)
        {
            let levels = self.ledger.hand_over(now).into_iter();
            let cap_levels = levels.map(|(customer, level)| CapLevel {
                customer: customer.to_string(),
                room: 0.0,
                left: Some(level),
            });
            let packet = Packet {
                cap_levels: cap_levels.collect(),
                ..Packet::default()
            };
            round.packets.push((member.peers, packet));
        }
        round.allocator = Some(allocator.clone());
    }

    fn answer_charges(
        &mut self,
        own: &Arc<str>,
        rules: &CapRules,
        round: &mut CapRound,
        now: Moment,
    ) {
        let mut replies: BTreeMap<Arc<str>, Reply> = BTreeMap::new();
        for (applicant, customer, answer) in self.ledger.decide(now) {
            match answer {
                Answer::Granted => round.granted += 1,
                Answer::Refused(_) => round.refused += 1,
            }
            if applicant.host == *own {
                round.decided |= self.accounts.record(applicant.number, answer, now);
                continue;
            }
            let reply = replies.entry(applicant.host).or_default();
            reply.answers.push(cap_answer(applicant.number, answer));
            reply.customers.insert(customer);
        }
        let hosts = self.members.share_count(now);
        for (host, reply) in replies {
            let Some(member) = self.members.all.get(&host) else {
                continue;
            };
            let mut packet = Packet {
                cap_answers: reply.answers,
                ..Packet::default()
            };
            for customer in reply.customers {
                packet.cap_levels.push(CapLevel {
                    customer: customer.to_string(),
                    room: self.ledger.room(&customer, rules, hosts, now),
                    left: None,
                });
            }
            round.packets.push((member.peers, packet));
        }
    }

    /// Returns the time after which caps need attention again.
    pub fn caps_due_in(&mut self, now: Moment) -> Option<Duration> {
        if !self.members.is_known {
            return None;
        }
        let told = self.accounts.due_in(now);
        told.into_iter().chain(self.ledger.due_in(now)).min()
    }

    /// Applies what a packet of `host` says of caps; returns whether charges of this host have
    /// been answered.
    pub fn apply_caps(&mut self, own: &str, host: &Arc<str>, packet: &Packet, now: Moment) -> bool {
        if !packet.charges.is_empty() {
            if let Some(member) = self.members.all.get_mut(host) {
                member.allocator = Some(own.into());
            }
            let mut charges = Vec::new();
            for note in &packet.charges {
                if !note.units.is_finite() {
                    log::warn!(host = &**host; "a host's charge ignored: no number of units");
                    continue;
                }
                charges.push(decode_charge(note));
            }
            self.ledger.apply(host, charges, now);
        }
        for note in &packet.cap_levels {
            match note.left {
                Some(left) => self.ledger.receive(&note.customer, left, now),
                None if self.cap_allocator.as_ref() == Some(host) => {
                    self.accounts.set_room(&note.customer, note.room, now);
                }
                None => {}
            }
        }
        let mut decided = false;
        for note in &packet.cap_answers {
            let answer = match note.return_ms {
                Some(ms) => Answer::Refused(Duration::from_millis(ms)),
                None => Answer::Granted,
            };
            decided |= self.accounts.record(note.number, answer, now);
        }
        decided
    }
}

fn charge_note(charge: Charge) -> ChargeNote {
    ChargeNote {
        number: charge.number,
        customer: charge.customer.to_string(),
        units: charge.units,
        rank: charge.rank.number(),
        patience_ms: charge.patience.as_millis() as u64,
        spent: charge.spent,
    }
}

fn decode_charge(note: &ChargeNote) -> Charge {
    Charge {
        number: note.number,
        customer: note.customer.as_str().into(),
        units: note.units,
        rank: Rank::from_number(note.rank),
        patience: Duration::from_millis(note.patience_ms),
        spent: note.spent,
    }
}

fn cap_answer(number: u64, answer: Answer) -> CapAnswer {
    CapAnswer {
        number,
        return_ms: match answer {
            Answer::Granted => None,
            Answer::Refused(delay) => Some(delay.as_millis() as u64),
        },
    }
}
