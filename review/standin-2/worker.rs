//! A stand-in for a machine and the worker that lives on it.
//!
//! It does what the pages say of workers under `call`: fence numbers, leases on its own clock, ends
//! that are repeated until `last_seen` reaches them, room, and a gauge for each run.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, Server},
    json::Json,
    record::Recorder,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_100);
/// An entry lapses after three heartbeats of silence.
const ENTRY_LAPSES_AFTER: Duration = Duration::from_millis(3_300);
const HOLD_MAX_MS: u64 = 6_000;
/// A stop takes at most 900 ms.
const STOP_TAKES: Duration = Duration::from_millis(200);
const MAX_LISTED_ENDS: usize = 500;
/// A task that lasts is at work after a short start.
const START_OF_LASTING: Duration = Duration::from_millis(400);
/// How long a member of a gang waits for the others, as `gang_ms`.
const GANG_WAIT: Duration = Duration::from_millis(3_000);

/// What a task asks for and how it behaves, by job and step.
#[derive(Debug, Clone, Default)]
pub struct Behaviour {
    pub cpu: u64,
    pub mem_mb: u64,
    /// How long it works at full speed.
    pub work_ms: u64,
    pub lasts: bool,
    pub fills: bool,
    /// The lowest tail of its answers' times, for a task that serves; 0 for others.
    pub tail_ms: u64,
    /// The number of members if the tasks of the step are a gang, 0 otherwise.
    pub gang: u64,
}

/// The runs of gangs, on all workers, by `JOB.K.STEP` and run.
#[derive(Default)]
pub struct Gangs(Mutex<BTreeMap<(String, u64), GangRun>>);

/// A run of a gang.
#[derive(Debug, Clone, Default)]
struct GangRun {
    present: BTreeSet<String>,
    /// When the last member joined.
    complete_at: Option<Instant>,
    /// Whether a member ended otherwise than `done`.
    is_broken: bool,
}

impl Gangs {
    fn with<T>(&self, task: &str, run: u64, change: impl FnOnce(&mut GangRun) -> T) -> T {
        let step = task.rsplit_once('.').map_or("", |(step, _)| step).to_owned();
        change(self.0.lock().expect("lock").entry((step, run)).or_default())
    }

    fn join(&self, task: &str, run: u64, members: u64) {
        self.with(task, run, |gang| {
            gang.present.insert(task.to_owned());
            if gang.present.len() as u64 == members {
                gang.complete_at.get_or_insert(Instant::now());
            }
        });
    }

    fn leave(&self, task: &str, run: u64, how: &str) {
        self.with(task, run, |gang| gang.is_broken |= how != "done");
    }

    fn state(&self, task: &str, run: u64) -> GangRun {
        self.with(task, run, |gang| gang.clone())
    }
}

/// The behaviour of all tasks, by `JOB.STEP`.
#[derive(Default)]
pub struct Behaviours(Mutex<BTreeMap<String, Behaviour>>);

impl Behaviours {
    pub fn add(&self, job: &str, step: usize, behaviour: Behaviour) {
        self.0.lock().expect("lock").insert(format!("{job}.{step}"), behaviour);
    }

    fn of(&self, task: &str) -> Option<Behaviour> {
        let parts = task.split('.').collect::<Vec<_>>();
        let key = format!("{}.{}", parts.first()?, parts.get(2)?);
        self.0.lock().expect("lock").get(&key).cloned()
    }
}

struct Run {
    run: u64,
    behaviour: Behaviour,
    started: Instant,
    /// The work done so far, up to `advanced`.
    done_ms: f64,
    advanced: Instant,
    pace_percent: u64,
    stops_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// A life of a worker.
struct Life {
    id: String,
    started: Instant,
    /// The clock at the start.
    first_clock_ms: u64,
    token: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run of each task that was stopped or ended here.
    over: BTreeMap<String, u64>,
    seq_no: u64,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.first_clock_ms + self.started.elapsed().as_millis() as u64
    }
}

/// A machine, whose worker may crash and come back with a new id at the same address.
pub struct Machine {
    name: String,
    labels: Vec<String>,
    cpu: u64,
    mem_mb: u64,
    service: String,
    store: Arc<Store>,
    behaviours: Arc<Behaviours>,
    gangs: Arc<Gangs>,
    recorder: Arc<Recorder>,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    server: Mutex<Option<Arc<Server>>>,
    lives: Mutex<u64>,
    ended: AtomicBool,
}

