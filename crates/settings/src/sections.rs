//! Reads each section; every key is read before the first missing one ends it, so that all faults
//! are gathered.

use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use gs_types::prelude::*;
use toml::de::DeValue;

use crate::faults::FaultKind;
use crate::keys::Key;
use crate::reader::Reader;
use crate::secret::Secret;
use crate::settings::Bootstrap;
use crate::settings::Callers;
use crate::settings::Claims;
use crate::settings::Listen;
use crate::settings::Log;
use crate::settings::Mesh;
use crate::settings::Platform;
use crate::settings::Record;
use crate::settings::Runtime;
use crate::settings::Servers;
use crate::settings::Settings;
use crate::settings::Shutdown;
use crate::settings::Source;
use crate::settings::Tuning;
use crate::settings::Vm;
use crate::values;
use crate::values::Problem;

/// What stands for the VM's name in the path of its trace.
const VM_NAME: &str = "{vm}";
/// The shortest secret accepted, in bytes.
const SECRET_MIN: usize = 16;
/// The longest secret accepted, in bytes.
const SECRET_MAX: usize = 4096;

/// Reads every section; `None` if a key without a default is missing or at fault.
pub(crate) fn read(r: &mut Reader<'_>) -> Option<Settings> {
    let vm = vm(r);
    let listen = listen(r);
    let platform = platform(r);
    let mesh = mesh(r);
    let source = Source {
        ip: r.take("source", "ip", values::ip),
    };
    let log = Log {
        level: r.take("log", "level", values::choice).unwrap_or_default(),
    };
    let record = Record {
        file: r
            .take("record", "file", values::text)
            .map(|p| trace_path(r, &p, vm.as_ref())),
    };
    let bootstrap = bootstrap(r);
    let callers = callers(r);
    let tuning = tuning(r);
    let shutdown = shutdown(r);
    let servers = servers(r);
    let claims = claims(r);
    let runtime = runtime(r);
    Some(Settings {
        vm: vm?,
        listen: listen?,
        source,
        platform: platform?,
        mesh: mesh?,
        callers,
        tuning,
        shutdown,
        servers,
        claims,
        bootstrap,
        log,
        record,
        runtime,
    })
}

fn vm(r: &mut Reader<'_>) -> Option<Vm> {
    let name = r.take("vm", "name", values::parsed);
    let data_centre = r.take("vm", "data-centre", values::parsed);
    let region = r.take("vm", "region", values::parsed);
    Some(Vm {
        name: name?,
        data_centre: data_centre?,
        region: region?,
    })
}

fn listen(r: &mut Reader<'_>) -> Option<Listen> {
    let callers = r.take("listen", "callers", values::address);
    let admin = r.take("listen", "admin", values::address);
    let mesh = r.take("listen", "mesh", values::address);
    Some(Listen {
        callers: callers?,
        admin: admin?,
        mesh: mesh?,
    })
}

fn platform(r: &mut Reader<'_>) -> Option<Platform> {
    let addr = r.take("platform", "addr", values::address);
    let timeout = r.take("platform", "timeout", values::duration);
    let watch_wait = r.take("platform", "watch-wait", values::duration);
    let reads = r.take("platform", "reads-per-second", values::rate);
    let writes = r.take("platform", "writes-per-second", values::rate);
    let platform = Platform::builder()
        .addr(addr?)
        .maybe_timeout(timeout)
        .maybe_watch_wait(watch_wait)
        .maybe_reads_per_second(reads)
        .maybe_writes_per_second(writes)
        .build();
    Some(platform)
}

fn mesh(r: &mut Reader<'_>) -> Option<Mesh> {
    let heartbeat = r.take("mesh", "heartbeat", values::duration);
    let dir = r.resolve("");
    let (secret_file, secret) = r.take("mesh", "secret-file", |v, key| {
        let path = dir.join(values::text(v, key)?);
        let secret = read_secret(&path)?;
        Ok((path, secret))
    })?;
    let mesh = Mesh::builder()
        .secret_file(secret_file)
        .secret(secret)
        .maybe_heartbeat(heartbeat)
        .build();
    Some(mesh)
}

