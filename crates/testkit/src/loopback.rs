//! Simulators in real time, on sockets of the loopback interface: a key-value store and a cloud for real
//! controllers, and agents that send heartbeats to the controllers.

use crate::machines::{JobFacts, Machine};
use crate::state::{KeyValueStore, Reply};
use crate::time::{Micros, MILLISECOND, SECOND};
use grebewood_net::blocking;
use grebewood_wire::http::{
    Catalogue, HeartbeatResponse, ListedMachine, MachineList, MachineNames, MachineType, Redirect,
};
use grebewood_wire::{from_cbor, to_cbor};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often agents check what is due, and the delay of the response to a watch.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long agents keep their tasks without a response to a heartbeat.
const AGENT_LEASE_US: Micros = 10 * SECOND;
/// How often agents send a heartbeat.
const HEARTBEAT_INTERVAL_US: Micros = 500 * MILLISECOND;

/// The launches and completions of the tasks of all agents.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// The machine of each task that is on a machine now.
    machine_of_task: BTreeMap<String, String>,
    /// The number of launches of each task.
    pub starts: BTreeMap<String, u64>,
    /// The number of completions of each task that completed.
    pub completed: BTreeMap<String, u64>,
    /// Tasks that were launched on a machine while they were on another one.
    pub duplicate_executions: Vec<String>,
    /// The largest number of tasks of each team that were on machines at the same time. A team is identified by
    /// the first characters of its jobs' ids.
    pub peak_tasks_by_team: BTreeMap<String, u64>,
}

/// The number of characters at the start of a job's id that identify its team.
const TEAM_PREFIX_CHARACTERS: usize = "req-1".len();

impl ExecutionLog {
    /// Counts the tasks of each team that are on machines now and raises the peaks that they exceed.
    fn update_peaks(&mut self) {
        let mut tasks_by_team: BTreeMap<String, u64> = BTreeMap::new();
        for task in self.machine_of_task.keys() {
            let team: String = task.chars().take(TEAM_PREFIX_CHARACTERS).collect();
            *tasks_by_team.entry(team).or_insert(0) += 1;
        }
        for (team, tasks) in tasks_by_team {
            let peak = self.peak_tasks_by_team.entry(team).or_insert(0);
            *peak = tasks.max(*peak);
        }
    }
}

/// The state that the servers and agents of a cluster share.
struct Shared {
    started_at: Instant,
    store: Mutex<KeyValueStore>,
    execution_log: Mutex<ExecutionLog>,
    job_facts: BTreeMap<String, JobFacts>,
    terminated: Mutex<BTreeSet<String>>,
    machines: Vec<String>,
    is_stopped: AtomicBool,
}

/// A cluster without its controllers: the key-value store, the cloud and the agents.
#[derive(Clone)]
pub struct Cluster(Arc<Shared>);

/// Locks a mutex, also after a thread has panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves HTTP requests on a free port, each connection on its own thread. `respond` maps the method, path and
/// body of a request to the status and body of its response.
fn serve(
    respond: impl Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Clone + Send + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = respond.clone();
            // An error on one connection does not affect the others.
            std::thread::spawn(move || serve_connection(stream, respond));
        }
    });
    Ok(address)
}

/// Serves the requests of a connection until the client closes it.
fn serve_connection(
    stream: TcpStream,
    respond: impl Fn(&str, &str, &[u8]) -> (u16, Vec<u8>),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let method = words.next().unwrap_or_default().to_string();
        let path = words.next().unwrap_or_default().to_string();
        let mut body = vec![0; read_headers(&mut reader)?];
        reader.read_exact(&mut body)?;
        let (status, body) = respond(&method, &path, &body);
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.into_bytes(), body].concat())?;
    }
}

/// Reads the headers of a request. Returns the length of the request's body.
fn read_headers(reader: &mut impl BufRead) -> std::io::Result<usize> {
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            return Ok(length);
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
}

impl Cluster {
    /// Returns a cluster of this many machines whose agents know these jobs.
    pub fn new(machine_count: usize, job_facts: BTreeMap<String, JobFacts>) -> Cluster {
        Cluster(Arc::new(Shared {
            started_at: Instant::now(),
            store: Mutex::default(),
            execution_log: Mutex::default(),
            job_facts,
            terminated: Mutex::default(),
            machines: (0..machine_count)
                .map(|index| format!("n-{index:06}"))
                .collect(),
            is_stopped: AtomicBool::new(false),
        }))
    }

