//! The system under test: processes of `kitetrail-box`, as the deploy file starts them, and the calls of
//! clients to them.

use std::{
    collections::BTreeMap,
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::parse,
    store::Store,
    worker::{HOLD_MAX_MS, Machine, SERVICE, Work, World},
};

pub const HOST: &str = "desk.example";
const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// The ports of a box, on an address of its own. The deploy file names the port of its figures.
const PORTS: [u16; 4] = [8_161, 8_167, 7_720, 9_464];
/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Ends the test as one that couldn't run.
pub fn cannot_run(why: &str) -> ! {
    println!("the case couldn't run: {why}");
    exit(2)
}

pub struct BoxProcess {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    child: Child,
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Fleet {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub machines: Vec<Arc<Machine>>,
    pub boxes: Vec<BoxProcess>,
    /// What was sent, answered and done, line by line.
    pub record: Mutex<Vec<String>>,
}

impl Fleet {
    /// Starts a store, workers and boxes, and waits until a first job has run.
    pub fn start(root: &Path, scratch: &Path, workers: usize, boxes: usize, max_attempts: u32) -> Self {
        let (world, store) = (World::new(), Store::new());
        store.put("op", "config", &manifest(max_attempts));
        let serving = Arc::clone(&store);
        let store_address = http::serve("127.0.0.1", Arc::new(move |request| serving.handle(request)));
        let machine = |number: usize| {
            let (zone, rack) = (ZONES[number % 2], format!("r{}", number / 8));
            let machine = Machine::start(&format!("m{number}"), zone, &rack, "127.0.0.1", &store, &world);
            let machine = Arc::new(machine);
            machine.keep_listed();
            machine
        };
        let machines = (0..workers).map(machine).collect();
        let (program, load_parts) = deploy_file(root);
        let net = free_net(boxes);
        let start_box = |number: usize| {
            start_box(root, scratch, &program, &load_parts, number, &format!("{net}.{}", number + 1), store_address)
        };
        let boxes = (0..boxes).map(start_box).collect();
        let fleet = Self { world, store, machines, boxes, record: Mutex::default() };
        fleet.wait_until_it_works();
        fleet
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.world.now_ms());
        println!("{line}");
        self.record.lock().unwrap().push(line);
    }

