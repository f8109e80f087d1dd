//! Controllers as processes of their own on loopback, with simulators of everything that they talk to.

// Each test file uses a part of it.
#![allow(dead_code)]

use grebewood_net::blocking;
use grebewood_testkit::loopback::Cluster;
use grebewood_testkit::machines::JobFacts;
use grebewood_wire::from_cbor;
use grebewood_wire::http::{JobStatus, MachineType, Priority, Submission};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Most polls for a condition, and the time between two of them.
pub const MAX_POLLS: usize = 200;
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Tuning with which no machine is terminated while a test runs.
pub const KEEP_IDLE_MACHINES: &str =
    "idle_hold_us = 600000000\nidle_hold_ordinary_us = 600000000\n";

/// A team's guaranteed share and limit, in CPUs.
#[derive(Clone, Copy)]
pub struct TeamQuota {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
}

/// The configuration of a test's controllers.
#[derive(Clone)]
pub struct Setup {
    /// Name of the folder with their files.
    pub name: &'static str,
    /// Number of controllers.
    pub members: usize,
    /// Content of the tuning file.
    pub tuning: String,
    pub teams: Vec<TeamQuota>,
}

/// An address on loopback that is not in use.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

/// Tasks of one CPU that run for so many microseconds, write no checkpoints and do not fail.
pub fn job_facts(run: u64) -> JobFacts {
    JobFacts {
        cpus: 1.0,
        run_time: run,
        checkpoint_time: 0,
        writes_checkpoints: false,
        always_fails: false,
    }
}

/// A batch job of tasks that take one CPU each.
pub fn submission(job: &str, team: &str, tasks: u64) -> Submission {
    Submission {
        id: job.into(),
        class: "work".into(),
        team: team.into(),
        shape: "batch".into(),
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_gb: 0.1,
        expected_s: 4.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
    }
}

/// A machine of eight CPUs.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "std".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        local_gb: Some(50.0),
        fetch_gb_per_s: Some(1.0),
        price: 1.0,
        spot_price: None,
        boot_s: 5.0,
        zones: vec!["a".into()],
    }
}

/// The addresses of the controllers, by their numbers.
struct Addresses {
    fronts: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
}

fn member_name(number: usize) -> String {
    format!("m-{number}")
}

fn siblings_text(setup: &Setup, number: usize, peers: &[SocketAddr]) -> String {
    let siblings = (0..setup.members).filter(|sibling| *sibling != number);
    let entry = |sibling: usize| {
        let (member, address) = (member_name(sibling), peers[sibling]);
        format!("[[siblings]]\nmember = \"{member}\"\ndomain = \"a\"\naddr = \"{address}\"\n")
    };
    siblings.map(entry).collect()
}

fn teams_text(teams: &[TeamQuota]) -> String {
    let entry = |team: &TeamQuota| {
        let (name, cpus, cpus_max) = (team.name, team.cpus, team.cpus_max);
        format!("[[cluster.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n")
    };
    teams.iter().map(entry).collect()
}

/// The settings file of a controller.
fn settings_text(
    setup: &Setup,
    number: usize,
    addresses: &Addresses,
    services: Services,
) -> String {
    let member = member_name(number);
    let (front, peer) = (addresses.fronts[number], addresses.peers[number]);
    let siblings = siblings_text(setup, number, &addresses.peers);
    let teams = teams_text(&setup.teams);
    let Services { store, cloud } = services;
    format!(
        "member = \"{member}\"\ndomain = \"a\"\nfront = \"{front}\"\npeer_listen = \"{peer}\"\n{siblings}\
         [endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n[cluster]\n{teams}\
         [cluster.workers]\nreport_s = 0.5\nlease_s = 10.0\ncancel_s = 30.0\n\
         [cluster.state]\nrps = 1000.0\nwrite_rps = 400.0\nvalue_kb = 8.0\ntxn_ops = 8\n\
         [cluster.cloud]\nrps = 50.0\nlist_lag_s = 1.0\n"
    )
}

