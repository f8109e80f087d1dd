//! The same stand-ins in real time, on sockets of the loopback interface: a key-value store and a cloud for
//! real controllers, and agents that send heartbeats to them.

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

/// How often agents check what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long agents keep their tasks without an answer.
const AGENT_LEASE: Micros = 10 * SECOND;
/// How often they send a heartbeat.
const HEARTBEAT_INTERVAL: Micros = 500 * MILLISECOND;

/// What happened to the tasks of all agents.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// Tasks on machines.
    live: BTreeMap<String, String>,
    /// How often each task came onto a machine.
    pub starts: BTreeMap<String, u64>,
    /// Tasks that completed, and how often.
    pub completed: BTreeMap<String, u64>,
    /// Tasks that came onto a machine while they were on another.
    pub duplicate_executions: Vec<String>,
    /// Most tasks that were on machines at once, by the first characters of their jobs' names.
    pub peak_tasks_by_team: BTreeMap<String, u64>,
}

/// So many characters of a job's name stand for its team.
const TEAM_CHARACTERS: usize = "req-1".len();

impl ExecutionLog {
    /// Counts the tasks of each team that are on machines now.
    fn note_most(&mut self) {
        let mut now: BTreeMap<String, u64> = BTreeMap::new();
        for task in self.live.keys() {
            let team: String = task.chars().take(TEAM_CHARACTERS).collect();
            *now.entry(team).or_insert(0) += 1;
        }
        for (team, tasks) in now {
            let most = self.peak_tasks_by_team.entry(team).or_insert(0);
            *most = tasks.max(*most);
        }
    }
}

/// What the servers and agents of a cluster share.
struct Shared {
    began: Instant,
    store: Mutex<KeyValueStore>,
    execution_log: Mutex<ExecutionLog>,
    job_facts: BTreeMap<String, JobFacts>,
    terminated: Mutex<BTreeSet<String>>,
    machines: Vec<String>,
    over: AtomicBool,
}

/// A cluster without its controllers.
#[derive(Clone)]
pub struct Cluster(Arc<Shared>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves requests, each on a connection of its own thread, with what `answer` makes of them.
fn serve(
    answer: impl Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Clone + Send + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            // A connection that ends, or sends no HTTP, concerns nobody else.
            std::thread::spawn(move || serve_connection(stream, answer));
        }
    });
    Ok(address)
}

/// Serves the requests of a connection until it ends.
fn serve_connection(
    stream: TcpStream,
    answer: impl Fn(&str, &str, &[u8]) -> (u16, Vec<u8>),
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
        let (status, body) = answer(&method, &path, &body);
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.into_bytes(), body].concat())?;
    }
}

/// Reads the headers of a request. The result is the length of its body.
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
    /// A cluster of so many machines that knows these jobs.
    pub fn new(machines: usize, job_facts: BTreeMap<String, JobFacts>) -> Cluster {
        Cluster(Arc::new(Shared {
            began: Instant::now(),
            store: Mutex::default(),
            execution_log: Mutex::default(),
            job_facts,
            terminated: Mutex::default(),
            machines: (0..machines).map(|index| format!("n-{index:06}")).collect(),
            over: AtomicBool::new(false),
        }))
    }

    fn now(&self) -> Micros {
        self.0.began.elapsed().as_micros() as Micros
    }

    /// The key-value store.
    pub fn store(&self) -> MutexGuard<'_, KeyValueStore> {
        lock(&self.0.store)
    }

    /// What happened to the tasks.
    pub fn execution_log(&self) -> MutexGuard<'_, ExecutionLog> {
        lock(&self.0.execution_log)
    }

    /// Ends the agents.
    pub fn stop_agents(&self) {
        self.0.over.store(true, Ordering::Relaxed);
    }

    /// Serves the key-value store.
    pub fn serve_store(&self) -> std::io::Result<SocketAddr> {
        let cluster = self.clone();
        serve(move |method, path, body| cluster.store_response(method, path, body))
    }

    fn store_response(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        // A watch is answered at once, whether anything has changed or not: its controller asks again.
        let at_once = path.replace("block_ms=10000", "block_ms=0");
        let is_watch = at_once != path;
        let response = {
            let mut store = self.store();
            let now = self.now();
            store.expire_leases(now);
            match store.handle_request(now, 0, method, &at_once, body) {
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

    /// Serves the cloud: machines of one type, all of them up.
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
            more: false,
        }
    }

    /// Starts the agents, which heartbeat to these controllers in real time.
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
    /// The public interfaces of the controllers by their names.
    fronts: BTreeMap<String, SocketAddr>,
    /// The one to which it sends heartbeats.
    front: Option<SocketAddr>,
}

