//! VM processes of `gentiansill relay`, started with the command of the deploy file.

use std::fs::File;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use crate::http::message;
use crate::http::read_message;
use crate::http::write;

/// The zones of the deployment, with their regions and numbers of VMs.
pub const ZONES: [(&str, &str, usize); 3] = [
    ("hobart-a", "hobart", 3),
    ("launceston-a", "launceston", 2),
    ("burnie-a", "burnie", 2),
];

/// A VM process, which is killed when dropped.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    status: SocketAddr,
    log: PathBuf,
    child: Child,
}

impl Vm {
    /// Returns whether the VM reports that it accepts callers.
    fn is_ready(&self) -> bool {
        let Ok(mut tcp) = TcpStream::connect_timeout(&self.status, Duration::from_secs(1)) else {
            return false;
        };
        let _ = tcp.set_read_timeout(Some(Duration::from_secs(1)));
        let req = message("GET /ready HTTP/1.1", &[("host", "status")], b"");
        if write(&mut tcp, &req).is_err() {
            return false;
        }
        let answer = read_message(&mut BufReader::new(tcp));
        matches!(answer, Ok(Some(m)) if m.status() == 200)
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains(text));
        lines.map(str::to_owned).collect()
    }

    fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the VMs of all zones and waits until they are ready.
pub fn start_all(bin: &str, dir: &Path, store: SocketAddr) -> std::io::Result<Vec<Vm>> {
    let mut plans = Vec::new();
    for (zone, region, count) in ZONES {
        for n in 1..=count {
            let ip = IpAddr::from([127, 0, 0, 11 + plans.len() as u8]);
            let addrs = free_addrs(ip)?;
            plans.push((format!("front-{zone}-{n}"), zone, region, addrs));
        }
    }
    // The seeds are the peers' addresses of the first VM of each zone.
    let seeds = plans.iter().filter(|p| p.0.ends_with("-1"));
    let seeds: Vec<String> = seeds.map(|p| format!("\"{}\"", p.3[2])).collect();
    let mut vms = Vec::new();
    for (name, zone, region, addrs) in plans {
        let text = settings(&name, zone, region, &addrs, store, &seeds.join(","));
        let path = dir.join(format!("{name}.toml"));
        std::fs::write(&path, text)?;
        let log = dir.join(format!("{name}.log"));
        let out = File::create(&log)?;
        let child = Command::new(bin)
            .args(["relay", "--settings"])
            .arg(&path)
            .stdin(std::process::Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        note_process(child.id())?;
        vms.push(Vm {
            name,
            callers: addrs[0],
            status: addrs[1],
            log,
            child,
        });
    }
    for _ in 0..200 {
        if vms.iter().all(Vm::is_ready) {
            return Ok(vms);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err(std::io::Error::other("the VMs were not ready within 20 s"))
}

/// Adds a process to the list that the script reads if it is stopped.
fn note_process(id: u32) -> std::io::Result<()> {
    let Some(path) = std::env::var_os("REVIEW_PIDS") else {
        return Ok(());
    };
    let mut list = std::fs::OpenOptions::new().append(true).open(path)?;
    writeln!(list, "{id}")
}

/// Checks that no VM process has ended by itself.
pub fn check_running(vms: &mut [Vm]) -> std::io::Result<()> {
    match vms
        .iter_mut()
        .find_map(|vm| vm.has_ended().then(|| vm.name.clone()))
    {
        None => Ok(()),
        Some(name) => Err(std::io::Error::other(format!(
            "the process of {name} ended by itself"
        ))),
    }
}

fn free_addrs(ip: IpAddr) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<TcpListener>> =
        (0..4).map(|_| TcpListener::bind((ip, 0))).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

/// Returns the settings of a VM, as `deploy/relay.toml.tmpl` gives them for a small deployment.
fn settings(
    name: &str,
    zone: &str,
    region: &str,
    addrs: &[SocketAddr],
    store: SocketAddr,
    seeds: &str,
) -> String {
    let zones: Vec<String> = ZONES
        .iter()
        .map(|(z, r, _)| format!("\"{z}\" = \"{r}\"\n"))
        .collect();
    format!(
        r#"[vm]
name = "{name}"
data-centre = "{zone}"
region = "{region}"
first-start = true
capacity = {{ cores = 0.25, megabits = 1000.0 }}

[vm.data-centres]
{}
[listen]
callers = "{}"
status = "{}"
peers = "{}"
metrics = "{}"

[platform]
addr = "{store}"

[peers]
seeds = [{seeds}]

[budget]
extra-ratio = 0.2
window = "10s"
slack = 54

[servers]
drain = "3000ms"
"#,
        zones.concat(),
        addrs[0],
        addrs[1],
        addrs[2],
        addrs[3]
    )
}
