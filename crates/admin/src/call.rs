//! Determines which call a request makes from its method, path and query.

use gs_types::prelude::*;
use hyper::Method;

/// Call of the operators' interface.
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

/// Reason why a request makes no call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The path does not exist.
    UnknownPath(Error),
    /// The path accepts only the given method.
    WrongMethod(&'static str),
    /// A segment of the path, or the query, is malformed.
    BadInput(Error),
}

/// Returns the call that a request makes.
pub(crate) fn parse_call(
    method: &Method,
    path: &str,
    query: Option<&str>,
) -> Result<Call, CallError> {
    let call = match path.strip_prefix("/admin/v1/") {
        Some(rest) => admin_call(method, rest, query)?,
        None => unversioned_call(path)?,
    };
    let expected = match call {
        Call::Propose { .. } => Method::POST,
        _ => Method::GET,
    };
    if *method != expected {
        return Err(CallError::WrongMethod(match expected {
            Method::POST => "POST",
            _ => "GET",
        }));
    }
    if query.is_some_and(|q| !q.is_empty()) && !matches!(call, Call::Propose { .. }) {
        let e = Error::new(ErrorKind::BadInput, "this call accepts no query");
        return Err(CallError::BadInput(
            e.at("read request").with_hint("remove `?…` from the path"),
        ));
    }
    Ok(call)
}

/// Returns the call of a path outside `/admin/v1/`.
fn unversioned_call(path: &str) -> Result<Call, CallError> {
    Ok(match path {
        "/healthz" => Call::Health,
        "/ready" => Call::Ready,
        "/metrics" => Call::Metrics,
        "/status" => Call::Status,
        "/dump" => Call::Dump,
        "/dump/fleet" => Call::FleetDump,
        _ => return Err(unknown_path()),
    })
}

/// Returns the call of a path below `/admin/v1/`.
fn admin_call(method: &Method, rest: &str, query: Option<&str>) -> Result<Call, CallError> {
    let segments: Vec<_> = rest.splitn(5, '/').collect();
    Ok(match *segments {
        ["status"] => Call::Status,
        ["dump"] => Call::Dump,
        ["dump", "fleet"] => Call::FleetDump,
        ["config"] => Call::Config,
        ["config", v] => Call::Version(parse_segment(v)?),
        ["history"] => Call::History,
        ["fleet"] => Call::Fleet,
        ["fronts"] => Call::Fronts,
        ["fronts", f] => Call::Front(parse_segment(f)?),
        ["fronts", f, "lookups", l] => Call::Lookup(parse_segment(f)?, parse_segment(l)?),
        ["patches"] => Call::Propose {
            dry_run: match *method {
                Method::POST => parse_dry_run(query)?,
                _ => false,
            },
        },
        ["patches", id] => Call::Patch(parse_segment(id)?),
        _ => return Err(unknown_path()),
    })
}

/// Parses a segment of the path.
fn parse_segment<T: std::str::FromStr<Err = Error>>(s: &str) -> Result<T, CallError> {
    s.parse()
        .map_err(|e: Error| CallError::BadInput(e.at("read request")))
}

/// Parses the query of a proposal.
fn parse_dry_run(query: Option<&str>) -> Result<bool, CallError> {
    match query.unwrap_or_default() {
        "" | "dry-run=false" => Ok(false),
        "dry-run" | "dry-run=true" => Ok(true),
        other => {
            let e = Error::new(ErrorKind::BadInput, format!("unknown query `?{other:.80}`"));
            let e = e.at("read request");
            Err(CallError::BadInput(
                e.with_hint("use `?dry-run=true` or no query"),
            ))
        }
    }
}

fn unknown_path() -> CallError {
    let e = Error::new(ErrorKind::NotFound, "no such path");
    CallError::UnknownPath(e.at("read request").with_hint(
        "paths: /healthz, /ready, /metrics, /status, /dump[/fleet], and /admin/v1/ with \
         status, dump[/fleet], config[/VERSION], history, fleet, fronts[/FRONT[/lookups/LOOKUP]], patches[/ID]",
    ))
}
