//! Runs controllers as processes on loopback, with simulators of the services and agents around them.

// Each test file uses only some of the items.
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

/// Maximum number of polls for a condition.
pub const MAX_POLLS: usize = 200;
/// Time between two polls for a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Tuning that keeps idle machines for longer than a test runs.
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
    /// Name of the directory for the controllers' files.
    pub name: &'static str,
    /// Number of controllers.
    pub members: usize,
    /// Content of the tuning file.
    pub tuning: String,
    pub teams: Vec<TeamQuota>,
}

/// Returns a loopback address that is not in use.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

/// Describes tasks that take one CPU, run for `run_time` microseconds, write no checkpoints and do not fail.
pub fn job_facts(run_time: u64) -> JobFacts {
    JobFacts {
        cpus: 1.0,
        run_time,
        checkpoint_time: 0,
        writes_checkpoints: false,
        always_fails: false,
    }
}

/// Returns the submission of a batch job whose tasks take one CPU each.
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

/// Returns a machine type with eight CPUs.
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

fn siblings_toml(setup: &Setup, number: usize, peers: &[SocketAddr]) -> String {
    let siblings = (0..setup.members).filter(|sibling| *sibling != number);
    let entry = |sibling: usize| {
        let (member, address) = (member_name(sibling), peers[sibling]);
        format!("[[siblings]]\nmember = \"{member}\"\ndomain = \"a\"\naddr = \"{address}\"\n")
    };
    siblings.map(entry).collect()
}

fn teams_toml(teams: &[TeamQuota]) -> String {
    let entry = |team: &TeamQuota| {
        let (name, cpus, cpus_max) = (team.name, team.cpus, team.cpus_max);
        format!("[[cluster.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n")
    };
    teams.iter().map(entry).collect()
}

/// Returns the content of a controller's settings file.
fn settings_toml(
    setup: &Setup,
    number: usize,
    addresses: &Addresses,
    services: Services,
) -> String {
    let member = member_name(number);
    let (front, peer) = (addresses.fronts[number], addresses.peers[number]);
    let siblings = siblings_toml(setup, number, &addresses.peers);
    let teams = teams_toml(&setup.teams);
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

/// Controllers that run as processes. They are killed when this value is dropped.
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

    /// Writes the files of the controllers without starting the controllers.
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
            let text = settings_toml(setup, number, &addresses, services);
            std::fs::write(folder.join(format!("{number}.toml")), text).expect("to write");
        }
        let names = (0..setup.members).map(member_name);
        Controllers {
            folder,
            fronts: names.zip(addresses.fronts).collect(),
            children: (0..setup.members).map(|_| None).collect(),
        }
    }

    fn settings_path(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{number}.toml"))
    }

    /// Starts the controller with this number.
    pub fn spawn(&mut self, number: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_grebewood"))
            .args(["serve", "--tuning"])
            .arg(self.folder.join("tuning.ini"))
            .arg("--config")
            .arg(self.settings_path(number))
            .env("LOG_LEVEL", "error")
            .stderr(Stdio::null())
            .spawn();
        self.children[number] = Some(child.expect("a controller"));
    }

    /// Kills the controller with this number, if the controller is running.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.children[number].take() {
            child.kill().expect("to kill it");
            child.wait().expect("its end");
        }
    }

    /// Sends a request to each controller in turn until one of them answers with one of these statuses, and
    /// returns the body.
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
        panic!("{method} {path}: no controller answered with an expected status");
    }

    fn is_job_done(&self, job: &str) -> bool {
        let body = self.request("GET", &format!("/submissions/{job}"), &[], &[200]);
        let status: JobStatus = from_cbor(&body).expect("a status");
        status.status == "done"
    }

    /// Waits until all of these jobs are done. The error names the first job that is not done in time.
    pub fn wait_for_jobs(&self, jobs: &[String]) -> Result<(), String> {
        match jobs.iter().find(|job| !self.wait_for_job(job)) {
            Some(job) => Err(format!("job {job} is not done in time")),
            None => Ok(()),
        }
    }

    /// Waits until a job is done, and returns whether it is done in time.
    fn wait_for_job(&self, job: &str) -> bool {
        for _ in 0..MAX_POLLS {
            if self.is_job_done(job) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Runs a command of `grebewood`, and returns its exit code and what it prints.
    pub fn run_command(&self, command: &str, options: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_grebewood"))
            .arg(command)
            .arg("--config")
            .arg(self.settings_path(0))
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

/// Checks that a command fails and names the store's address if the key-value store is unreachable.
pub fn assert_command_names_unreachable_store(setup: &Setup, command: &str) {
    let unused = free_address();
    let services = Services {
        store: unused,
        cloud: unused,
    };
    let controllers = Controllers::configure(setup, services);
    let (code, text) = controllers.run_command(command, &[]);
    assert_eq!(code, Some(1));
    assert!(text.contains(&unused.to_string()), "{text}");
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|number| self.kill(number));
    }
}
