//! Controllers as processes of their own on loopback, with stand-ins for all else.

// Each test file uses some of it.
#![allow(dead_code)]

use grebewood_net::blocking;
use grebewood_wire::from_cbor;
use grebewood_wire::http::{JobStatus, MachineType, Priority, Submission};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How often it is asked whether something is so at most, and the time between.
pub const LOOKS: usize = 200;
pub const LOOK_EVERY: Duration = Duration::from_millis(200);

/// A team's guarantee and ceiling, in CPUs.
#[derive(Clone, Copy)]
pub struct TeamLimits {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
}

/// What the controllers are given.
#[derive(Clone)]
pub struct Setup {
    pub name: &'static str,
    pub members: usize,
    pub tuning: &'static str,
    pub teams: Vec<TeamLimits>,
}

/// An address on loopback that nobody uses now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
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

/// The settings of a member.
fn settings(
    setup: &Setup,
    n: usize,
    fronts: &[SocketAddr],
    peers: &[SocketAddr],
    services: Services,
) -> String {
    let siblings: String = (0..setup.members)
        .filter(|p| *p != n)
        .map(|p| {
            let address = peers[p];
            format!("[[siblings]]\nmember = \"m-{p}\"\ndomain = \"a\"\naddr = \"{address}\"\n")
        })
        .collect();
    let teams = setup.teams.iter();
    let teams: String = teams
        .map(|team| {
            let (name, cpus, cpus_max) = (team.name, team.cpus, team.cpus_max);
            format!(
                "[[cluster.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\n"
            )
        })
        .collect();
    let (front, peer, Services { state, cloud }) = (fronts[n], peers[n], services);
    format!(
        "member = \"m-{n}\"\ndomain = \"a\"\nfront = \"{front}\"\npeer_listen = \"{peer}\"\n{siblings}\
         [endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[cluster]\n{teams}\
         [cluster.workers]\nreport_s = 0.5\nlease_s = 10.0\ncancel_s = 30.0\n\
         [cluster.state]\nrps = 1000.0\nwrite_rps = 400.0\nvalue_kb = 8.0\ntxn_ops = 8\n\
         [cluster.cloud]\nrps = 50.0\nlist_lag_s = 1.0\n"
    )
}

/// Where the stand-ins serve.
#[derive(Clone, Copy)]
pub struct Services {
    pub state: SocketAddr,
    pub cloud: SocketAddr,
}

/// Controllers as processes of their own.
pub struct Controllers {
    folder: PathBuf,
    pub fronts: BTreeMap<String, SocketAddr>,
    children: Vec<Option<Child>>,
}

impl Controllers {
    /// Writes their settings.
    pub fn configure(setup: &Setup, services: Services) -> Controllers {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(setup.name);
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("tuning.ini"), setup.tuning).expect("to write");
        let addresses =
            || -> Vec<SocketAddr> { (0..setup.members).map(|_| free_address()).collect() };
        let (fronts, peers) = (addresses(), addresses());
        for n in 0..setup.members {
            let text = settings(setup, n, &fronts, &peers, services);
            std::fs::write(folder.join(format!("{n}.toml")), text).expect("to write");
        }
        let names = (0..setup.members).map(|n| format!("m-{n}"));
        Controllers {
            folder,
            fronts: names.zip(fronts).collect(),
            children: (0..setup.members).map(|_| None).collect(),
        }
    }

    fn config(&self, n: usize) -> PathBuf {
        self.folder.join(format!("{n}.toml"))
    }

    /// Starts one.
    pub fn spawn(&mut self, n: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_grebewood"))
            .args(["serve", "--tuning"])
            .arg(self.folder.join("tuning.ini"))
            .arg("--config")
            .arg(self.config(n))
            .env("LOG_LEVEL", "error")
            .stderr(Stdio::null())
            .spawn();
        self.children[n] = Some(child.expect("a controller"));
    }

    /// Ends one.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().expect("to kill it");
            child.wait().expect("its end");
        }
    }

    /// Asks the members until one of them answers with one of these statuses.
    pub fn ask(&self, method: &str, path: &str, body: &[u8], statuses: &[u16]) -> Vec<u8> {
        for _ in 0..LOOKS {
            for front in self.fronts.values() {
                match blocking::request(*front, method, path, body) {
                    Ok(answer) if statuses.contains(&answer.status) => return answer.body,
                    Ok(_) | Err(_) => {}
                }
            }
            std::thread::sleep(LOOK_EVERY);
        }
        panic!("{method} {path}: no member answers");
    }

    pub fn is_done(&self, job: &str) -> bool {
        let body = self.ask("GET", &format!("/submissions/{job}"), &[], &[200]);
        let status: JobStatus = from_cbor(&body).expect("a status");
        status.status == "done"
    }

    /// Waits until all of these jobs are done. The first one that is not in time is the error.
    pub fn all_done(&self, jobs: &[String]) -> Result<(), String> {
        for job in jobs {
            let done = (0..LOOKS).any(|_| {
                let done = self.is_done(job);
                if !done {
                    std::thread::sleep(LOOK_EVERY);
                }
                done
            });
            if !done {
                return Err(format!("{job} is not done"));
            }
        }
        Ok(())
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

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|n| self.kill(n));
    }
}
