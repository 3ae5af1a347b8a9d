//! Which team calls.

use gs_conf::authenticate;
use gs_types::prelude::*;
use hyper::HeaderMap;
use hyper::header;

/// The longest `authorization` header that is looked at, in bytes.
const HEADER_MAX: usize = 512;

/// The team that the request's key belongs to.
///
/// # Errors
///
/// [`ErrorKind::Forbidden`] without a right key, [`ErrorKind::Unavailable`] while this VM holds no
/// configuration and so knows no team.
pub(crate) fn team(cfg: Option<&Config>, headers: &HeaderMap) -> Result<Team> {
    let Some(cfg) = cfg else {
        return Err(
            Error::new(ErrorKind::Unavailable, "this VM holds no configuration yet")
                .at("authenticate")
                .with_hint("ask another VM, or see `/ready` and the log of this one"),
        );
    };
    let (team, key) = credentials(headers)?;
    authenticate(cfg, team, key).cloned()
}

/// The team named, for the audit log, if it is a name at all: the header is not to be trusted.
pub(crate) fn claimed(headers: &HeaderMap) -> Option<TeamName> {
    credentials(headers).ok()?.0.parse().ok()
}

fn credentials(headers: &HeaderMap) -> Result<(&str, &str)> {
    let missing = || {
        Error::new(ErrorKind::Forbidden, "no usable `authorization` header")
            .at("authenticate")
            .with_hint("send `authorization: Bearer TEAM:KEY`")
    };
    headers
        .get(header::AUTHORIZATION)
        .filter(|v| v.len() <= HEADER_MAX)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .and_then(|v| v.split_once(':'))
        .ok_or_else(missing)
}
