//! The options and the client that the commands for a running process share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use gs_types::prelude::*;

use super::json_arg;
use crate::client::Client;

const ADMIN: &str = "admin";
const KEY_FILE: &str = "key-file";
const TIMEOUT: &str = "timeout";

/// Adds the options that select the process, the team's key and the timeout.
pub(super) fn add_options(c: Command, timeout: &'static str) -> Command {
    c.arg(
        Arg::new(ADMIN)
            .long("admin")
            .value_name("ADDR")
            .value_parser(value_parser!(SocketAddr))
            .required(true)
            .help("The `listen.admin` address of any process, as IP number and port"),
    )
    .arg(
        Arg::new(KEY_FILE)
            .long("key-file")
            .value_name("FILE")
            .env("GENTIANSILL_KEY_FILE")
            .value_parser(value_parser!(PathBuf))
            .help("A file with one line, the team's name, `:` and its key"),
    )
    .arg(
        Arg::new(TIMEOUT)
            .long("timeout")
            .value_name("DURATION")
            .value_parser(humantime::parse_duration)
            .default_value(timeout)
            .help("How long to wait for the answer"),
    )
    .arg(json_arg())
}

/// Returns the timeout of a request.
pub(super) fn timeout(m: &ArgMatches) -> Duration {
    m.get_one(TIMEOUT).copied().unwrap_or_default()
}

/// Creates a client from the options.
pub(super) fn client(m: &ArgMatches) -> Result<Client> {
    let key = m.get_one::<PathBuf>(KEY_FILE);
    let addr = m.get_one::<SocketAddr>(ADMIN).copied();
    let addr = addr.ok_or_else(|| Error::new(ErrorKind::BadInput, "no `--admin` address"))?;
    Client::new(addr, key.map(PathBuf::as_path), timeout(m))
}
