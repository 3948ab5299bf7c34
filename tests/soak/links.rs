//! Faults of the links between callers, daemons, engines and the store.

use std::collections::BTreeMap;
use std::ops::Range;
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::disturbances::Disturbance;
use crate::record::{History, LinkSpan, Span};
use crate::relay::{Direction, LinkFault, Relay, RelaySettings};
use crate::site::Site;

/// Delay of a slow link, ms. Links at which bytes wait for longer count as disturbed.
const DELAY_MS: Range<u64> = 5..150;
/// Rate of a squeezed link, bytes a second.
const RATE: Range<u64> = 500..50_000;

/// A link between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Between callers and a daemon.
    Callers(usize),
    /// Between a daemon and the store.
    Store(usize),
    /// Between all daemons and an engine.
    Engine(usize),
}

/// Relays of a daemon.
pub struct DaemonLinks {
    pub callers: Relay,
    pub store: Relay,
}

/// A fault of one link.
#[derive(Clone, Copy, Debug)]
pub struct LinkDisturbance {
    link: Link,
    fault: LinkFault,
}

impl Disturbance {
    /// Returns whether it is a fault of a link.
    pub fn is_of_link(self) -> bool {
        use Disturbance as D;
        matches!(
            self,
            D::LinkDelay
                | D::LinkSqueeze
                | D::LinkSilence
                | D::LinkCut
                | D::LinkHalfOpen
                | D::LinkReset
        )
    }
}

/// Returns the number of faults of links by kind, and of those of links to engines.
pub fn summary(history: &History) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for span in &history.links {
        *counts.entry(span.fault.into()).or_default() += 1;
    }
    let is_of_engine = |s: &&LinkSpan| matches!(s.link, Link::Engine(_));
    let of_engines = history.links.iter().filter(is_of_engine).count();
    format!("faults of links: {counts:?}; {of_engines} of engines")
}

/// Returns the settings of a relay in a run.
pub fn relay_settings(seed: u64, number: u64) -> RelaySettings {
    RelaySettings {
        seed: seed * 100_000 + number,
        ..RelaySettings::default()
    }
}

/// Returns which of the daemons a fault of a link disturbs. A delay disturbs none: it is neither
/// loss nor squeeze.
pub fn disturbed(link: Link, fault: LinkFault, daemons: usize) -> Range<usize> {
    match (link, fault) {
        (_, LinkFault::Delay(_)) => 0..0,
        (Link::Callers(daemon) | Link::Store(daemon), _) => daemon..daemon + 1,
        (Link::Engine(_), _) => 0..daemons,
    }
}

impl LinkDisturbance {
    /// Draws a disturbance of a kind, for one of the links of a daemon or of an engine.
    pub fn draw(
        kind: Disturbance,
        (daemon, engine): (usize, usize),
        rng: &mut ChaCha8Rng,
    ) -> Option<Self> {
        let link = match rng.random_range(0..4) {
            0 => Link::Store(daemon),
            1 => Link::Callers(daemon),
            _ => Link::Engine(engine),
        };
        let direction = match rng.random_bool(0.5) {
            true => Direction::ToServer,
            false => Direction::ToClient,
        };
        let either = rng.random_bool(0.5);
        let fault = match kind {
            Disturbance::LinkDelay => {
                LinkFault::Delay(Duration::from_millis(rng.random_range(DELAY_MS)))
            }
            Disturbance::LinkSqueeze => LinkFault::Squeeze(rng.random_range(RATE)),
            Disturbance::LinkSilence => LinkFault::Silence {
                direction,
                drops: either,
            },
            Disturbance::LinkCut => LinkFault::Cut { refuses: either },
            Disturbance::LinkHalfOpen => LinkFault::HalfOpen(direction),
            Disturbance::LinkReset => LinkFault::Reset {
                direction,
                whole: either,
            },
            _ => return None,
        };
        Some(LinkDisturbance { link, fault })
    }

    /// Disturbs the link for a while.
    pub fn run(self, site: &Site, time: Duration) {
        let Some(relay) = site.relay(self.link) else {
            return;
        };
        let start = site.recorder.now();
        relay.disturb(self.fault);
        thread::sleep(time);
        relay.mend(self.fault);
        let end = site.recorder.now();
        site.recorder.add_link_span(LinkSpan {
            link: self.link,
            fault: self.fault,
            start,
            end,
        });
        for daemon in disturbed(self.link, self.fault, site.daemons.len()) {
            site.recorder.add_span(Span {
                daemon,
                start,
                end,
                planned: false,
            });
        }
    }
}
