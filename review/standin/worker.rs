//! A stand-in for a worker, as PROTOCOL.md tells it, and the record of all that workers did.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{Json, parse, quoted},
    store::Store,
};

/// The service that all queues use.
pub const SERVICE: &str = "desk";
/// The interval of a worker's writes about itself: `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_100);
/// The longest lease: `hold_max_ms`.
pub const HOLD_MAX_MS: i64 = 6_000;
/// How long a stop takes; at most `stop_ms`, 900 ms.
const STOP_MS: u64 = 50;
/// The most ends in one answer.
const MAX_ENDS: usize = 500;
/// The room of a worker: 16 cores and 64 GB.
pub const CPU_MILLIS: i64 = 16_000;
pub const MEM_MB: i64 = 64_000;

/// What workers need to know of a job to run its tasks, as the platform knows its images.
#[derive(Clone)]
pub struct Work {
    pub task_spec: String,
    pub cpu: i64,
    pub mem_mb: i64,
    pub run_ms: u64,
    /// How its runs end: `done`, or `failed` for a job that can never be done.
    pub ends: &'static str,
}

/// A run, as its worker saw it. Times are milliseconds since the start of the test.
#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub run: i64,
    pub worker: String,
    pub started_ms: u64,
    pub ended: Option<(u64, &'static str)>,
    /// When `last_seen` reached the end.
    pub noted_ms: Option<u64>,
    /// Whether the worker's lease lapsed between the end and that.
    pub lapsed_before_noted: bool,
    ended_in_lapse: u64,
}

/// What all parts of a test share.
pub struct World {
    pub started: Instant,
    pub work: Mutex<HashMap<String, Work>>,
    lives: Mutex<Vec<Arc<Life>>>,
    /// Starts that nobody sent: of an unknown job, or with another `task_spec`.
    pub unasked: Mutex<Vec<String>>,
    /// Starts that workers turned away, by reason.
    pub turned_away: Mutex<HashMap<&'static str, u64>>,
}

impl World {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            work: Mutex::default(),
            lives: Mutex::default(),
            unasked: Mutex::default(),
            turned_away: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns all runs, in the order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for life in self.lives.lock().unwrap().iter() {
            runs.extend(life.state.lock().unwrap().runs.iter().cloned());
        }
        runs.sort_by_key(|run| (run.started_ms, run.task.clone(), run.run));
        runs
    }
}