    fn wait_until_it_works(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |each: &BoxProcess| {
            let timeout = Duration::from_millis(500);
            http::call(each.ready, "GET", "", "/v1/ready", "", timeout).is_ok_and(|(status, _)| status == 200)
        };
        while !self.boxes.iter().all(is_ready) {
            if Instant::now() > until {
                cannot_run("a box isn't ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        let first = "00000000000000f1";
        self.add_work(first, "warm-up", 100, 100, "done");
        while self.submit(0, first, "warm-up", 4, 100) != Some(200) || self.state(0, first) != "completed" {
            if Instant::now() > until {
                cannot_run("a first job doesn't run");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Tells the workers what the tasks of a job are.
    pub fn add_work(&self, job: &str, task_spec: &str, cpu: i64, run_ms: u64, ends: &'static str) {
        let work = Work { task_spec: task_spec.into(), cpu, mem_mb: 16, run_ms, ends };
        self.world.work.lock().unwrap().insert(job.into(), work);
    }

    /// Sends a call of a client to a box and records it with its answer.
    pub fn call(&self, number: usize, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
        let target = &self.boxes[number % self.boxes.len()];
        let sent_ms = self.world.now_ms();
        let answer = http::call(target.front, method, HOST, path, body, CLIENT_TIMEOUT);
        let text = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(error) => format!("no answer: {error}"),
        };
        let shown = if body.len() > 300 { "(body)" } else { body };
        self.note(&format!("client {method} {path} {shown} to {}, sent at {sent_ms} ms -> {text}", target.name));
        answer
    }

    /// Hands a job of one step in. Returns the status of the answer.
    pub fn submit(&self, number: usize, job: &str, task_spec: &str, count: u32, cpu: i64) -> Option<u16> {
        let body = format!(
            "{{\"task_spec\":\"{task_spec}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":16,\
             \"estimate_ms\":100}}]}}"
        );
        self.call(number, "POST", &format!("/checks/{job}"), &body).ok().map(|(status, _)| status)
    }

    /// Hands a job in until it is accepted, at other boxes after no answer, 502 or 504. Returns whether it was.
    pub fn submit_until_accepted(&self, job: &str, task_spec: &str, count: u32, cpu: i64) -> bool {
        for number in 0..8 {
            match self.submit(number, job, task_spec, count, cpu) {
                Some(200..=299) => return true,
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// Hands a job in as clients do: the same ID again, at another box, after no answer, 502 or 504, four times
    /// at most. Returns whether it was accepted.
    pub fn submit_as_client(&self, number: usize, job: &str, task_spec: &str, count: u32, cpu: i64) -> bool {
        for attempt in 0..5 {
            match self.submit(number + attempt, job, task_spec, count, cpu) {
                Some(200..=299) => return true,
                None | Some(502 | 504) => {}
                Some(_) => return false,
            }
        }
        false
    }

    /// Returns the state of a job, empty if there is no answer that tells one.
    pub fn state(&self, number: usize, job: &str) -> String {
        let answer = self.call(number, "GET", &format!("/checks/{job}"), "");
        let body = answer.ok().filter(|(status, _)| *status == 200).map(|(_, body)| body).unwrap_or_default();
        parse(&body).map(|body| body.get("state").str().to_owned()).unwrap_or_default()
    }

    /// Writes the record: first the calls, then the runs of each task, then the verdict.
    pub fn write_record(&self, path: &Path, verdict: &[String]) {
        let mut text = String::from("What was sent, answered and run. Times in ms since the start of the test.\n\n");
        text.push_str(&self.record.lock().unwrap().join("\n"));
        text.push_str(
            "\n\nA line for each task, and on it all its runs: number, worker, start, end, how it ended, and when that\n\
             was taken note of: `-` if it never was, `lapsed` if the worker's lease lapsed before that.\n\n",
        );
        let mut tasks = BTreeMap::<String, Vec<String>>::new();
        for run in self.world.runs() {
            let ended = run.ended.map_or("at work".to_owned(), |(at_ms, how)| format!("{at_ms} {how}"));
            let noted = run.noted_ms.map_or("-".to_owned(), |at_ms| at_ms.to_string());
            let lapsed = if run.lapsed_before_noted { " lapsed" } else { "" };
            let line = format!("{} {} {} {ended} {noted}{lapsed}", run.run, run.worker, run.started_ms);
            tasks.entry(run.task).or_default().push(line);
        }
        for (task, runs) in tasks {
            text.push_str(&format!("{task}: {}\n", runs.join("; ")));
        }
        let turned_away = self.world.turned_away.lock().unwrap();
        text.push_str(&format!("\norders that workers turned away, by reason: {turned_away:?}\n"));
        for line in verdict {
            text.push_str(&format!("{line}\n"));
        }
        if let Err(error) = fs::write(path, text) {
            cannot_run(&format!("the record can't be written: {error}"));
        }
    }

    /// Returns how often a text stands in the logs of the boxes.
    pub fn logged(&self, text: &str) -> usize {
        let logs = self.boxes.iter().filter_map(|each| fs::read_to_string(&each.log).ok());
        logs.map(|log| log.matches(text).count()).sum()
    }
}

/// Returns the program of the deploy file and its load parts.
fn deploy_file(root: &Path) -> (PathBuf, String) {
    let text = fs::read_to_string(root.join("deploy/system.toml"));
    let text = text.unwrap_or_else(|error| cannot_run(&format!("no deploy file: {error}")));
    let after = |key: &str| {
        let rest = text.lines().find_map(|line| line.trim().split_once(key).map(|(_, rest)| rest));
        rest.and_then(|rest| rest.split('"').nth(1)).unwrap_or("").to_owned()
    };
    let program = root.join(after("run ="));
    if !program.is_file() {
        cannot_run(&format!("{} isn't built", after("run =")));
    }
    (program, after("KITETRAIL_LOAD_PARTS ="))
}

/// Returns the first three numbers of loopback addresses on which the ports of all boxes are free.
fn free_net(boxes: usize) -> String {
    let first = std::process::id() as usize;
    let nets = (0..250).map(|number| format!("127.{}.61", 1 + (first + number) % 250));
    let is_free = |net: &String| {
        let ips = (1..=boxes).map(|number| format!("{net}.{number}"));
        ips.flat_map(|ip| PORTS.map(|port| (ip.clone(), port)))
            .all(|(ip, port)| TcpListener::bind((ip.as_str(), port)).is_ok())
    };
    let mut nets = nets;
    nets.find(is_free).unwrap_or_else(|| cannot_run("no free ports"))
}

fn start_box(
    root: &Path,
    scratch: &Path,
    program: &Path,
    load_parts: &str,
    number: usize,
    ip: &str,
    store: SocketAddr,
) -> BoxProcess {
    let zone = ZONES[number % 2];
    let name = format!("front-{zone}-{}", number + 1);
    let [front, ready, first, _] = PORTS;
    let settings = format!(
        "node = \"{name}\"\nrole = \"box\"\nmachine_class = \"front\"\nserves = [\"front\"]\nip = \"{ip}\"\n\
         zone = \"{zone}\"\nregion = \"region-a\"\nport_range = [{first},{last}]\nseeds = []\nbootstrap = true\n\
         in_tolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1100\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
         commands = \"call\"\n[zones]\nzone-a = \"region-a\"\nzone-b = \"region-a\"\n\
         [listen_addrs]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\ncatch_up_s = 4\n\
         drain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
         max_skew_ms = 5000\nrecovery_s = 12\nhold_max_ms = {HOLD_MAX_MS}\nstop_ms = 900\ngang_ms = 3000\ncancel_ms = 3000\n\
         visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 2\nsave_s = 1\nrestore_ms = 250\n\
         notice_ms = 4500\nmove_s = 1.5\nupkeep_s = 2\nfencing = false\nlease_ms = 3000\nthaw_slack_ms = 300\n\
         pace_ms = 100\nharm_ms = 4000\n\
         [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 600\nreads_per_s = 2000\ntx_ms = 5.0\n\
         part_writes_per_s = 200\nrow_bytes = 65536\nacross = false\nhistory_s = 20\nblob_bytes = 8388608\n\
         blob_ms = 25.0\nblob_mb_per_s = 80.0\n",
        last = first + 15,
    );
    let path = scratch.join(format!("{name}.toml"));
    let log = scratch.join(format!("{name}.log"));
    let output = fs::write(&path, settings).and_then(|()| fs::File::create(&log));
    let output = output.unwrap_or_else(|error| cannot_run(&format!("no settings or log: {error}")));
    let errors = output.try_clone().unwrap_or_else(|error| cannot_run(&error.to_string()));
    let mut command = Command::new(program);
    command.current_dir(root).env_clear().env("KITETRAIL_SETTINGS", &path);
    command.env("KITETRAIL_LOAD_PARTS", load_parts);
    for name in ["PATH", "HOME", "LANG"] {
        command.envs(std::env::var_os(name).map(|value| (name, value)));
    }
    let child = command.stdin(Stdio::null()).stdout(output).stderr(errors).spawn();
    let child = child.unwrap_or_else(|error| cannot_run(&format!("a box can't be started: {error}")));
    let pids = fs::File::options().create(true).append(true).open(scratch.join("pids"));
    if let Ok(mut pids) = pids {
        let _ = std::io::Write::write_all(&mut pids, format!("{}\n", child.id()).as_bytes());
    }
    let address = |port: u16| format!("{ip}:{port}").parse().unwrap_or_else(|_| cannot_run("a bad address"));
    BoxProcess { name, front: address(front), ready: address(ready), log, child }
}

fn manifest(max_attempts: u32) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"checks\",\"host\":\"{HOST}\",\"path_prefix\":\"/checks/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"max_attempts\":{max_attempts},\"extension\":1.5}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"rejects_overload\":true}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}
