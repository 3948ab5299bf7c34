//! How many loads at once the weight store serves at full speed, learnt from the loads.
//!
//! Beyond that number each load takes proportionally longer, so that a load of little use delays
//! the others. The settings name the number to begin with. A load that is not over although
//! it must be, if the store served so many, shows that it serves fewer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;

/// Largest number that is told apart.
const MAX_PARALLEL: usize = 8;
/// Part of its time by which a load may take longer before it counts as slowed.
const SLACK_PART: f64 = 0.1;
/// Time after which the end of a load is known: reports lag, and are asked for at intervals.
const REPORT_DELAY: Duration = Duration::from_millis(600);
/// Time for which loads ahead of need may occupy a store that serves one at a time.
const MAX_AHEAD_TIME: Duration = Duration::from_secs(24);
/// Time after which one more load at once is tried again.
const RETRY_PERIOD: Duration = Duration::from_secs(60);

/// A load from the store in progress.
#[derive(Clone, Debug)]
struct Running {
    /// Time that it takes alone.
    needed: Duration,
    /// Time of it that is done if the store serves one, two and more loads at full speed.
    done: [Duration; MAX_PARALLEL],
}

impl Running {
    /// Returns the smallest number at which it can have ended by now.
    fn least_parallel(&self) -> usize {
        let needed = self.needed.mul_f64(1.0 - SLACK_PART);
        let is_too_few = |done: &&Duration| **done < needed;
        (self.done.iter().take_while(is_too_few).count() + 1).min(MAX_PARALLEL)
    }

    fn is_overdue(&self, parallel: usize) -> bool {
        self.done[parallel - 1] > self.needed.mul_f64(1.0 + SLACK_PART) + REPORT_DELAY
    }
}

/// The number of loads that the store serves at full speed, as far as known.
#[derive(Debug)]
pub struct StoreSpeed {
    /// Number by the settings.
    usual: usize,
    parallel: usize,
    /// Number of loads at once that have ended in their time.
    proven: usize,
    running: BTreeMap<Arc<str>, Running>,
    updated_at: Moment,
    /// When the number was last lowered or raised.
    changed_at: Moment,
}

impl StoreSpeed {
    /// Begins with the number of the settings.
    pub fn new(usual: u32, now: Moment) -> Self {
        let usual = (usual as usize).clamp(1, MAX_PARALLEL);
        StoreSpeed {
            usual,
            parallel: usual,
            proven: 0,
            running: BTreeMap::new(),
            updated_at: now,
            changed_at: now,
        }
    }

    /// Goes on with what the leader before has learnt.
    pub fn inherited(usual: u32, parallel: u32, now: Moment) -> Self {
        let speed = StoreSpeed::new(usual, now);
        match parallel as usize {
            0 => speed,
            known => StoreSpeed {
                parallel: known.min(speed.usual),
                ..speed
            },
        }
    }

    /// Returns how many loads at once are taken to run at full speed.
    pub fn parallel(&self) -> usize {
        self.parallel
    }

    /// Returns whether something has been learnt that the settings do not say.
    pub fn is_learnt(&self) -> bool {
        self.parallel != self.usual
    }

    /// Returns how many loads of this time at once may include one that no request needs: less than
    /// requests may need. Until that many have been seen to end in their time, a store that serves
    /// one at a time has to be free again after [`MAX_AHEAD_TIME`].
    pub fn parallel_ahead(&self, load_time: Duration) -> usize {
        let free = self.parallel.saturating_sub(1);
        let bounded = (MAX_AHEAD_TIME.as_secs_f64() / load_time.as_secs_f64()) as usize;
        free.min(bounded.max(self.proven + 1)).max(1)
    }

    /// Takes the loads in progress, by engine, each with the time that it takes alone, and the number of
    /// those of which nothing else is known. `is_loaded` tells whether a load has ended well.
    pub fn update(
        &mut self,
        loads: &BTreeMap<Arc<str>, Duration>,
        unknown: usize,
        is_loaded: impl Fn(&str) -> bool,
        now: Moment,
    ) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let count = self.running.len() + unknown;
        for load in self.running.values_mut() {
            for (i, done) in load.done.iter_mut().enumerate() {
                *done += elapsed.mul_f64(part(i + 1, count));
            }
        }
        for (engine, load) in &self.running {
            let is_over = !loads.contains_key(engine) && is_loaded(engine);
            if is_over {
                self.proven = self.proven.max(load.least_parallel());
            }
        }
        self.running.retain(|engine, _| loads.contains_key(engine));
        for (engine, needed) in loads {
            self.running.entry(engine.clone()).or_insert(Running {
                needed: *needed,
                done: [Duration::ZERO; MAX_PARALLEL],
            });
        }
        self.learn(now);
    }

    fn learn(&mut self, now: Moment) {
        let is_refuted = |parallel| self.running.values().any(|l| l.is_overdue(parallel));
        let mut parallel = self.parallel;
        while parallel > 1 && is_refuted(parallel) {
            parallel -= 1;
        }
        let is_idle = now.saturating_sub(self.changed_at) >= RETRY_PERIOD;
        if parallel == self.parallel && parallel < self.usual && is_idle {
            parallel += 1;
        }
        if parallel == self.parallel {
            return;
        }
        let (known, loads) = (self.parallel, self.running.len());
        log::info!(parallel, known, loads; "loads that the weight store serves at full speed");
        self.parallel = parallel;
        self.proven = self.proven.min(parallel);
        self.changed_at = now;
    }

    /// Returns the time until a load in progress at an engine has ended, if known.
    pub fn time_left(&self, engine: &str) -> Option<Duration> {
        let load = self.running.get(engine)?;
        let left = load.needed.saturating_sub(load.done[self.parallel - 1]);
        Some(left.div_f64(part(self.parallel, self.running.len())))
    }
}

/// Returns the part of its full speed at which each of `count` loads runs.
fn part(parallel: usize, count: usize) -> f64 {
    (parallel as f64 / count.max(1) as f64).min(1.0)
}
