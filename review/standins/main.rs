//! Runs one case of the review: `standins CASE RECORD`, in the repository's root. Exits with 1 if
//! the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod daemon;
mod engine;
mod http;
mod record;
mod requester;
mod store;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use daemon::Daemon;
use engine::{Engine, MODEL, Work};
use record::Record;
use requester::{Outcome, Plan};
use store::Store;

const SERVICE: &str = "drafting";
const HOST: &str = "ficu95.example";
/// Model that no request asks for.
const OTHER_MODEL: &str = "kade1464c7";

const SIGTERM: i32 = 15;

/// Maximum number of machines.
const MAX_MACHINES: usize = 6;

/// Time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(116);

/// A small deployment.
struct World {
    store: Arc<Store>,
    record: Arc<Record>,
    daemons: Vec<Daemon>,
    folder: PathBuf,
    network: String,
    trouble: bool,
}

impl World {
    fn new(record: Arc<Record>) -> Self {
        World::with_service(record, "")
    }

    /// Creates a deployment whose service has engines with a model.
    fn with_models(record: Arc<Record>) -> Self {
        let engine = r#","engine":{"slots":64,"kvCapacity":232000,"models":[{"name":"base151689","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.52},{"name":"kade1464c7","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.52}],"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":1.6}"#;
        World::with_service(record, engine)
    }