impl Machine {
    /// Starts a machine with its first worker.
    pub fn start(
        name: &str,
        labels: &[&str],
        (cpu, mem_mb): (u64, u64),
        service: &str,
        store: &Arc<Store>,
        (behaviours, gangs): (&Arc<Behaviours>, &Arc<Gangs>),
        recorder: &Arc<Recorder>,
    ) -> Arc<Self> {
        let machine = Arc::new(Self {
            name: name.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu,
            mem_mb,
            service: service.to_owned(),
            store: Arc::clone(store),
            behaviours: Arc::clone(behaviours),
            gangs: Arc::clone(gangs),
            recorder: Arc::clone(recorder),
            life: Mutex::new(None),
            changed: Condvar::new(),
            server: Mutex::new(None),
            lives: Mutex::new(0),
            ended: AtomicBool::new(false),
        });
        let served = Arc::clone(&machine);
        let server = Server::start(Arc::new(move |request| served.answer(request)));
        *machine.server.lock().expect("lock") = Some(server);
        machine.begin_life();
        let beating = Arc::clone(&machine);
        thread::spawn(move || beating.tick());
        machine
    }

    /// Crashes the worker: it says nothing, and all that it ran is gone.
    pub fn crash(&self) {
        let life = self.life.lock().expect("lock").take();
        let Some(life) = life else { return };
        let tasks = life.runs.iter().map(|(task, run)| format!("{task}/{}", run.run));
        let tasks = tasks.collect::<Vec<_>>().join(" ");
        self.recorder.note(&format!("worker {} on {} crashed with [{tasks}]", life.id, self.name));
        for (task, run) in life.runs.iter().filter(|(_, run)| run.behaviour.gang > 0) {
            self.gangs.leave(task, run.run, "crashed");
        }
        self.changed.notify_all();
        if let Some(server) = self.server.lock().expect("lock").as_ref() {
            server.take_down();
        }
        // Its entry goes after three heartbeats of silence.
        let store = Arc::clone(&self.store);
        thread::spawn(move || {
            thread::sleep(ENTRY_LAPSES_AFTER);
            store.remove("servers", &life.id);
        });
    }

    /// Starts a worker again, with a new id at the same address.
    pub fn boot(&self) {
        if let Some(server) = self.server.lock().expect("lock").as_ref() {
            server.bring_up();
        }
        self.begin_life();
    }

    /// Returns the runs on the worker: each task, its run and how long it has run.
    pub fn running(&self) -> Vec<(String, u64, Duration)> {
        let life = self.life.lock().expect("lock");
        let runs = life.iter().flat_map(|life| &life.runs);
        runs.map(|(task, run)| (task.clone(), run.run, run.started.elapsed())).collect()
    }

    /// Returns the processor time that the runs on the worker reserve, in thousandths of a core.
    pub fn used_cpu(&self) -> u64 {
        let life = self.life.lock().expect("lock");
        life.iter().flat_map(|life| life.runs.values()).map(|run| run.behaviour.cpu).sum()
    }

    fn begin_life(&self) {
        let number = {
            let mut lives = self.lives.lock().expect("lock");
            *lives += 1;
            *lives
        };
        let life = Life {
            id: format!("i-{}-{number}", self.name),
            started: Instant::now(),
            first_clock_ms: 10_000 * number,
            token: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
            seq_no: 0,
        };
        self.recorder.note(&format!("worker {} begins on {}", life.id, self.name));
        let mut current = self.life.lock().expect("lock");
        *current = Some(life);
        if let Some(life) = current.as_mut() {
            self.beat(life);
        }
    }