fn read_secret(path: &Path) -> Result<Secret, Problem> {
    let mut buf = Vec::new();
    File::open(path)
        .and_then(|f| f.take(SECRET_MAX as u64 + 2).read_to_end(&mut buf))
        .map_err(|e| cannot_read(path, &e))?;
    let content = buf.trim_ascii_end();
    if !(SECRET_MIN..=SECRET_MAX).contains(&content.len()) {
        let n = content.len();
        let text = format!("names {}, whose secret has {n} bytes", path.display());
        return Err(Problem::new(FaultKind::OutOfRange, text)
            .with_hint("put 16 bytes to 4KB of random text into it, the same on every VM"));
    }
    Ok(Secret::new(content))
}

fn cannot_read(path: &Path, e: &io::Error) -> Problem {
    let path = path.display();
    match e.kind() {
        io::ErrorKind::NotFound => Problem::new(
            FaultKind::NoFile,
            format!("names {path}, which does not exist"),
        )
        .with_hint("write the secret there; a relative path starts at the settings file"),
        _ => Problem::new(
            FaultKind::Unreadable,
            format!("names {path}, which cannot be read: {e}"),
        )
        .with_hint("make it a file that this user may read"),
    }
}

fn callers(r: &mut Reader<'_>) -> Callers {
    Callers::builder()
        .maybe_body(r.take("callers", "body", values::size))
        .maybe_headers(r.take("callers", "headers", values::size))
        .maybe_header_timeout(r.take("callers", "header-timeout", values::duration))
        .maybe_body_timeout(r.take("callers", "body-timeout", values::duration))
        .maybe_in_flight(r.take("callers", "in-flight", values::count32))
        .maybe_connections(r.take("callers", "connections", connections))
        .build()
}

fn connections(v: &DeValue<'_>, key: &Key) -> Result<Connections, Problem> {
    values::count32(v, key).map(Connections)
}

fn tuning(r: &mut Reader<'_>) -> Tuning {
    Tuning::builder()
        .maybe_policy(r.take("tuning", "policy", values::choice))
        .maybe_extra_budget(r.take("tuning", "extra-budget", values::fraction))
        .maybe_seed(r.take("tuning", "seed", values::count))
        .build()
}

fn shutdown(r: &mut Reader<'_>) -> Shutdown {
    let default = Shutdown::default();
    Shutdown {
        lag: r
            .take("shutdown", "lag", values::duration)
            .unwrap_or(default.lag),
        deadline: r
            .take("shutdown", "deadline", values::duration)
            .unwrap_or(default.deadline),
    }
}

fn servers(r: &mut Reader<'_>) -> Servers {
    let default = Servers::default();
    Servers {
        poll: r
            .take("servers", "poll", values::duration)
            .unwrap_or(default.poll),
        connect_timeout: r
            .take("servers", "connect-timeout", values::duration)
            .unwrap_or(default.connect_timeout),
    }
}

fn claims(r: &mut Reader<'_>) -> Claims {
    let default = Claims::default();
    Claims {
        window: r
            .take("claims", "window", values::duration)
            .unwrap_or(default.window),
        skew: r
            .take("claims", "skew", values::duration)
            .unwrap_or(default.skew),
    }
}

/// The trace's path, so that VMs can share a line of settings and a directory.
fn trace_path(r: &Reader<'_>, path: &str, vm: Option<&Vm>) -> PathBuf {
    let name = vm.map_or("", |vm| vm.name.as_str());
    r.resolve(&path.replace(VM_NAME, name))
}

fn bootstrap(r: &mut Reader<'_>) -> Option<Bootstrap> {
    let team = r.take("bootstrap", "team", values::parsed);
    let key_sha256 = r.take("bootstrap", "key-sha256", values::parsed);
    Some(Bootstrap {
        team: team?,
        key_sha256: key_sha256?,
    })
}

fn runtime(r: &mut Reader<'_>) -> Runtime {
    let default = Runtime::default();
    Runtime {
        workers: r
            .take("runtime", "workers", values::count32)
            .unwrap_or(default.workers),
    }
}
