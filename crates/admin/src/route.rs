//! Which call a request makes.

use gs_types::prelude::*;
use hyper::Method;

/// A call of the interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    Health,
    Ready,
    Metrics,
    Status,
    Dump,
    FleetDump,
    Config,
    Version(ConfVersion),
    History,
    Fronts,
    Front(FrontName),
    Lookup(FrontName, LookupName),
    Propose { dry_run: bool },
    Patch(PatchId),
    Fleet,
}

/// Why a request makes no call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoCall {
    /// No such path.
    Path(Error),
    /// The path takes only this method.
    Method(&'static str),
    /// A part of the path or query is wrong.
    Bad(Error),
}

/// Finds the call.
pub(crate) fn call(method: &Method, path: &str, query: Option<&str>) -> Result<Call, NoCall> {
    let call = match path.strip_prefix("/admin/v1/") {
        Some(rest) => admin_call(method, rest, query)?,
        None => plain_call(path)?,
    };
    let wanted = match call {
        Call::Propose { .. } => Method::POST,
        _ => Method::GET,
    };
    if *method != wanted {
        return Err(NoCall::Method(match wanted {
            Method::POST => "POST",
            _ => "GET",
        }));
    }
    if query.is_some_and(|q| !q.is_empty()) && !matches!(call, Call::Propose { .. }) {
        let e = Error::new(ErrorKind::BadInput, "this call takes no query");
        return Err(NoCall::Bad(
            e.at("read request").with_hint("leave out `?…`"),
        ));
    }
    Ok(call)
}

fn plain_call(path: &str) -> Result<Call, NoCall> {
    Ok(match path {
        "/healthz" => Call::Health,
        "/ready" => Call::Ready,
        "/metrics" => Call::Metrics,
        "/status" => Call::Status,
        "/dump" => Call::Dump,
        "/dump/fleet" => Call::FleetDump,
        _ => return Err(no_path()),
    })
}

fn admin_call(method: &Method, rest: &str, query: Option<&str>) -> Result<Call, NoCall> {
    let parts: Vec<_> = rest.splitn(5, '/').collect();
    Ok(match *parts {
        ["status"] => Call::Status,
        ["dump"] => Call::Dump,
        ["dump", "fleet"] => Call::FleetDump,
        ["config"] => Call::Config,
        ["config", v] => Call::Version(part(v)?),
        ["history"] => Call::History,
        ["fleet"] => Call::Fleet,
        ["fronts"] => Call::Fronts,
        ["fronts", f] => Call::Front(part(f)?),
        ["fronts", f, "lookups", l] => Call::Lookup(part(f)?, part(l)?),
        ["patches"] => Call::Propose {
            dry_run: match *method {
                Method::POST => dry_run(query)?,
                _ => false,
            },
        },
        ["patches", id] => Call::Patch(part(id)?),
        _ => return Err(no_path()),
    })
}

fn part<T: std::str::FromStr<Err = Error>>(s: &str) -> Result<T, NoCall> {
    s.parse()
        .map_err(|e: Error| NoCall::Bad(e.at("read request")))
}

fn dry_run(query: Option<&str>) -> Result<bool, NoCall> {
    match query.unwrap_or_default() {
        "" | "dry-run=false" => Ok(false),
        "dry-run" | "dry-run=true" => Ok(true),
        other => {
            let e = Error::new(ErrorKind::BadInput, format!("`?{other:.80}` is not known"));
            let e = e.at("read request");
            Err(NoCall::Bad(e.with_hint("use `?dry-run=true` or nothing")))
        }
    }
}

fn no_path() -> NoCall {
    let e = Error::new(ErrorKind::NotFound, "no such path");
    NoCall::Path(e.at("read request").with_hint(
        "paths: /healthz, /ready, /metrics, /status, /dump[/fleet], and /admin/v1/ with \
         status, dump[/fleet], config[/VERSION], history, fleet, fronts[/FRONT[/lookups/LOOKUP]], patches[/ID]",
    ))
}