    /// Writes the worker's entry.
    fn beat(&self, life: &mut Life) {
        life.seq_no += 1;
        let address = self.server.lock().expect("lock").as_ref().map(|server| server.address);
        let address = address.map(|address| address.to_string()).unwrap_or_default();
        let labels = self.labels.iter().map(|label| Json::text(label)).collect();
        let capacity = Json::object(vec![
            ("cpu", Json::number(self.cpu)),
            ("mem_mb", Json::number(self.mem_mb)),
            ("gpu", Json::number(0)),
        ]);
        let entry = Json::object(vec![
            ("service", Json::text(&self.service)),
            ("address", Json::text(&address)),
            ("zone", Json::text("hall-a")),
            ("version", Json::text("v1")),
            ("slots", Json::number(8)),
            ("state", Json::text("ready")),
            ("cold_left_ms", Json::number(0)),
            ("capacity", capacity),
            ("labels", Json::List(labels)),
            ("clock_ms", Json::number(life.clock_ms())),
            ("seq_no", Json::number(life.seq_no)),
        ]);
        self.store.put("servers", &life.id, &entry);
    }

    /// Writes the entry at each heartbeat and ends runs that are over.
    fn tick(&self) {
        let mut beaten = Instant::now();
        while !self.ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
            let mut current = self.life.lock().expect("lock");
            let Some(life) = current.as_mut() else { continue };
            if beaten.elapsed() >= HEARTBEAT {
                beaten = Instant::now();
                self.beat(life);
            }
            if self.advance(life) {
                self.changed.notify_all();
            }
        }
    }

    /// Ends the runs that are over by now. Returns whether there were any.
    fn advance(&self, life: &mut Life) -> bool {
        let now = Instant::now();
        let has_lapsed = life.clock_ms() >= life.lease_until_ms;
        let mut over = Vec::new();
        for (task, run) in &mut life.runs {
            let share = if run.behaviour.fills { run.pace_percent as f64 / 100.0 } else { 1.0 };
            run.done_ms += now.duration_since(run.advanced).as_secs_f64() * 1_000.0 * share;
            run.advanced = now;
            let how = match run.stops_at {
                _ if has_lapsed => Some("lapsed"),
                Some(at) if at <= now => Some("stopped"),
                _ if run.behaviour.gang > 0 => {
                    let gang = self.gangs.state(task, run.run);
                    let worked = gang.complete_at.map(|at| now.duration_since(at));
                    run.done_ms = worked.map_or(0.0, |worked| worked.as_secs_f64() * 1_000.0);
                    match worked {
                        _ if gang.is_broken => Some("broken"),
                        Some(worked) if worked.as_millis() as u64 >= run.behaviour.work_ms => {
                            Some("done")
                        }
                        None if now.duration_since(run.started) >= GANG_WAIT => Some("alone"),
                        _ => None,
                    }
                }
                _ if !run.behaviour.lasts && run.done_ms >= run.behaviour.work_ms as f64 => {
                    Some("done")
                }
                _ => None,
            };
            over.extend(how.map(|how| (task.clone(), how)));
        }
        let any = !over.is_empty();
        for (task, how) in over {
            self.end(life, &task, how);
        }
        any
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else { return };
        life.last_end += 1;
        let over = life.over.entry(task.to_owned()).or_default();
        *over = run.run.max(*over);
        let number = life.last_end;
        life.ends.push(End { number, task: task.to_owned(), run: run.run, how });
        let lasts = run.behaviour.lasts;
        if run.behaviour.gang > 0 {
            self.gangs.leave(task, run.run, how);
        }
        self.recorder.end(&life.id, task, run.run, how, lasts);
    }

    fn answer(&self, request: &Request) -> Option<(u16, Json)> {
        let mut current = self.life.lock().expect("lock");
        let life = current.as_mut()?;
        let expected = request.header("kitetrail-expected-instance");
        if !expected.is_empty() && expected != life.id {
            return Some((421, Json::Null));
        }
        self.advance(life);
        let body = &request.body;
        let clock_ms = life.clock_ms();
        let accepted = (200, Json::object(vec![("clock_ms", Json::number(clock_ms))]));
        let refused = |reason: &str| {
            let fields = vec![("clock_ms", Json::number(clock_ms)), ("reason", Json::text(reason))];
            Some((409, Json::object(fields)))
        };
        let token = body.get("fencing_token").as_u64();
        if token < life.token {
            return refused("fence");
        }
        life.token = token;
        let (task, number) = (body.get("task").as_str().to_owned(), body.get("run").as_u64());
        let deadline_ms = body.get("deadline_ms").as_u64().min(clock_ms + HOLD_MAX_MS);
        match request.path.as_str() {
            "/v1/run-start" => {
                if deadline_ms <= clock_ms {
                    return refused("late");
                }
                // It is also taken from a start that gets `old` or `room`.
                life.lease_until_ms = life.lease_until_ms.max(deadline_ms);
                if life.runs.get(&task).is_some_and(|run| run.run == number) {
                    return Some(accepted);
                }
                let is_over = life.over.get(&task).is_some_and(|over| number <= *over);
                if is_over || life.runs.contains_key(&task) {
                    return refused("old");
                }
                let Some(behaviour) = self.behaviours.of(&task) else {
                    self.recorder.note(&format!("UNASKED start of {task}"));
                    return Some((400, Json::Null));
                };
                if !self.has_room(life, &behaviour) {
                    return refused("room");
                }
                self.recorder.start(&life.id, &task, number);
                let (started, pace_percent) = (Instant::now(), 100);
                let run = Run {
                    run: number,
                    behaviour,
                    started,
                    done_ms: 0.0,
                    advanced: started,
                    pace_percent,
                    stops_at: None,
                };
                if run.behaviour.gang > 0 {
                    self.gangs.join(&task, run.run, run.behaviour.gang);
                }
                life.runs.insert(task, run);
                Some(accepted)
            }
            "/v1/run-stop" => {
                match life.runs.get_mut(&task).filter(|run| run.run <= number) {
                    Some(run) => {
                        run.stops_at.get_or_insert(Instant::now() + STOP_TAKES);
                    }
                    None => {
                        let over = life.over.entry(task).or_default();
                        *over = number.max(*over);
                    }
                }
                Some(accepted)
            }
            "/v1/pace" => {
                if let Some(run) = life.runs.get_mut(&task).filter(|run| run.run == number) {
                    run.pace_percent = body.get("percent").as_u64().min(100);
                }
                Some(accepted)
            }
            "/v1/hold" => {
                life.lease_until_ms = life.lease_until_ms.max(deadline_ms);
                let last_seen = body.get("last_seen").as_u64();
                life.ends.retain(|end| end.number > last_seen);
                let id = life.id.clone();
                let wait = Duration::from_millis(body.get("wait_ms").as_u64().min(2_000));
                let until = Instant::now() + wait;
                loop {
                    let now = Instant::now();
                    let life = current.as_mut().filter(|life| life.id == id)?;
                    if !life.ends.is_empty() || now >= until {
                        return Some((200, report(life)));
                    }
                    current = self.changed.wait_timeout(current, until - now).expect("lock").0;
                }
            }
            _ => Some((404, Json::Null)),
        }
    }

    fn has_room(&self, life: &Life, behaviour: &Behaviour) -> bool {
        let reserved = life.runs.values().filter(|run| !run.behaviour.fills);
        let cpu = reserved.map(|run| run.behaviour.cpu).sum::<u64>();
        let mem_mb = life.runs.values().map(|run| run.behaviour.mem_mb).sum::<u64>();
        let cpu_fits = behaviour.fills || cpu + behaviour.cpu <= self.cpu;
        cpu_fits && mem_mb + behaviour.mem_mb <= self.mem_mb
    }
}

fn report(life: &Life) -> Json {
    let running = life.runs.iter().map(|(task, run)| {
        let percent = match run.behaviour.lasts {
            true if run.started.elapsed() >= START_OF_LASTING => 100,
            true => 0,
            false => (run.done_ms as u64 * 100 / run.behaviour.work_ms.max(1)).min(99),
        };
        let gauge = match run.behaviour.tail_ms {
            0 => run.behaviour.cpu * if run.behaviour.fills { run.pace_percent } else { 100 } / 100,
            tail_ms => {
                // Its own load swings.
                let phase = life.started.elapsed().as_secs_f64() * 0.45;
                (tail_ms as f64 / (1.0 - 0.35 - 0.1 * phase.sin())) as u64
            }
        };
        Json::List(vec![
            Json::text(task),
            Json::number(run.run),
            Json::text(""),
            Json::number(percent),
            Json::number(gauge),
        ])
    });
    let ended = life.ends.iter().take(MAX_LISTED_ENDS).map(|end| {
        Json::List(vec![
            Json::number(end.number),
            Json::text(&end.task),
            Json::number(end.run),
            Json::text(end.how),
            Json::text(""),
        ])
    });
    Json::object(vec![
        ("clock_ms", Json::number(life.clock_ms())),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
}