    /// Returns the time since the cluster was created.
    fn now(&self) -> Micros {
        self.0.started_at.elapsed().as_micros() as Micros
    }

    /// Locks and returns the key-value store.
    pub fn store(&self) -> MutexGuard<'_, KeyValueStore> {
        lock(&self.0.store)
    }

    /// Locks and returns the log of launches and completions.
    pub fn execution_log(&self) -> MutexGuard<'_, ExecutionLog> {
        lock(&self.0.execution_log)
    }

    /// Stops the agents.
    pub fn stop_agents(&self) {
        self.0.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Serves the key-value store over HTTP and returns its address.
    pub fn serve_store(&self) -> std::io::Result<SocketAddr> {
        let cluster = self.clone();
        serve(move |method, path, body| cluster.handle_store_request(method, path, body))
    }

    /// Returns the key-value store's response to a request.
    fn handle_store_request(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        // A watch does not block, whether a key has changed or not, because the controller sends it again.
        let nonblocking_path = path.replace("block_ms=10000", "block_ms=0");
        let is_watch = nonblocking_path != path;
        let response = {
            let mut store = self.store();
            let now = self.now();
            store.expire_leases(now);
            match store.handle_request(now, 0, method, &nonblocking_path, body) {
                Reply::Now(status, body) => (status, body),
                Reply::Later => {
                    let ready = store.take_ready_watches(now).into_iter().next();
                    (200, ready.map(|(_, body)| body).unwrap_or_default())
                }
            }
        };
        if is_watch {
            std::thread::sleep(POLL_INTERVAL);
        }
        response
    }

    /// Serves a simulated cloud over HTTP and returns its address. It lists the machines of this cluster as running
    /// and of the given type, and refuses every provision request for lack of capacity.
    pub fn serve_cloud(&self, machine_type: MachineType) -> std::io::Result<SocketAddr> {
        let cluster = self.clone();
        serve(move |method, path, body| {
            match (method, path.split('?').next().unwrap_or_default()) {
                ("GET", "/machine_types") => {
                    let machine_types = vec![machine_type.clone()];
                    (200, to_cbor(&Catalogue { machine_types }))
                }
                ("GET", "/rentals") => (200, to_cbor(&cluster.machine_list(&machine_type))),
                ("POST", "/rentals/release") => {
                    let names = from_cbor::<MachineNames>(body).map(|names| names.machines);
                    lock(&cluster.0.terminated).extend(names.unwrap_or_default());
                    (200, to_cbor(&BTreeMap::<String, u64>::new()))
                }
                _ => (503, to_cbor(&BTreeMap::from([("error", "no capacity")]))),
            }
        })
    }

    fn machine_list(&self, machine_type: &MachineType) -> MachineList {
        let terminated = lock(&self.0.terminated);
        let listed = self
            .0
            .machines
            .iter()
            .filter(|name| !terminated.contains(*name));
        let listed = listed.map(|name| ListedMachine {
            id: name.clone(),
            address: None,
            machine_type: machine_type.name.clone(),
            zone: "a".into(),
            spot: false,
            status: "running".into(),
            age_s: 60.0,
        });
        MachineList {
            machines: listed.collect(),
            has_more: false,
        }
    }

    /// Starts the agents, which send heartbeats to these controllers in real time.
    pub fn start_agents(&self, machine_type: &MachineType, fronts: &BTreeMap<String, SocketAddr>) {
        for (index, name) in self.0.machines.iter().enumerate() {
            let mut machine = Machine::new(name, machine_type, "a");
            machine.is_up = true;
            machine.lease_start = self.now();
            let agent = Agent {
                cluster: self.clone(),
                machine,
                fronts: fronts.clone(),
                front: fronts.values().nth(index % fronts.len()).copied(),
            };
            std::thread::spawn(move || agent.run());
        }
    }
}

/// The agent of a machine.
struct Agent {
    cluster: Cluster,
    machine: Machine,
    /// The addresses of the controllers' public interfaces by member name.
    fronts: BTreeMap<String, SocketAddr>,
    /// The address to which the agent sends heartbeats.
    front: Option<SocketAddr>,
}

