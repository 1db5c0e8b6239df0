//! Runs a small cluster of real processes. Each test uses addresses of its own.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(missing_docs, reason = "used by tests only")]
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

use kitetrail_core::TaskId;
use kitetrail_platform::JsonClient;
use kitetrail_standins::journal::{CallerEntry, WorkerEntry, WorkerEvent, shared_clock_ms};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;

/// The time that a test waits for a condition, far longer than any condition should take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub struct TestCluster {
    pub dir: PathBuf,
    network_prefix: String,
    workers: usize,
    boxes: usize,
    zones: usize,
    pub extra_settings: String,
    processes: BTreeMap<String, Child>,
}

impl TestCluster {
    /// Creates a cluster without starting it. `test_id` must differ between the tests of one
    /// process.
    pub fn new(test_id: u8, workers: usize, boxes: usize) -> Self {
        let network_prefix = format!("127.{}.{test_id}", 10 + std::process::id() % 200);
        let dir = std::env::temp_dir().join(format!("kitetrail-{}-{test_id}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        let extra_settings = String::new();
        Self {
            dir,
            network_prefix,
            workers,
            boxes,
            zones: 2,
            extra_settings,
            processes: BTreeMap::new(),
        }
    }

    /// Starts all processes and waits until every entry box is ready.
    pub fn start(&mut self) {
        self.start_platform();
        for number in 1..=self.workers {
            self.start_worker(number, &[]);
        }
        for number in 1..=self.boxes {
            self.start_box(number);
        }
        for number in 1..=self.boxes {
            self.wait_until_ready(number);
        }
    }

    pub fn start_platform(&mut self) {
        fs::write(self.dir.join("fleet.toml"), self.fleet_toml()).unwrap();
        let (table, boxes) =
            (self.table_address().to_string(), self.box_list_address().to_string());
        let fleet = self.dir.join("fleet.toml");
        self.spawn("table", "kitetrail-standins", &["table", "--listen", &table]);
        let fleet = fleet.to_str().unwrap().to_owned();
        let args = ["box-list", "--listen", &boxes, "--fleet", &fleet, "--lag-ms", "500"];
        self.spawn("box-list", "kitetrail-standins", &args);
        for address in [self.table_address(), self.box_list_address()] {
            self.wait_until("the platform accepts connections", || {
                TcpStream::connect(address).is_ok()
            });
        }
    }

    pub fn start_worker(&mut self, number: usize, extra_args: &[&str]) {
        let (control, endpoint) = (self.control_address(number), self.endpoint_address(number));
        let id = format!("worker-{number}");
        let journal = self.worker_journal(number);
        let (control, endpoint) = (control.to_string(), endpoint.to_string());
        let mut args = vec![
            "worker",
            "--id",
            &id,
            "--control",
            &control,
            "--endpoint",
            &endpoint,
            "--journal",
            journal.to_str().unwrap(),
            "--cpu",
            "16",
            "--memory",
            "60GiB",
        ];
        args.extend(extra_args);
        self.spawn(&id, "kitetrail-standins", &args);
    }

    pub fn start_box(&mut self, number: usize) {
        let path = self.dir.join(format!("entry-{number}.toml"));
        fs::write(&path, self.box_settings(number)).unwrap();
        let args = ["--settings", path.to_str().unwrap()];
        self.spawn(&format!("entry-{number}"), "kitetraild", &args);
    }

    pub fn wait_until_ready(&self, number: usize) {
        self.wait_until(&format!("entry-{number} is ready"), || {
            self.http_status(self.operators_address(number), "/readyz") == Some(200)
        });
    }

    pub fn wait_until_healthy(&self, number: usize) {
        self.wait_until(&format!("entry-{number} is healthy"), || {
            self.http_status(self.operators_address(number), "/healthz") == Some(200)
        });
    }

    /// Sends a signal to a process that this test started.
    pub fn signal(&self, name: &str, signal: Signal) {
        let child = &self.processes[name];
        kill(Pid::from_raw(child.id() as i32), signal).unwrap();
    }

    pub fn process_id(&self, name: &str) -> u32 {
        self.processes[name].id()
    }

    /// Kills a process with SIGKILL. The kill of a worker is recorded in its journal.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
        if let Some(number) = name.strip_prefix("worker-") {
            let journal = self.worker_journal(number.parse().unwrap());
            let mut journal = kitetrail_standins::journal::Journal::open(&journal).unwrap();
            let event = WorkerEvent::Killed;
            journal.add(&WorkerEntry { at_ms: shared_clock_ms(), event });
        }
    }

    /// Stops a process with SIGTERM and returns whether it exited successfully.
    pub fn stop_gracefully(&mut self, name: &str) -> bool {
        self.signal(name, Signal::SIGTERM);
        self.processes.remove(name).unwrap().wait().unwrap().success()
    }

    /// Waits until a condition holds, and panics with the logs after `WAIT_TIMEOUT`.
    pub fn wait_until(&self, condition: &str, mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "timed out waiting until {condition}\n{}",
                self.log_tails()
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Runs the command-line tool against an entry box.
    pub fn run_cli(&self, number: usize, args: &[&str]) -> Output {
        let daemon = self.operators_address(number).to_string();
        let mut command = Command::new(program("kitetrail"));
        command.args(["--daemon", &daemon, "--output", "json"]).args(args).output().unwrap()
    }

    /// Runs the command-line tool, which must succeed, and returns its JSON output.
    pub fn run_cli_json(&self, number: usize, args: &[&str]) -> Value {
        let output = self.run_cli(number, args);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {error}\n{}", self.log_tails());
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Creates a service and waits until every running entry box knows all of its endpoints.
    pub fn create_service(&self, name: &str, replicas: usize) {
        let count = replicas.to_string();
        let args =
            ["service", "create", name, "--team", "desk", "--replicas", &count, "--cpu", "2"];
        self.run_cli_json(1, &args);
        for number in 1..=self.boxes {
            if self.processes.contains_key(&format!("entry-{number}")) {
                self.wait_for_endpoints(number, name, replicas);
            }
        }
    }

    pub fn wait_for_endpoints(&self, number: usize, service: &str, count: usize) {
        self.wait_until(&format!("entry-{number} knows {count} endpoints of {service}"), || {
            self.endpoint_count(number, service) == Some(count)
        });
    }

    pub fn endpoint_count(&self, number: usize, service: &str) -> Option<usize> {
        let status = self.run_cli_json(number, &["status"]);
        let services = status["services"].as_array()?;
        let found = services.iter().find(|view| view["service"] == service)?;
        found["endpoints"].as_u64().map(|count| count as usize)
    }

    /// Returns the number of tasks of a spec that are at a stage.
    pub fn task_count(&self, number: usize, kind: &str, name: &str, stage: &str) -> u64 {
        let status = self.run_cli(number, &[kind, "show", name]);
        let status: Value = serde_json::from_slice(&status.stdout).unwrap_or_default();
        status["summary"][stage].as_u64().unwrap_or(0)
    }

    pub fn wait_for_job(&self, number: usize, job: &str, tasks: u64) {
        self.wait_until(&format!("{tasks} tasks of {job} are done"), || {
            self.task_count(number, "job", job, "done") == tasks
        });
    }

    /// Returns the number of the entry box that owns a shard.
    pub fn shard_owner(&self, shard: &str) -> Option<usize> {
        let running = |n: &usize| self.processes.contains_key(&format!("entry-{n}"));
        (1..=self.boxes).filter(running).find(|number| {
            let status = self.run_cli(*number, &["status"]);
            let status: Value = serde_json::from_slice(&status.stdout).unwrap_or_default();
            let shards = status["shards"].as_array().cloned().unwrap_or_default();
            shards.iter().any(|view| view["shard"] == shard && view["owned"] == true)
        })
    }

    /// Starts callers that write the outcomes of their calls to a journal of that name.
    pub fn start_callers(&mut self, name: &str, args: &[&str]) {
        let journal = self.caller_journal(name);
        let mut all = vec!["caller", "--journal", journal.to_str().unwrap(), "--prefix", name];
        all.extend(args);
        self.spawn(name, "kitetrail-standins", &all);
    }

    /// Waits for callers to end and returns the outcomes of their calls.
    pub fn wait_for_callers(&mut self, name: &str) -> Vec<CallerEntry> {
        let mut child = self.processes.remove(name).unwrap();
        let status = child.wait().unwrap();
        assert!(
            status.success(),
            "the callers {name} failed or got a wrong answer\n{}",
            self.log_tails()
        );
        read_lines(&self.caller_journal(name))
    }

    /// Checks the journals of all workers and of the given callers against the promises, and that
    /// each job, given as `NAME:TASKS`, has completed.
    pub fn check_journals(&self, callers: &[&str], jobs: &[&str]) {
        let join = |paths: Vec<PathBuf>| {
            let paths: Vec<String> = paths.iter().map(|p| p.display().to_string()).collect();
            paths.join(",")
        };
        let workers = join((1..=self.workers).map(|n| self.worker_journal(n)).collect());
        let answers = join(callers.iter().map(|name| self.caller_journal(name)).collect());
        let mut command = Command::new(program("kitetrail-standins"));
        command.args(["judge", "--workers", &workers]);
        if !callers.is_empty() {
            command.args(["--callers", &answers]);
        }
        for job in jobs {
            command.args(["--job", job]);
        }
        let output = command.output().unwrap();
        let stdout = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{stdout}\n{}", self.log_tails());
    }

    pub fn worker_entries(&self, number: usize) -> Vec<WorkerEntry> {
        read_lines(&self.worker_journal(number))
    }

    /// Returns the number of times that a task started, over all workers.
    pub fn task_start_count(&self, task: &str) -> usize {
        let task: TaskId = task.parse().unwrap();
        let entries = (1..=self.workers).flat_map(|number| self.worker_entries(number));
        let is_start = |entry: &WorkerEntry| matches!(&entry.event, WorkerEvent::Start { task: started, .. } if *started == task);
        entries.filter(is_start).count()
    }

    /// Sets the faults of the table.
    pub fn set_table_faults(&self, faults: Value) {
        let uri = format!("http://{}/v1/faults", self.table_address());
        self.post_json(&uri, faults);
    }

    /// Sets the state of a box or worker in the box list.
    pub fn set_box_state(&self, id: &str, state: &str) {
        let uri = format!("http://{}/v1/boxes/{id}", self.box_list_address());
        self.post_json(&uri, serde_json::json!({ "state": state }));
    }

    /// Returns the content of a resource of the platform as text.
    pub fn get_text(&self, uri: &str) -> String {
        let uri = uri.parse().unwrap();
        runtime().block_on(async {
            let client = JsonClient::new("test", Duration::from_secs(5));
            let mut request = hyper::Request::new(http_body_util::Full::default());
            *request.uri_mut() = uri;
            let (_, body) = client.send(request).await.unwrap();
            String::from_utf8_lossy(&body).into_owned()
        })
    }

    pub fn http_status(&self, address: SocketAddr, path: &str) -> Option<u16> {
        let uri = format!("http://{address}{path}").parse().unwrap();
        runtime().block_on(async {
            let client = JsonClient::new("test", Duration::from_secs(2));
            let mut request = hyper::Request::new(http_body_util::Full::default());
            *request.uri_mut() = uri;
            client.send(request).await.ok().map(|(status, _)| status.as_u16())
        })
    }

    pub fn table_address(&self) -> SocketAddr {
        format!("{}.1:7100", self.network_prefix).parse().unwrap()
    }

    pub fn box_list_address(&self) -> SocketAddr {
        format!("{}.1:7101", self.network_prefix).parse().unwrap()
    }

    pub fn callers_address(&self, number: usize) -> SocketAddr {
        format!("{}.{}:7001", self.network_prefix, 10 + number).parse().unwrap()
    }

    pub fn operators_address(&self, number: usize) -> SocketAddr {
        format!("{}.{}:7002", self.network_prefix, 10 + number).parse().unwrap()
    }

    pub fn control_address(&self, number: usize) -> SocketAddr {
        format!("{}.{}:7101", self.network_prefix, 100 + number).parse().unwrap()
    }

    pub fn endpoint_address(&self, number: usize) -> SocketAddr {
        format!("{}.{}:7102", self.network_prefix, 100 + number).parse().unwrap()
    }

    pub fn all_callers_addresses(&self) -> String {
        let all: Vec<String> =
            (1..=self.boxes).map(|n| self.callers_address(n).to_string()).collect();
        all.join(",")
    }

    /// Returns the log of a process.
    pub fn process_log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Returns the last lines of the logs of all entry boxes, for the message of a failed test.
    pub fn log_tails(&self) -> String {
        let names = (1..=self.boxes).map(|number| format!("entry-{number}"));
        let tail = |name: String| {
            let log = self.process_log(&name);
            let lines: Vec<&str> = log.lines().collect();
            let last = lines[lines.len().saturating_sub(25)..].join("\n");
            format!("--- {name}\n{last}\n")
        };
        names.map(tail).collect()
    }

    fn peers_address(&self, number: usize) -> SocketAddr {
        format!("{}.{}:7003", self.network_prefix, 10 + number).parse().unwrap()
    }

    fn worker_journal(&self, number: usize) -> PathBuf {
        self.dir.join(format!("worker-{number}.journal"))
    }

    fn caller_journal(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.journal"))
    }

    fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.zones)
    }

    fn fleet_toml(&self) -> String {
        let mut text = String::new();
        for n in 1..=self.workers {
            text += &format!(
                "[[workers]]\nid = \"worker-{n}\"\ncontrol = \"{}\"\nendpoint = \"{}\"\nzone = \"{}\"\nrack = 0\nstate = \"live\"\ncapacity = {{ cpu_millis = 16000, memory_mb = 61440, accelerators = 0 }}\n",
                self.control_address(n),
                self.endpoint_address(n),
                self.zone(n)
            );
        }
        for n in 1..=self.boxes {
            text += &format!(
                "[[boxes]]\nid = \"entry-{n}\"\npeer = \"{}\"\nzone = \"{}\"\nstate = \"live\"\n",
                self.peers_address(n),
                self.zone(n)
            );
        }
        text
    }

    fn box_settings(&self, number: usize) -> String {
        format!(
            "box_id = \"entry-{number}\"\nzone = \"{}\"\n[listen]\ncallers = \"{}\"\noperators = \"{}\"\npeers = \"{}\"\n[platform]\ntable = \"{}\"\nbox_list = \"{}\"\nbox_list_poll_ms = 300\n{}",
            self.zone(number),
            self.callers_address(number),
            self.operators_address(number),
            self.peers_address(number),
            self.table_address(),
            self.box_list_address(),
            self.extra_settings
        )
    }

    fn spawn(&mut self, name: &str, executable: &str, args: &[&str]) {
        let log = self.dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(program(executable))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.processes.insert(name.to_owned(), child);
    }

    fn post_json(&self, uri: &str, body: Value) {
        let uri = uri.parse().unwrap();
        runtime().block_on(async {
            let client = JsonClient::new("test", Duration::from_secs(5));
            let request = client.json_request(uri, &body).unwrap();
            let (status, _) = client.send(request).await.unwrap();
            assert!(status.is_success(), "{status}");
        });
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns the path of a program of the workspace, built in the same target directory as the test.
pub fn program(name: &str) -> PathBuf {
    let test_path = std::env::current_exe().unwrap();
    let path = test_path.parent().and_then(Path::parent).unwrap().join(name);
    assert!(path.exists(), "{} is missing: run `cargo build --workspace`", path.display());
    path
}

pub fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

fn read_lines<T: serde::de::DeserializeOwned>(path: &Path) -> Vec<T> {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}
