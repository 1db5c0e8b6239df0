//! A small deployment: the store, workers, boxes and a manifest.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    boxes::BoxProcess,
    http::{self, Server},
    json::Json,
    record::Recorder,
    store::Store,
    worker::{Behaviour, Behaviours, Gangs, Machine},
};

pub const HOST: &str = "desk.example";
pub const SERVICE: &str = "desk";
/// The second service of the deployments that have two.
pub const OTHER_SERVICE: &str = "books";

/// A queue of the manifest.
pub struct Queue {
    pub name: &'static str,
    pub service: &'static str,
    pub priority: u64,
    pub max_attempts: u64,
    pub extension: f64,
    pub target_latency_ms: u64,
}

/// A step of a job.
#[derive(Clone, Default)]
pub struct Step {
    pub count: u64,
    pub estimate_ms: u64,
    pub behaviour: Behaviour,
    pub constraint: &'static str,
    pub image: String,
    pub target_ms: u64,
    pub may_miss: Option<u64>,
    pub anti_affinity: u64,
    pub depends_on: Vec<u64>,
}

impl Step {
    fn json(&self) -> Json {
        let Behaviour { cpu, mem_mb, lasts, fills, gang, .. } = self.behaviour;
        let mut fields = vec![
            ("count", Json::number(self.count)),
            ("cpu", Json::number(cpu)),
            ("mem_mb", Json::number(mem_mb)),
            ("estimate_ms", Json::number(self.estimate_ms)),
        ];
        if lasts {
            fields.push(("long_running", Json::Bool(true)));
        }
        if gang > 0 {
            fields.push(("gang", Json::Bool(true)));
        }
        if fills {
            fields.push(("fills", Json::Bool(true)));
        }
        for (name, text) in [("constraints", self.constraint), ("image", &self.image)] {
            if !text.is_empty() {
                fields.push((name, Json::text(text)));
            }
        }
        for (name, number) in [("target_ms", self.target_ms), ("anti_affinity", self.anti_affinity)]
        {
            if number > 0 {
                fields.push((name, Json::number(number)));
            }
        }
        fields.extend(self.may_miss.map(|number| ("may_miss", Json::number(number))));
        if !self.depends_on.is_empty() {
            let steps = self.depends_on.iter().map(|step| Json::number(*step)).collect();
            fields.push(("depends_on", Json::List(steps)));
        }
        Json::object(fields)
    }
}

/// A small deployment. Its processes end when it is dropped.
pub struct Site {
    pub recorder: Arc<Recorder>,
    pub store: Arc<Store>,
    pub store_server: Arc<Server>,
    pub behaviours: Arc<Behaviours>,
    pub gangs: Arc<Gangs>,
    pub machines: Vec<Arc<Machine>>,
    pub boxes: Vec<BoxProcess>,
    directory: PathBuf,
}