impl Agent {
    /// Runs until the agents are stopped or the machine is terminated.
    fn run(mut self) {
        let shared = self.cluster.0.clone();
        while !shared.is_stopped.load(Ordering::Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
            if lock(&shared.terminated).contains(&self.machine.name) {
                self.remove_all_tasks();
                return;
            }
            let now = self.cluster.now();
            let incarnation = self.machine.incarnation;
            let (completed, changed) = self.machine.advance(now, AGENT_LEASE_US, &shared.job_facts);
            if self.machine.incarnation != incarnation {
                self.remove_all_tasks();
            }
            self.record_completions(completed);
            if changed || now >= self.machine.next_heartbeat {
                self.send_heartbeat(now);
            }
        }
    }

    /// Removes the tasks of this machine from the tasks that are on machines.
    fn remove_all_tasks(&self) {
        let own_name = &self.machine.name;
        let mut log = self.cluster.execution_log();
        log.machine_of_task.retain(|_, machine| machine != own_name);
    }

    /// Records tasks that completed on this machine.
    fn record_completions(&self, tasks: Vec<String>) {
        let mut log = self.cluster.execution_log();
        for task in tasks {
            log.machine_of_task.remove(&task);
            *log.completed.entry(task).or_insert(0) += 1;
        }
    }

    /// Sends a heartbeat and handles its response. After a redirect to another controller, the next heartbeat goes
    /// there at once; after any other failure it goes to the next controller after the usual interval.
    fn send_heartbeat(&mut self, now: Micros) {
        self.machine.next_heartbeat = now + HEARTBEAT_INTERVAL_US;
        let Some(front) = self.front else { return };
        let heartbeat = to_cbor(&self.machine.build_heartbeat(now));
        match blocking::request(front, "POST", "/checkin", &heartbeat) {
            Ok(response) if response.status == 200 => self.apply_response(now, &response.body),
            Ok(response) if response.status == 421 => {
                let redirect = from_cbor::<Redirect>(&response.body).ok();
                let leader = redirect.and_then(|redirect| redirect.controller);
                let leader = leader.and_then(|leader| self.fronts.get(&leader).copied());
                match leader.filter(|leader| *leader != front) {
                    Some(leader) => {
                        self.front = Some(leader);
                        self.machine.next_heartbeat = now;
                    }
                    None => self.try_next_controller(front),
                }
            }
            _ => self.try_next_controller(front),
        }
    }

    /// Directs the next heartbeat to the controller after this one.
    fn try_next_controller(&mut self, front: SocketAddr) {
        let all: Vec<SocketAddr> = self.fronts.values().copied().collect();
        let index = all.iter().position(|known| *known == front);
        let next = (index.unwrap_or(0) + 1) % all.len();
        self.front = all.get(next).copied();
    }

    /// Renews the lease and applies the commands of the response to a heartbeat, unless its fencing token is lower
    /// than the highest one that the agent has seen.
    fn apply_response(&mut self, sent_at: Micros, body: &[u8]) {
        let Ok(response) = from_cbor::<HeartbeatResponse>(body) else {
            return;
        };
        if response.token < self.machine.token {
            return;
        }
        self.machine.token = response.token;
        self.machine.lease_start = sent_at;
        let now = self.cluster.now();
        let job_facts = &self.cluster.0.job_facts;
        let launched = self
            .machine
            .apply_commands(now, &response.commands, job_facts);
        self.record_launches(launched);
    }

    /// Records the tasks that were launched on this machine, and removes those that are no longer on it.
    fn record_launches(&self, tasks: Vec<String>) {
        let own_name = &self.machine.name;
        let mut log = self.cluster.execution_log();
        for task in tasks {
            *log.starts.entry(task.clone()).or_insert(0) += 1;
            let previous = log.machine_of_task.insert(task.clone(), own_name.clone());
            if previous.is_some_and(|previous| previous != *own_name) {
                log.duplicate_executions.push(task);
            }
        }
        // Tasks that were stopped are no longer on the machine; the live tasks remain.
        let live = self
            .machine
            .live_tasks()
            .map(|task| task.task_name.as_str());
        let live: BTreeSet<&str> = live.collect();
        log.machine_of_task
            .retain(|task, machine| machine != own_name || live.contains(task.as_str()));
        log.update_peaks();
    }
}
