//! Authenticates the team that makes a request.

use gs_conf::authenticate;
use gs_types::prelude::*;
use hyper::HeaderMap;
use hyper::header;

/// Maximum length of an `authorization` header; a longer one is ignored.
const HEADER_MAX_BYTES: usize = 512;

/// Returns the team whose key the request carries.
///
/// # Errors
///
/// [`ErrorKind::Forbidden`] without a correct key, [`ErrorKind::Unavailable`] while this VM has no configuration and so
/// knows no team.
pub(crate) fn authenticated_team(cfg: Option<&Config>, headers: &HeaderMap) -> Result<Team> {
    let Some(cfg) = cfg else {
        return Err(
            Error::new(ErrorKind::Unavailable, "this VM holds no configuration yet")
                .at("authenticate")
                .with_hint("call another VM, or check `/ready` and the log of this one"),
        );
    };
    let (team, key) = credentials(headers)?;
    authenticate(cfg, team, key).cloned()
}

/// Returns the team named in the request, for the audit log; `None` if it is not a valid name, as the header is
/// untrusted.
pub(crate) fn claimed_team(headers: &HeaderMap) -> Option<TeamName> {
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
        .filter(|v| v.len() <= HEADER_MAX_BYTES)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .and_then(|v| v.split_once(':'))
        .ok_or_else(missing)
}