impl Site {
    /// Starts the store with a manifest. Workers and boxes come after.
    pub fn start(folder: &Path, queues: &[Queue], each_run: bool) -> Self {
        let recorder = Recorder::new(&folder.join("record.txt"), each_run);
        let recorder = Arc::new(recorder.expect("the record"));
        let directory = env::temp_dir().join(format!("review-2-{}", process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let (store, store_server) = Store::start();
        store.put("op", "config", &manifest(queues));
        Self {
            recorder,
            store,
            store_server,
            behaviours: Arc::default(),
            gangs: Arc::default(),
            machines: Vec::new(),
            boxes: Vec::new(),
            directory,
        }
    }

    pub fn add_machine(&mut self, name: &str, labels: &[&str], size: (u64, u64)) -> Arc<Machine> {
        self.add_machine_of(SERVICE, name, labels, size)
    }

    pub fn add_machine_of(
        &mut self,
        service: &str,
        name: &str,
        labels: &[&str],
        size: (u64, u64),
    ) -> Arc<Machine> {
        let machine = Machine::start(
            name,
            labels,
            size,
            service,
            &self.store,
            (&self.behaviours, &self.gangs),
            &self.recorder,
        );
        self.machines.push(Arc::clone(&machine));
        machine
    }

    /// Starts boxes. Returns whether all are ready in time.
    pub fn start_boxes(&mut self, count: u8) -> bool {
        for number in 1..=count {
            self.boxes.push(BoxProcess::start(number, self.store_server.address, &self.directory));
        }
        self.boxes.iter().all(|each| each.wait_until_ready(Duration::from_secs(10)))
    }

    /// Returns the body of a job, and tells the workers how its tasks behave.
    pub fn job_body(&self, job: &str, steps: &[Step]) -> String {
        for (number, step) in steps.iter().enumerate() {
            self.behaviours.add(job, number, step.behaviour.clone());
        }
        let steps = steps.iter().map(Step::json).collect();
        let fields = vec![("task_spec", Json::text("work")), ("steps", Json::List(steps))];
        Json::object(fields).write()
    }

    /// Hands a job in. A client tries again at another box after no answer, 502 or 504, and after a
    /// refusal. Returns the last status.
    pub fn submit(&self, queue: &str, job: &str, steps: &[Step]) -> u16 {
        let body = self.job_body(job, steps);
        let mut status = 0;
        for attempt in 0..8 {
            let to = &self.boxes[attempt % self.boxes.len()];
            let path = format!("/{queue}/{job}");
            status = http::call(to.front, "POST", HOST, &path, &body, Duration::from_secs(3)).0;
            self.recorder.note(&format!("POST {path} at {}: {status}", to.name));
            if (200..300).contains(&status) {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        status
    }

    /// Asks a box for the state of a job. Returns the state, or the status if there is none.
    pub fn state(&self, at: usize, queue: &str, job: &str) -> String {
        let path = format!("/{queue}/{job}");
        let to = &self.boxes[at];
        let wait = Duration::from_secs(3);
        let (status, body) = http::call(to.front, "GET", HOST, &path, "", wait);
        match body.get("state").as_str() {
            "" => status.to_string(),
            state => state.to_owned(),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // For a look at a play: the boxes' logs.
        if let Ok(kept) = env::var("KEEP_LOGS") {
            for each in &self.boxes {
                let _ = fs::write(Path::new(&kept).join(&each.name), each.log());
            }
        }
        self.boxes.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn manifest(queues: &[Queue]) -> Json {
    let route = |queue: &Queue| {
        Json::object(vec![
            ("name", Json::text(queue.name)),
            ("host", Json::text(HOST)),
            ("path_prefix", Json::text(&format!("/{}/", queue.name))),
            ("kind", Json::text("non_idempotent")),
            ("timeout_ms", Json::number(3_000)),
            ("target_latency_ms", Json::number(queue.target_latency_ms)),
            ("priority", Json::number(queue.priority)),
            ("service", Json::text(queue.service)),
            ("max_attempts", Json::number(queue.max_attempts)),
            ("extension", Json::Number(queue.extension)),
        ])
    };
    let service = |name: &&str| {
        Json::object(vec![
            ("name", Json::text(name)),
            ("rejects_overload", Json::Bool(true)),
            ("spare", Json::Bool(false)),
        ])
    };
    let mut services = queues.iter().map(|queue| queue.service).collect::<Vec<_>>();
    services.sort_unstable();
    services.dedup();
    let limits = Json::object(vec![
        ("max_header_bytes", Json::number(16_384)),
        ("max_body_bytes", Json::number(262_144)),
        ("header_timeout_ms", Json::number(3_000)),
        ("idle_timeout_ms", Json::number(15_000)),
    ]);
    Json::object(vec![
        ("version", Json::number(7)),
        ("routes", Json::List(queues.iter().map(route).collect())),
        ("services", Json::List(services.iter().map(service).collect())),
        ("limits", limits),
    ])
}

/// Waits until a condition holds. Returns whether it does in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
