//! A VM of the system: a process of the deploy file's command, with settings as its template gives them.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

pub struct VmPlan {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub status: SocketAddr,
    pub peers: SocketAddr,
    metrics: SocketAddr,
    pub store: SocketAddr,
}

impl VmPlan {
    /// Plans a VM on a loopback address of its own.
    ///
    /// # Errors
    ///
    /// If one of its ports is in use there.
    pub fn new(name: String, zone: &str, ip: Ipv4Addr, store: SocketAddr) -> std::io::Result<Self> {
        let [callers, status, peers, metrics] =
            [8104, 8108, 8106, 9464].map(|port| SocketAddr::from((ip, port)));
        for addr in [callers, status, peers, metrics] {
            TcpListener::bind(addr)?;
        }
        Ok(Self {
            name,
            zone: zone.to_owned(),
            callers,
            status,
            peers,
            metrics,
            store,
        })
    }

    /// Returns the text that the template `deploy/relay.toml.tmpl` gives for this VM.
    fn settings(&self, zones: &[&str], seeds: &[SocketAddr], first_start: bool) -> String {
        let region = |zone: &str| zone.trim_end_matches("-a").to_owned();
        let zones = zones
            .iter()
            .map(|z| format!("\"{z}\" = \"{}\"\n", region(z)));
        let zones: String = zones.collect();
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        format!(
            "[vm]\nname = \"{}\"\ndata-centre = \"{}\"\nregion = \"{}\"\nfirst-start = {first_start}\n\
             capacity = {{ cores = 0.25, megabits = 1000.0 }}\n\n[vm.data-centres]\n{zones}\n\
             [listen]\ncallers = \"{}\"\nstatus = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\n\
             [platform]\naddr = \"{}\"\n\n[peers]\nseeds = [{}]\n\n\
             [budget]\nextra-ratio = 0.2\nwindow = \"10s\"\nslack = 54\n\n[servers]\ndrain = \"3000ms\"\n",
            self.name,
            self.zone,
            region(&self.zone),
            self.callers,
            self.status,
            self.peers,
            self.metrics,
            self.store,
            seeds.join(",")
        )
    }
}

/// A running VM, which is killed when dropped.
pub struct Vm {
    pub plan: VmPlan,
    child: Child,
}

impl Vm {
    pub fn start(
        plan: VmPlan,
        dir: &Path,
        zones: &[&str],
        seeds: &[SocketAddr],
    ) -> std::io::Result<Self> {
        let path: PathBuf = dir.join(format!("{}.toml", plan.name));
        fs::write(&path, plan.settings(zones, seeds, true))?;
        let log = File::create(dir.join(format!("{}.log", plan.name)))?;
        let child = Command::new("target/release/gentiansill")
            .args(["relay", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { plan, child })
    }

    /// Waits until the readiness probe is answered with 200.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let probe = || {
            let mut conn = Connection::connect(self.plan.status, Duration::from_secs(1))?;
            let headers = [
                ("Host", "vm".to_owned()),
                ("Connection", "close".to_owned()),
            ];
            conn.write("GET /ready HTTP/1.1", &headers, b"")?;
            conn.read()
        };
        probe().is_ok_and(|res| res.status() == 200)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
