//! Reads each section of the settings. All keys of a section are read before a missing one ends the
//! reading, so that every fault is collected.

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
use crate::values::ValueError;

/// The placeholder for the VM's name in the path of its trace.
const VM_NAME_PLACEHOLDER: &str = "{vm}";
/// The shortest secret accepted, in bytes.
const SECRET_MIN_BYTES: usize = 16;
/// The longest secret accepted, in bytes.
const SECRET_MAX_BYTES: usize = 4096;

/// Reads all sections; returns `None` if a required key is missing or invalid.
pub(crate) fn read_all(r: &mut Reader<'_>) -> Option<Settings> {
    let vm = read_vm(r);
    let listen = read_listen(r);
    let platform = read_platform(r);
    let mesh = read_mesh(r);
    let source = Source {
        ip: r.read("source", "ip", values::parse_ip),
    };
    let log = Log {
        level: r
            .read("log", "level", values::parse_choice)
            .unwrap_or_default(),
    };
    let record = Record {
        file: r
            .read("record", "file", values::parse_text)
            .map(|p| trace_path(r, &p, vm.as_ref())),
    };
    let bootstrap = read_bootstrap(r);
    let callers = read_callers(r);
    let tuning = read_tuning(r);
    let shutdown = read_shutdown(r);
    let servers = read_servers(r);
    let claims = read_claims(r);
    let runtime = read_runtime(r);
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

fn read_vm(r: &mut Reader<'_>) -> Option<Vm> {
    let name = r.read("vm", "name", values::parse_from_str);
    let data_centre = r.read("vm", "data-centre", values::parse_from_str);
    let region = r.read("vm", "region", values::parse_from_str);
    Some(Vm {
        name: name?,
        data_centre: data_centre?,
        region: region?,
    })
}

fn read_listen(r: &mut Reader<'_>) -> Option<Listen> {
    let callers = r.read("listen", "callers", values::parse_address);
    let admin = r.read("listen", "admin", values::parse_address);
    let mesh = r.read("listen", "mesh", values::parse_address);
    Some(Listen {
        callers: callers?,
        admin: admin?,
        mesh: mesh?,
    })
}

fn read_platform(r: &mut Reader<'_>) -> Option<Platform> {
    let addr = r.read("platform", "addr", values::parse_address);
    let timeout = r.read("platform", "timeout", values::parse_duration);
    let watch_wait = r.read("platform", "watch-wait", values::parse_duration);
    let reads = r.read("platform", "reads-per-second", values::parse_rate);
    let writes = r.read("platform", "writes-per-second", values::parse_rate);
    let platform = Platform::builder()
        .addr(addr?)
        .maybe_timeout(timeout)
        .maybe_watch_wait(watch_wait)
        .maybe_reads_per_second(reads)
        .maybe_writes_per_second(writes)
        .build();
    Some(platform)
}

fn read_mesh(r: &mut Reader<'_>) -> Option<Mesh> {
    let heartbeat = r.read("mesh", "heartbeat", values::parse_duration);
    let dir = r.resolve("");
    let (secret_file, secret) = r.read("mesh", "secret-file", |v, key| {
        let path = dir.join(values::parse_text(v, key)?);
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

fn read_secret(path: &Path) -> Result<Secret, ValueError> {
    let mut buf = Vec::new();
    File::open(path)
        .and_then(|f| f.take(SECRET_MAX_BYTES as u64 + 2).read_to_end(&mut buf))
        .map_err(|e| unreadable_error(path, &e))?;
    let content = buf.trim_ascii_end();
    if !(SECRET_MIN_BYTES..=SECRET_MAX_BYTES).contains(&content.len()) {
        let n = content.len();
        let text = format!("names {}, whose secret has {n} bytes", path.display());
        return Err(ValueError::new(FaultKind::OutOfRange, text)
            .with_hint("put 16 bytes to 4KB of random text into it, the same on every VM"));
    }
    Ok(Secret::new(content))
}

fn unreadable_error(path: &Path, e: &io::Error) -> ValueError {
    let path = path.display();
    match e.kind() {
        io::ErrorKind::NotFound => ValueError::new(
            FaultKind::NoFile,
            format!("names {path}, which does not exist"),
        )
        .with_hint("write the secret there; a relative path starts at the settings file"),
        _ => ValueError::new(
            FaultKind::Unreadable,
            format!("names {path}, which cannot be read: {e}"),
        )
        .with_hint("make it a file that this user may read"),
    }
}

fn read_callers(r: &mut Reader<'_>) -> Callers {
    Callers::builder()
        .maybe_body(r.read("callers", "body", values::parse_size))
        .maybe_headers(r.read("callers", "headers", values::parse_size))
        .maybe_header_timeout(r.read("callers", "header-timeout", values::parse_duration))
        .maybe_body_timeout(r.read("callers", "body-timeout", values::parse_duration))
        .maybe_in_flight(r.read("callers", "in-flight", values::parse_count32))
        .maybe_connections(r.read("callers", "connections", parse_connections))
        .build()
}

fn parse_connections(v: &DeValue<'_>, key: &Key) -> Result<Connections, ValueError> {
    values::parse_count32(v, key).map(Connections)
}

fn read_tuning(r: &mut Reader<'_>) -> Tuning {
    Tuning::builder()
        .maybe_policy(r.read("tuning", "policy", values::parse_choice))
        .maybe_extra_budget(r.read("tuning", "extra-budget", values::parse_fraction))
        .maybe_seed(r.read("tuning", "seed", values::parse_count))
        .build()
}

fn read_shutdown(r: &mut Reader<'_>) -> Shutdown {
    let default = Shutdown::default();
    Shutdown {
        lag: r
            .read("shutdown", "lag", values::parse_duration)
            .unwrap_or(default.lag),
        deadline: r
            .read("shutdown", "deadline", values::parse_duration)
            .unwrap_or(default.deadline),
    }
}

fn read_servers(r: &mut Reader<'_>) -> Servers {
    let default = Servers::default();
    Servers {
        poll: r
            .read("servers", "poll", values::parse_duration)
            .unwrap_or(default.poll),
        connect_timeout: r
            .read("servers", "connect-timeout", values::parse_duration)
            .unwrap_or(default.connect_timeout),
    }
}

fn read_claims(r: &mut Reader<'_>) -> Claims {
    let default = Claims::default();
    Claims {
        window: r
            .read("claims", "window", values::parse_duration)
            .unwrap_or(default.window),
        skew: r
            .read("claims", "skew", values::parse_duration)
            .unwrap_or(default.skew),
    }
}

/// Returns the path of the trace with the VM's name inserted, so that VMs can share a setting and a
/// directory.
fn trace_path(r: &Reader<'_>, path: &str, vm: Option<&Vm>) -> PathBuf {
    let name = vm.map_or("", |vm| vm.name.as_str());
    r.resolve(&path.replace(VM_NAME_PLACEHOLDER, name))
}

fn read_bootstrap(r: &mut Reader<'_>) -> Option<Bootstrap> {
    let team = r.read("bootstrap", "team", values::parse_from_str);
    let key_sha256 = r.read("bootstrap", "key-sha256", values::parse_from_str);
    Some(Bootstrap {
        team: team?,
        key_sha256: key_sha256?,
    })
}

fn read_runtime(r: &mut Reader<'_>) -> Runtime {
    let default = Runtime::default();
    Runtime {
        workers: r
            .read("runtime", "workers", values::parse_count32)
            .unwrap_or(default.workers),
    }
}
