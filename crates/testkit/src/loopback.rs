//! The same stand-ins in real time, on sockets of the loopback interface: a key-value store and a cloud for
//! real controllers, and agents that heartbeat to them.

use crate::machines::{JobFacts, Machine};
use crate::state::{KeyValueStore, Reply};
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

type Micros = u64;

/// Between two looks at what is due.
const STEP: Duration = Duration::from_millis(20);
/// How long agents keep their tasks without an answer.
const LEASE: Micros = 10_000_000;
/// How often they heartbeat.
const REPORT: Micros = 500_000;

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
    pub twice: Vec<String>,
    /// Most tasks that were on machines at once, by the first characters of their jobs' names.
    pub most: BTreeMap<String, u64>,
}

/// So many characters of a job's name stand for its team.
const TEAM_CHARACTERS: usize = "req-1".len();

impl ExecutionLog {
    fn note_most(&mut self) {
        let mut now: BTreeMap<String, u64> = BTreeMap::new();
        for task in self.live.keys() {
            let team: String = task.chars().take(TEAM_CHARACTERS).collect();
            *now.entry(team).or_insert(0) += 1;
        }
        for (team, n) in now {
            let most = self.most.entry(team).or_insert(0);
            *most = n.max(*most);
        }
    }
}

struct Shared {
    began: Instant,
    state: Mutex<KeyValueStore>,
    write_buffer: Mutex<ExecutionLog>,
    facts: BTreeMap<String, JobFacts>,
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
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header)?;
            let header = header.trim().to_ascii_lowercase();
            if header.is_empty() {
                break;
            }
            if let Some(value) = header.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (status, body) = answer(&method, &path, &body);
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.into_bytes(), body].concat())?;
    }
}

impl Cluster {
    /// A cluster of so many machines that knows these jobs.
    pub fn new(machines: usize, facts: BTreeMap<String, JobFacts>) -> Cluster {
        Cluster(Arc::new(Shared {
            began: Instant::now(),
            state: Mutex::default(),
            write_buffer: Mutex::default(),
            facts,
            terminated: Mutex::default(),
            machines: (0..machines).map(|n| format!("n-{n:06}")).collect(),
            over: AtomicBool::new(false),
        }))
    }

    fn now(&self) -> Micros {
        self.0.began.elapsed().as_micros() as Micros
    }

    /// The key-value store.
    pub fn state(&self) -> MutexGuard<'_, KeyValueStore> {
        lock(&self.0.state)
    }

    /// What happened to the tasks.
    pub fn write_buffer(&self) -> MutexGuard<'_, ExecutionLog> {
        lock(&self.0.write_buffer)
    }

    /// Ends the agents.
    pub fn end(&self) {
        self.0.over.store(true, Ordering::Relaxed);
    }

    /// Serves the key-value store.
    pub fn serve_state(&self) -> std::io::Result<SocketAddr> {
        let cluster = self.clone();
        serve(move |method, path, body| cluster.state_answer(method, path, body))
    }

    fn state_answer(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        // A watch is answered at once, whether anything has changed or not: its controller asks again.
        let short = path.replace("block_ms=10000", "block_ms=0");
        let watches = short != path;
        let answer = {
            let mut state = self.state();
            let now = self.now();
            state.expire(now);
            match state.request(now, 0, method, &short, body) {
                Reply::Now(status, body) => (status, body),
                Reply::Later => {
                    let ready = state.ready(now).into_iter().next();
                    (200, ready.map(|(_, body)| body).unwrap_or_default())
                }
            }
        };
        if watches {
            std::thread::sleep(STEP);
        }
        answer
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
                    let names = from_cbor::<MachineNames>(body).map(|n| n.machines);
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
    pub fn start_workers(&self, machine_type: &MachineType, fronts: &BTreeMap<String, SocketAddr>) {
        for (n, name) in self.0.machines.iter().enumerate() {
            let mut machine = Machine::new(name, machine_type, "a");
            machine.up = true;
            machine.lease_start = self.now();
            let agent = Agent {
                cluster: self.clone(),
                machine,
                fronts: fronts.clone(),
                front: fronts.values().nth(n % fronts.len()).copied(),
            };
            std::thread::spawn(move || agent.run());
        }
    }
}

struct Agent {
    cluster: Cluster,
    machine: Machine,
    fronts: BTreeMap<String, SocketAddr>,
    front: Option<SocketAddr>,
}

impl Agent {
    fn run(mut self) {
        let shared = self.cluster.0.clone();
        while !shared.over.load(Ordering::Relaxed) {
            std::thread::sleep(STEP);
            if lock(&shared.terminated).contains(&self.machine.name) {
                self.forget_all();
                return;
            }
            let now = self.cluster.now();
            let incarnation = self.machine.incarnation;
            let (done, changed) = self.machine.advance(now, LEASE, &shared.facts);
            if self.machine.incarnation != incarnation {
                self.forget_all();
            }
            {
                let mut write_buffer = self.cluster.write_buffer();
                for task in done {
                    write_buffer.live.remove(&task);
                    *write_buffer.completed.entry(task).or_insert(0) += 1;
                }
            }
            if changed || now >= self.machine.next_heartbeat {
                self.report(now);
            }
        }
    }

    fn forget_all(&self) {
        let mut write_buffer = self.cluster.write_buffer();
        let here = self.machine.name.clone();
        write_buffer.live.retain(|_, machine| *machine != here);
    }

    fn report(&mut self, now: Micros) {
        self.machine.next_heartbeat = now + REPORT;
        let Some(front) = self.front else { return };
        let report = to_cbor(&self.machine.report(now));
        match blocking::request(front, "POST", "/checkin", &report) {
            Ok(answer) if answer.status == 200 => self.carry_out(now, &answer.body),
            Ok(answer) if answer.status == 421 => {
                let leader = from_cbor::<Redirect>(&answer.body).ok();
                let leader = leader.and_then(|r| self.fronts.get(&r.leader?).copied());
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

    fn try_next(&mut self, front: SocketAddr) {
        let all: Vec<SocketAddr> = self.fronts.values().copied().collect();
        let at = all.iter().position(|a| *a == front).unwrap_or(0);
        self.front = all.get((at + 1) % all.len()).copied();
    }

    fn carry_out(&mut self, sent: Micros, body: &[u8]) {
        let Ok(answer) = from_cbor::<HeartbeatResponse>(body) else {
            return;
        };
        if answer.token < self.machine.token {
            return;
        }
        self.machine.token = answer.token;
        self.machine.lease_start = sent;
        let facts = &self.cluster.0.facts;
        let started = self
            .machine
            .carry_out(self.cluster.now(), &answer.commands, facts);
        let mut write_buffer = self.cluster.write_buffer();
        for task in started {
            *write_buffer.starts.entry(task.clone()).or_insert(0) += 1;
            let other = write_buffer
                .live
                .insert(task.clone(), self.machine.name.clone());
            if other.is_some_and(|other| other != self.machine.name) {
                write_buffer.twice.push(task);
            }
        }
        // What was stopped is gone; what goes on is live.
        let here = self.machine.name.clone();
        let live: BTreeSet<&str> = self.machine.live().map(|t| t.task_name.as_str()).collect();
        write_buffer
            .live
            .retain(|task, machine| *machine != here || live.contains(task.as_str()));
        write_buffer.note_most();
    }
}