#[derive(Default)]
struct State {
    fence: i64,
    /// The runs at work, by task: the run and its place in `runs`.
    running: HashMap<String, (i64, usize)>,
    /// The highest run stopped or ended, by task.
    highest: HashMap<String, i64>,
    ended: VecDeque<(i64, usize)>,
    last_end: i64,
    deadline_ms: i64,
    lapses: u64,
    in_lapse: bool,
    cpu: i64,
    mem_mb: i64,
    /// The sizes of the runs at work, by their place.
    sizes: HashMap<usize, (i64, i64)>,
    due: BinaryHeap<Reverse<(u64, String, i64, &'static str)>>,
    runs: Vec<Run>,
}

/// A worker's interface for orders.
pub struct Life {
    pub id: String,
    world: Arc<World>,
    /// The worker's steady clock at the start of the test.
    clock_start_ms: i64,
    state: Mutex<State>,
    changed: Condvar,
}

/// A machine with its worker.
pub struct Machine {
    name: String,
    rack: String,
    zone: String,
    address: SocketAddr,
    store: Arc<Store>,
    pub life: Arc<Life>,
}

impl Machine {
    pub fn start(name: &str, zone: &str, rack: &str, ip: &str, store: &Arc<Store>, world: &Arc<World>) -> Self {
        let life = Arc::new(Life {
            id: format!("i-{name}"),
            world: Arc::clone(world),
            clock_start_ms: 400_000,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&life);
        let address = http::serve(ip, Arc::new(move |request: &Request| serving.handle(request)));
        world.lives.lock().unwrap().push(Arc::clone(&life));
        let ticking = Arc::clone(&life);
        thread::spawn(move || tick(&ticking));
        let (rack, zone, store) = (rack.into(), zone.into(), Arc::clone(store));
        Self { name: name.into(), rack, zone, address, store, life }
    }

    /// Keeps the worker's entry in the store. Workers write directly, so that an outage that a test makes for
    /// the boxes' calls doesn't take workers from the list.
    pub fn keep_listed(self: &Arc<Self>) {
        let machine = Arc::clone(self);
        thread::spawn(move || {
            for seq_no in 1.. {
                machine.beat(seq_no);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn beat(&self, seq_no: u64) {
        self.store.put(
            "servers",
            &self.life.id,
            &format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":{seq_no},\"machine\":\"{}\",\
                 \"capacity\":{{\"cpu\":{CPU_MILLIS},\"mem_mb\":{MEM_MB},\"gpu\":0}},\"labels\":[\"a\",\"{}\"]}}",
                self.address, self.zone, self.name, self.rack
            ),
        );
    }
}

/// Ends runs when they are due, until the test ends.
fn tick(life: &Life) {
    loop {
        let mut state = life.state.lock().unwrap();
        if life.advance(&mut state) {
            life.changed.notify_all();
        }
        let wait = match state.due.peek() {
            Some(Reverse((due_ms, ..))) => due_ms.saturating_sub(life.world.now_ms()).clamp(1, 10),
            None => 10,
        };
        let _ = life.changed.wait_timeout(state, Duration::from_millis(wait));
    }
}

impl Life {
    fn clock_ms(&self) -> i64 {
        self.clock_start_ms + self.world.now_ms() as i64
    }

    /// Applies ends and lapses that are due by now. Returns whether a run ended.
    fn advance(&self, state: &mut State) -> bool {
        let (now_ms, clock_ms) = (self.world.now_ms(), self.clock_ms());
        let mut ended = false;
        while let Some(Reverse((due_ms, ..))) = state.due.peek()
            && *due_ms <= now_ms
            && let Some(Reverse((_, task, run, how))) = state.due.pop()
        {
            ended |= state.end(&task, run, how, now_ms);
        }
        if clock_ms >= state.deadline_ms && !state.in_lapse {
            state.in_lapse = true;
            state.lapses += 1;
            for (task, (run, _)) in state.running.clone() {
                ended |= state.end(&task, run, "lapsed", now_ms);
            }
        }
        ended
    }

    fn extend(&self, state: &mut State, deadline_ms: i64) {
        let clock_ms = self.clock_ms();
        state.deadline_ms = state.deadline_ms.max(deadline_ms.min(clock_ms + HOLD_MAX_MS));
        state.in_lapse = clock_ms >= state.deadline_ms;
    }

    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        let expected = request.header("kitetrail-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return Some((421, "{}".into()));
        }
        let Some(body) = parse(&request.body) else { return Some((400, "{}".into())) };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let token = body.get("fencing_token").int();
        if token < state.fence {
            return Some(self.refused("fence"));
        }
        state.fence = token;
        match request.path.as_str() {
            "/v1/run-start" => Some(self.start(&mut state, &body)),
            "/v1/run-stop" => Some(self.stop(&mut state, &body)),
            "/v1/pace" => Some(self.answer()),
            "/v1/hold" => {
                self.extend(&mut state, body.get("deadline_ms").int());
                state.note(body.get("last_seen").int(), self.world.now_ms());
                let until = Instant::now() + Duration::from_millis(body.get("wait_ms").int().clamp(0, 2_000) as u64);
                while state.ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                    self.advance(&mut state);
                }
                Some((200, self.report(&state)))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn answer(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn refused(&self, reason: &'static str) -> (u16, String) {
        *self.world.turned_away.lock().unwrap().entry(reason).or_default() += 1;
        (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn start(&self, state: &mut State, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("task").str(), body.get("run").int());
        self.extend(state, body.get("deadline_ms").int());
        if state.running.get(task).is_some_and(|(running, _)| *running == run) {
            return self.answer();
        }
        let is_old = state.highest.get(task).is_some_and(|highest| run <= *highest);
        if is_old || state.running.contains_key(task) {
            return self.refused("old");
        }
        if state.in_lapse {
            return self.refused("late");
        }
        let job = task.split('.').next().unwrap_or("");
        let work = self.world.work.lock().unwrap().get(job).cloned();
        let Some(work) = work.filter(|work| work.task_spec == body.get("task_spec").str()) else {
            self.world.unasked.lock().unwrap().push(format!("{task} run {run} on {}", self.id));
            return self.refused("old");
        };
        if state.cpu + work.cpu > CPU_MILLIS || state.mem_mb + work.mem_mb > MEM_MB {
            return self.refused("room");
        }
        state.cpu += work.cpu;
        state.mem_mb += work.mem_mb;
        let now_ms = self.world.now_ms();
        let place = state.runs.len();
        state.runs.push(Run {
            task: task.into(),
            run,
            worker: self.id.clone(),
            started_ms: now_ms,
            ended: None,
            noted_ms: None,
            lapsed_before_noted: false,
            ended_in_lapse: 0,
        });
        state.running.insert(task.into(), (run, place));
        state.sizes.insert(place, (work.cpu, work.mem_mb));
        state.due.push(Reverse((now_ms + work.run_ms, task.into(), run, work.ends)));
        self.answer()
    }

    fn stop(&self, state: &mut State, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("task").str(), body.get("run").int());
        if state.running.get(task).is_none_or(|(running, _)| *running != run) {
            return self.refused("old");
        }
        state.due.push(Reverse((self.world.now_ms() + STOP_MS, task.into(), run, "stopped")));
        self.answer()
    }

    fn report(&self, state: &State) -> String {
        let running = state.running.iter().map(|(task, (run, place))| {
            let ran_ms = self.world.now_ms().saturating_sub(state.runs[*place].started_ms);
            let job = task.split('.').next().unwrap_or("");
            let run_ms = self.world.work.lock().unwrap().get(job).map_or(1, |work| work.run_ms.max(1));
            format!("[{},{run},\"\",{}]", quoted(task), (ran_ms * 100 / run_ms).min(99))
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ended = state.ended.iter().take(MAX_ENDS).map(|(number, place)| {
            let run = &state.runs[*place];
            let how = run.ended.map_or("", |(_, how)| how);
            format!("[{number},{},{},\"{how}\",\"\"]", quoted(&run.task), run.run)
        });
        let ended = ended.collect::<Vec<_>>().join(",");
        format!("{{\"clock_ms\":{},\"running\":[{running}],\"ended\":[{ended}]}}", self.clock_ms())
    }

    /// Returns the thousandths of a core in use.
    pub fn cpu_in_use(&self) -> i64 {
        self.state.lock().unwrap().cpu
    }

    /// Returns how many ends wait to be taken note of.
    pub fn unnoted(&self) -> usize {
        self.state.lock().unwrap().ended.len()
    }

    /// Returns the numbers of starts and of ends so far.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        (state.runs.len(), state.last_end as usize)
    }
}

impl State {
    fn end(&mut self, task: &str, run: i64, how: &'static str, now_ms: u64) -> bool {
        let Some((_, place)) = self.running.get(task).copied().filter(|(running, _)| *running == run) else {
            return false;
        };
        self.running.remove(task);
        let (cpu, mem_mb) = self.sizes.remove(&place).unwrap_or_default();
        self.cpu -= cpu;
        self.mem_mb -= mem_mb;
        let highest = self.highest.entry(task.into()).or_default();
        *highest = run.max(*highest);
        self.last_end += 1;
        self.ended.push_back((self.last_end, place));
        self.runs[place].ended = Some((now_ms, how));
        self.runs[place].ended_in_lapse = self.lapses;
        true
    }

    /// Drops the ends through `last_seen`, which are taken note of.
    fn note(&mut self, last_seen: i64, now_ms: u64) {
        while self.ended.front().is_some_and(|(number, _)| *number <= last_seen) {
            let Some((_, place)) = self.ended.pop_front() else { return };
            let lapses = self.lapses;
            let run = &mut self.runs[place];
            run.noted_ms = Some(now_ms);
            run.lapsed_before_noted = lapses > run.ended_in_lapse;
        }
    }
}