    fn with_service(record: Arc<Record>, engine: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("mastichinge-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let store = Store::new();
        // One route with streams that may be resumed, to one service.
        store.write("op", "config", Some(&format!(
            r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":17000,"latencyTargetMs":3000,"priority":1,"service":"{SERVICE}","attempts":2,"sticky":false,"resumable":true,"gapTargetMs":400}},{{"name":"r-2","host":"{HOST}","pathPrefix":"/pufi791/","kind":"stream","timeoutMs":6000,"latencyTargetMs":800,"priority":2,"service":"{SERVICE}","attempts":2,"sticky":false,"resumable":true,"gapTargetMs":400}}],"services":[{{"name":"{SERVICE}","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false{engine}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        )));
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        record.line(&format!("case begins, trouble: {trouble}"));
        World {
            store,
            record,
            daemons: Vec::new(),
            folder,
            network: daemon::free_network(MAX_MACHINES),
            trouble,
        }
    }

    fn start_daemons(&mut self, count: usize) {
        for _ in 0..count {
            self.add_daemon();
        }
        self.await_ready();
    }

    /// Starts one more machine.
    fn add_daemon(&mut self) {
        let number = self.daemons.len() + 1;
        let daemon = Daemon::start(&self.store, &self.folder, &self.network, number);
        self.record
            .line(&format!("machine {} at {}", daemon.name, daemon.front));
        self.daemons.push(daemon);
    }

    fn await_ready(&self) {
        for daemon in &self.daemons {
            if !daemon.await_ready(Duration::from_secs(10)) {
                self.record.line(&format!("{} is not ready", daemon.name));
                self.give_up();
            }
        }
        self.record.line("all machines are ready");
    }

    fn give_up(&self) -> ! {
        self.record.line("the case cannot run");
        daemon::kill_all();
        std::process::exit(2);
    }

    /// Starts `count` engines of a version.
    fn engines(&self, prefix: &str, version: &str, count: usize, work: Work) -> Vec<Arc<Engine>> {
        self.engines_in("derby", prefix, version, count, work)
    }

    fn engines_in(
        &self,
        zone: &str,
        prefix: &str,
        version: &str,
        count: usize,
        work: Work,
    ) -> Vec<Arc<Engine>> {
        let (store, record) = (&self.store, &self.record);
        let ids = (1..=count).map(|n| format!("{prefix}{n}"));
        ids.map(|id| {
            Engine::start(
                store,
                record,
                (SERVICE, zone),
                (&id, version),
                &[MODEL],
                work,
            )
        })
        .collect()
    }

    /// Waits until the process of a machine has ended, and kills it if it has not by `at`.
    fn await_end(&mut self, machine: usize, at: f64) {
        while self.record.now() < at && !self.daemons[machine].has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        let name = self.daemons[machine].name.clone();
        let ended = self.daemons[machine].has_ended();
        self.daemons[machine].kill();
        self.record.line(&format!(
            "the process of {name} has ended, by itself: {ended}"
        ));
    }

    /// Starts `count` requesters, each at the machines `order` gives for its number.
    fn requesters(
        &self,
        plan: &Plan,
        label: &str,
        count: usize,
        order: impl Fn(usize) -> Vec<usize>,
    ) -> Vec<JoinHandle<Outcome>> {
        (0..count)
            .map(|number| {
                let machines = order(number).into_iter();
                let fronts: Vec<SocketAddr> = machines.map(|m| self.daemons[m].front).collect();
                let (plan, record) = (plan.clone(), self.record.clone());
                let name = format!("{label}{number:03}");
                thread::spawn(move || requester::run(&plan, &name, &fronts, &record))
            })
            .collect()
    }

    fn until(&self, at: f64) {
        let left = at - self.record.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Checks ORDER: no more than two streams hold events of two versions, and none lacks an
    /// event or holds one twice.
    fn check_order(&self, outcomes: &[Outcome]) -> ExitCode {
        let (mut mixed, mut unordered) = (0, 0);
        for outcome in outcomes {
            if outcome.versions().len() > 1 {
                mixed += 1;
                let versions: Vec<_> = outcome.events.iter().map(|e| &*e.version).collect();
                self.record.line(&format!(
                    "MIXED VERSIONS {}: {}",
                    outcome.name,
                    versions.join(" ")
                ));
            }
            let ids = outcome.events.iter().map(|e| e.id);
            if !ids.eq(1..=outcome.events.len() as u64) {
                unordered += 1;
            }
        }
        let sum = |f: fn(&Outcome) -> u32| outcomes.iter().map(f).sum::<u32>();
        let (taken_up, went_on) = (sum(|o| o.taken_up), sum(|o| o.went_on));
        let begun = outcomes.iter().filter(|o| !o.events.is_empty()).count();
        let complete = outcomes.iter().filter(|o| o.complete).count();
        let count = outcomes.len();
        let text = format!(
            "{count} streams, {begun} begun, {complete} complete; {taken_up} attempts to take one \
             up, {went_on} went on; {mixed} with events of two versions, {unordered} out of order"
        );
        self.record.line(&text);
        println!("{text}");
        if begun * 2 < count {
            self.record.line("too few streams began");
            return ExitCode::from(2);
        }
        ExitCode::from(u8::from(mixed > 2 || unordered > 0))
    }
}

impl World {
    /// Checks LOST: of 12 or more streams that are taken up again while two engines of their version
    /// serve, the share that goes on is not under half of the share of new streams that begin.
    fn check_lost(&self, streams: &[Outcome], new: &[Outcome]) -> ExitCode {
        let taken_up = streams.iter().filter(|o| o.taken_up > 0).count();
        let went_on = streams.iter().filter(|o| o.went_on > 0).count();
        let begun = new.iter().filter(|o| !o.events.is_empty()).count();
        let count = new.len();
        let text =
            format!("{went_on} of {taken_up} streams go on; {begun} of {count} new ones begin");
        self.record.line(&text);
        println!("{text}");
        if !self.trouble && taken_up == 0 && streams.iter().all(|o| o.complete) {
            return ExitCode::SUCCESS;
        }
        if taken_up < 12 || begun * 2 < count {
            self.record.line("too few streams were taken up or began");
            return ExitCode::from(2);
        }
        let (share, begin_share) = (
            went_on as f64 / taken_up as f64,
            begun as f64 / count as f64,
        );
        ExitCode::from(u8::from(share < begin_share / 2.0))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.clear();
        match std::env::var("KEEP") {
            Ok(folder) => {
                let _ = fs::rename(&self.folder, folder);
            }
            Err(_) => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
    }
}

fn join(handles: Vec<JoinHandle<Outcome>>) -> Vec<Outcome> {
    let outcomes = handles.into_iter().map(|h| h.join().expect("a requester"));
    outcomes.collect()
}

fn plan(retries: u32) -> Plan {
    Plan {
        host: HOST.to_owned(),
        path: "/lohu930/2f".to_owned(),
        time_limit: Duration::from_secs(17),
        silence: Duration::from_secs(12),
        retries,
        most_events: usize::MAX,
        names_model: false,
    }
}

/// Order in which a requester tries the machines: all orders come up.
fn any_order(number: usize) -> Vec<usize> {
    let mut machines: Vec<_> = (0..5).collect();
    machines.rotate_left(number % 5);
    machines[1..].rotate_left(number / 5 % 4);
    machines
}

/// A service is released from version v1 to v2, and an engine of v1 is added again 91 s after the
/// last one has left. Then one process is killed, and its requesters take their streams up at the
/// other machines.
fn rollback(record: Arc<Record>) -> ExitCode {
    let mut world = World::new(record);
    let work = Work {
        events: 60,
        gap: Duration::from_millis(100),
    };
    let old = world.engines("i-a", "v1", 4, work);
    world.start_daemons(5);
    let ready_at = world.record.now();
    world.until(ready_at + 2.0);
    let _new = world.engines("i-b", "v2", 4, work);
    old.iter().for_each(|e| e.drain());
    world.until(ready_at + 4.0);
    old.iter().for_each(|e| e.leave());
    let gone_at = world.record.now();
    world.until(gone_at + 91.1);
    let _again = world.engines("i-c", "v1", 1, work);
    world.until(gone_at + 93.5);
    let streams = world.requesters(&plan(3), "s", 200, any_order);
    world.until(gone_at + 96.0);
    if world.trouble {
        world.record.line("the process of machine 1 is killed");
        world.daemons[0].kill();
        thread::sleep(Duration::from_millis(500));
        world.daemons[0].launch();
    }
    world.check_order(&join(streams))
}

/// A service is released from version v1 to v2, and an engine of v1 is added again. The store turns
/// machine 1 away meanwhile, which is then stopped as planned.
fn turned_away(record: Arc<Record>) -> ExitCode {
    let mut world = World::new(record);
    let work = Work {
        events: 75,
        gap: Duration::from_millis(200),
    };
    let old = world.engines("i-a", "v1", 4, work);
    world.start_daemons(5);
    let ready_at = world.record.now();
    world.until(ready_at + 2.0);
    let _new = world.engines("i-b", "v2", 4, work);
    old.iter().for_each(|e| e.drain());
    world.until(ready_at + 5.0);
    if world.trouble {
        world.record.line("the store turns machine 1 away with 503");
        world.daemons[0].refused.store(true, Ordering::SeqCst);
    }
    old.iter().for_each(|e| e.leave());
    world.until(ready_at + 5.3);
    let _again = world.engines("i-c", "v1", 1, work);
    world.until(ready_at + 5.5);
    world.record.line("machine 1 gets SIGTERM");
    world.daemons[0].signal(SIGTERM);
    world.until(ready_at + 6.5);
    let streams = world.requesters(&plan(3), "s", 60, any_order);
    world.await_end(0, ready_at + 13.9);
    world.daemons[0].refused.store(false, Ordering::SeqCst);
    world.record.line("the store serves machine 1 again");
    world.daemons[0].launch();
    world.check_order(&join(streams))
}

/// Two machines are stopped and started in turn. Between that, the store comes back from a copy
/// some seconds old.
fn drill(record: Arc<Record>) -> ExitCode {
    let mut world = World::new(record);
    let work = Work {
        events: 80,
        gap: Duration::from_millis(200),
    };
    let _old = world.engines("i-a", "v1", 2, work);
    world.start_daemons(5);
    let ready_at = world.record.now();
    world.until(ready_at + 2.0);
    let _new = world.engines("i-b", "v2", 2, work);
    world.until(ready_at + 5.0);
    world.record.line("machine 1 gets SIGTERM");
    world.daemons[0].signal(SIGTERM);
    world.until(ready_at + 7.2);
    world.store.copy();
    // Requesters whose list of machines is 2.3 s old.
    world.until(ready_at + 7.3);
    let streams = world.requesters(&plan(3), "s", 36, |_| vec![0, 1, 2, 3, 4]);
    world.await_end(0, ready_at + 13.0);
    // The requesters take their streams up at machine 2.
    thread::sleep(Duration::from_millis(400));
    if world.trouble {
        world.record.line("the store is away");
        world.store.away.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(200));
        let age = world.store.restore();
        world.store.away.store(false, Ordering::SeqCst);
        world
            .record
            .line(&format!("the store is back from a copy of {age:?} ago"));
    }
    world.daemons[0].launch();
    world.until(ready_at + 13.5);
    world.record.line("machine 2 gets SIGTERM");
    world.daemons[1].signal(SIGTERM);
    world.await_end(1, ready_at + 21.6);
    world.daemons[1].launch();
    world.check_order(&join(streams))
}

/// Two engines of ten, those of version v2, fall silent for 1.2 s while requests come. Later a machine
/// is added, at which streams begin; then it is removed as planned.
fn silence(record: Arc<Record>) -> ExitCode {
    let mut world = World::with_models(record);
    let plan = |retries| Plan {
        names_model: true,
        ..plan(retries)
    };
    let work = Work {
        events: 75,
        gap: Duration::from_millis(200),
    };
    let _old = world.engines_in("leicester", "i-a", "v1", 8, work);
    world.start_daemons(5);
    let ready_at = world.record.now();
    world.until(ready_at + 1.0);
    let new = world.engines("i-b", "v2", 2, work);
    world.until(ready_at + 5.0);
    if world.trouble {
        new.iter().for_each(|e| e.set_silent(true));
    }
    // Requesters that read the first event only, and leave.
    let short = Plan {
        most_events: 1,
        ..plan(0)
    };
    let short = world.requesters(&short, "short", 200, any_order);
    world.until(ready_at + 6.2);
    if world.trouble {
        new.iter().for_each(|e| e.set_silent(false));
    }
    join(short);
    world.until(ready_at + 12.0);
    let others = world.requesters(&plan(3), "new", 280, any_order);
    world.add_daemon();
    world.await_ready();
    world.until(ready_at + 13.5);
    let streams = world.requesters(&plan(3), "s", 18, |n| {
        let others = any_order(n);
        [5].into_iter().chain(others).collect()
    });
    world.until(ready_at + 14.0);
    world.record.line("machine 6 gets SIGTERM");
    world.daemons[5].signal(SIGTERM);
    let (streams, others) = (join(streams), join(others));
    world.check_order(&streams);
    world.check_lost(&streams, &others)
}

/// Of three engines of version v2, one holds the model of the requests, beside four of v1. It crashes,
/// and starts again empty after 3 s.
fn one_copy(record: Arc<Record>) -> ExitCode {
    let mut world = World::with_models(record);
    let plan = Plan {
        path: "/pufi791/2f".to_owned(),
        time_limit: Duration::from_secs(6),
        // The longest of 2 s, four objectives and eight pauses.
        silence: Duration::from_millis(3_200),
        names_model: true,
        ..plan(3)
    };
    let work = Work {
        events: 25,
        gap: Duration::from_millis(200),
    };
    let _old = world.engines("i-a", "v1", 4, work);
    let other = |id: &str, models: &[&str]| {
        let (store, record) = (&world.store, &world.record);
        Engine::start(store, record, (SERVICE, "derby"), (id, "v2"), models, work)
    };
    let _others = [other("i-b2", &[OTHER_MODEL]), other("i-b3", &[OTHER_MODEL])];
    let only = other("i-b1", &[MODEL]);
    world.start_daemons(5);
    let ready_at = world.record.now();
    world.until(ready_at + 8.0);
    let streams = world.requesters(&plan, "s", 150, any_order);
    world.until(ready_at + 9.0);
    if world.trouble {
        only.crash();
    }
    world.until(ready_at + 12.0);
    let _again = world.trouble.then(|| {
        let (store, record) = (&world.store, &world.record);
        Engine::start(store, record, (SERVICE, "derby"), ("i-b4", "v2"), &[], work)
    });
    world.until(ready_at + 12.2);
    let others = world.requesters(&plan, "new", 50, any_order);
    let (streams, others) = (join(streams), join(others));
    world.check_order(&streams);
    world.check_lost(&streams, &others)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let record = Record::create(&path);
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        watched.line("the case took too long");
        daemon::kill_all();
        std::process::exit(2);
    });
    let code = match &*case {
        "rollback" => rollback(record.clone()),
        "turned-away" => turned_away(record.clone()),
        "drill" => drill(record.clone()),
        "silence" => silence(record.clone()),
        "one-copy" => one_copy(record.clone()),
        _ => ExitCode::from(2),
    };
    record.line(&format!("exit: {code:?}"));
    code
}