/// Addresses of the simulated services.
#[derive(Clone, Copy)]
pub struct Services {
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

/// Controllers as processes of their own.
pub struct Controllers {
    folder: PathBuf,
    /// Addresses for users and agents, by the controllers' names.
    pub fronts: BTreeMap<String, SocketAddr>,
    children: Vec<Option<Child>>,
}

impl Controllers {
    /// Starts the controllers together with the services and agents of a cluster.
    pub fn start(setup: &Setup, cluster: &Cluster) -> Controllers {
        let services = Services {
            store: cluster.serve_store().expect("a key-value store"),
            cloud: cluster.serve_cloud(machine_type()).expect("a cloud"),
        };
        let mut controllers = Controllers::configure(setup, services);
        (0..setup.members).for_each(|number| controllers.spawn(number));
        cluster.start_agents(&machine_type(), &controllers.fronts);
        controllers
    }

    /// Writes the files of the controllers, without starting any.
    pub fn configure(setup: &Setup, services: Services) -> Controllers {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(setup.name);
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("tuning.ini"), &setup.tuning).expect("to write");
        let free_addresses = || (0..setup.members).map(|_| free_address()).collect();
        let addresses = Addresses {
            fronts: free_addresses(),
            peers: free_addresses(),
        };
        for number in 0..setup.members {
            let text = settings_text(setup, number, &addresses, services);
            std::fs::write(folder.join(format!("{number}.toml")), text).expect("to write");
        }
        let names = (0..setup.members).map(member_name);
        Controllers {
            folder,
            fronts: names.zip(addresses.fronts).collect(),
            children: (0..setup.members).map(|_| None).collect(),
        }
    }

    fn config(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{number}.toml"))
    }

    /// Starts the controller with this number.
    pub fn spawn(&mut self, number: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_grebewood"))
            .args(["serve", "--tuning"])
            .arg(self.folder.join("tuning.ini"))
            .arg("--config")
            .arg(self.config(number))
            .env("LOG_LEVEL", "error")
            .stderr(Stdio::null())
            .spawn();
        self.children[number] = Some(child.expect("a controller"));
    }

    /// Kills the controller with this number, if it runs.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.children[number].take() {
            child.kill().expect("to kill it");
            child.wait().expect("its end");
        }
    }

    /// Sends a request to one controller after the other until one answers with one of these statuses.
    pub fn request(&self, method: &str, path: &str, body: &[u8], statuses: &[u16]) -> Vec<u8> {
        for _ in 0..MAX_POLLS {
            for front in self.fronts.values() {
                match blocking::request(*front, method, path, body) {
                    Ok(response) if statuses.contains(&response.status) => return response.body,
                    Ok(_) | Err(_) => {}
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("{method} {path}: no controller answers");
    }

    fn job_is_done(&self, job: &str) -> bool {
        let body = self.request("GET", &format!("/submissions/{job}"), &[], &[200]);
        let status: JobStatus = from_cbor(&body).expect("a status");
        status.status == "done"
    }

    /// Waits until all of these jobs are done. The first one that is not in time is the error.
    pub fn wait_for_jobs(&self, jobs: &[String]) -> Result<(), String> {
        match jobs.iter().find(|job| !self.job_becomes_done(job)) {
            Some(job) => Err(format!("{job} is not done")),
            None => Ok(()),
        }
    }

    fn job_becomes_done(&self, job: &str) -> bool {
        for _ in 0..MAX_POLLS {
            if self.job_is_done(job) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// What a command of `grebewood` prints, and its exit code.
    pub fn command(&self, command: &str, options: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_grebewood"))
            .arg(command)
            .arg("--config")
            .arg(self.config(0))
            .args(options)
            .output()
            .expect("its output");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }
}

/// Without a store to read from, a command fails and names the store's address.
pub fn assert_command_names_unreachable_store(setup: &Setup, command: &str) {
    let unused = free_address();
    let services = Services {
        store: unused,
        cloud: unused,
    };
    let controllers = Controllers::configure(setup, services);
    let (code, text) = controllers.command(command, &[]);
    assert_eq!(code, Some(1));
    assert!(text.contains(&unused.to_string()), "{text}");
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|number| self.kill(number));
    }
}