impl Agent {
    /// Runs until the cluster ends or the machine is terminated.
    fn run(mut self) {
        let shared = self.cluster.0.clone();
        while !shared.over.load(Ordering::Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
            if lock(&shared.terminated).contains(&self.machine.name) {
                self.forget_all();
                return;
            }
            let now = self.cluster.now();
            let incarnation = self.machine.incarnation;
            let (completed, changed) = self.machine.advance(now, AGENT_LEASE, &shared.job_facts);
            if self.machine.incarnation != incarnation {
                self.forget_all();
            }
            self.note_completed(completed);
            if changed || now >= self.machine.next_heartbeat {
                self.send_heartbeat(now);
            }
        }
    }

    /// None of its tasks are on its machine any longer.
    fn forget_all(&self) {
        let here = &self.machine.name;
        let mut log = self.cluster.execution_log();
        log.live.retain(|_, machine| machine != here);
    }

    fn note_completed(&self, tasks: Vec<String>) {
        let mut log = self.cluster.execution_log();
        for task in tasks {
            log.live.remove(&task);
            *log.completed.entry(task).or_insert(0) += 1;
        }
    }

    fn send_heartbeat(&mut self, now: Micros) {
        self.machine.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let Some(front) = self.front else { return };
        let heartbeat = to_cbor(&self.machine.build_heartbeat(now));
        match blocking::request(front, "POST", "/checkin", &heartbeat) {
            Ok(response) if response.status == 200 => self.carry_out(now, &response.body),
            Ok(response) if response.status == 421 => {
                let redirect = from_cbor::<Redirect>(&response.body).ok();
                let leader = redirect.and_then(|redirect| redirect.leader);
                let leader = leader.and_then(|leader| self.fronts.get(&leader).copied());
                match leader.filter(|leader| *leader != front) {
                    Some(leader) => {
                        self.front = Some(leader);
                        self.machine.next_heartbeat = now;
                    }
                    None => self.try_next(front),
                }
            }
            _ => self.try_next(front),
        }
    }

    /// Sends its next heartbeat to the controller after this one.
    fn try_next(&mut self, front: SocketAddr) {
        let all: Vec<SocketAddr> = self.fronts.values().copied().collect();
        let place = all.iter().position(|known| *known == front);
        let next = (place.unwrap_or(0) + 1) % all.len();
        self.front = all.get(next).copied();
    }

    /// Carries out what the response to a heartbeat says, unless it comes from a leader of an older token.
    fn carry_out(&mut self, sent: Micros, body: &[u8]) {
        let Ok(response) = from_cbor::<HeartbeatResponse>(body) else {
            return;
        };
        if response.token < self.machine.token {
            return;
        }
        self.machine.token = response.token;
        self.machine.lease_start = sent;
        let now = self.cluster.now();
        let job_facts = &self.cluster.0.job_facts;
        let started = self
            .machine
            .apply_commands(now, &response.commands, job_facts);
        self.note_started(started);
    }

    /// Notes the tasks that came onto its machine, and those that are no longer there.
    fn note_started(&self, tasks: Vec<String>) {
        let here = &self.machine.name;
        let mut log = self.cluster.execution_log();
        for task in tasks {
            *log.starts.entry(task.clone()).or_insert(0) += 1;
            let other = log.live.insert(task.clone(), here.clone());
            if other.is_some_and(|other| other != *here) {
                log.duplicate_executions.push(task);
            }
        }
        // What was stopped is gone; what goes on is live.
        let live = self
            .machine
            .live_tasks()
            .map(|task| task.task_name.as_str());
        let live: BTreeSet<&str> = live.collect();
        log.live
            .retain(|task, machine| machine != here || live.contains(task.as_str()));
        log.note_most();
    }
}
