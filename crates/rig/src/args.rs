//! The command line of `gs-rig`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use gs_rig::deploy::Shape;
use gs_types::prelude::*;

/// The options of every subcommand that starts a deployment.
#[derive(Clone, Debug)]
pub struct CommonArgs {
    /// The `gentiansill` program.
    pub bin: PathBuf,
    /// The directory whose text is indexed.
    pub text: PathBuf,
    /// The sizes and delays of the deployment.
    pub shape: Shape,
    /// The deployment's name.
    pub deployment: String,
    /// The duration of each load run.
    pub length: Duration,
    /// The seed of all random choices.
    pub seed: u64,
}

/// The maximum number of VMs of a soak; each is a process.
const VMS_MAX: u64 = 60;

/// The options of `gs-rig soak` and `gs-rig site`.
#[derive(Clone, Debug)]
pub struct SoakArgs {
    /// The `gentiansill` program.
    pub bin: PathBuf,
    /// Whether the faults that are off by default are injected too.
    pub all_faults: bool,
    /// The directory for settings and logs.
    pub dir: PathBuf,
    /// The first seed.
    pub seed: u64,
    /// The number of seeds.
    pub seeds: u64,
    /// The duration during which faults are injected, in seconds.
    pub seconds: u64,
    /// The number of VMs.
    pub vms: usize,
    /// The number of shards.
    pub shards: usize,
}

/// The options of `gs-rig demo`.
#[derive(Clone, Debug)]
pub struct DemoArgs {
    /// CommonArgs options.
    pub common: CommonArgs,
    /// Arrivals per second.
    pub rate: f64,
    /// The address of the control port for the stand-ins.
    pub control: SocketAddr,
}

/// The options of `gs-rig table`.
#[derive(Clone, Debug)]
pub struct TableArgs {
    /// CommonArgs options.
    pub common: CommonArgs,
    /// The scenarios to run; all if empty.
    pub scenarios: Vec<String>,
    /// The policies to compare.
    pub policies: Vec<String>,
    /// The file for the plot.
    pub svg: Option<PathBuf>,
}

/// The options of `gs-rig cost`.
#[derive(Clone, Debug)]
pub struct CostArgs {
    /// CommonArgs options.
    pub common: CommonArgs,
    /// Arrivals per second.
    pub rate: f64,
}

/// The options of `gs-rig bare`.
#[derive(Clone, Debug)]
pub struct BareArgs {
    /// The servers to query, one for each shard.
    pub servers: Vec<SocketAddr>,
    /// The source address of the connections.
    pub source: std::net::IpAddr,
    /// Arrivals per second.
    pub rate: f64,
    /// The duration of the arrivals.
    pub length: Duration,
    /// The seed of the arrivals.
    pub seed: u64,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("gs-rig")
        .about("Runs gentiansill with stand-ins for everything around it, and measures it")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            common(
                "demo",
                "Starts nine VMs, sends lookups of each kind and checks every page",
            )
            .arg(number("rate", "60", "Lookups a second"))
            .arg(
                Arg::new("control")
                    .long("control")
                    .value_name("ADDR")
                    .default_value("127.0.0.1:0")
                    .value_parser(value_parser!(SocketAddr))
                    .help("Where commands to the stand-ins are taken"),
            ),
        )
        .subcommand(
            common("table", "Compares policies under faults, one line for each")
                .arg(list("scenario", "Only these scenarios"))
                .arg(list("policy", "Only these policies"))
                .arg(path("svg", "Writes a plot of the 99th percentiles here")),
        )
        .subcommand(
            common(
                "cost",
                "Measures processor time, added latency, memory and start",
            )
            .arg(number("rate", "150", "Lookups a second")),
        )
        .subcommand(common(
            "storm",
            "Measures goodput by load, and the time to recover from a storm of resends",
        ))
        .subcommand(bare_command())
        .subcommand(soak_command())
        .subcommand(site_command())
}

fn common(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(path("bin", "The gentiansill program").default_value("target/release/gentiansill"))
        .arg(path("text", "The folder whose text is indexed").default_value("."))
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_parser(["derwent-quill", "lankapura"])
                .default_value("derwent-quill")
                .help("Whose sizes and delays"),
        )
        .arg(number("seconds", "20", "How long each run takes requests"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("20261203")
                .value_parser(value_parser!(u64))
                .help("The seed of everything drawn"),
        )
}

fn bare_command() -> Command {
    Command::new("bare")
        .about("Fans out with a bare hyper client and tells its processor time")
        .arg(list("server", "The servers asked, one for each shard"))
        .arg(
            Arg::new("source")
                .long("source")
                .required(true)
                .value_parser(value_parser!(std::net::IpAddr))
                .help("The address that connections start from"),
        )
        .arg(number("rate", "150", "Lookups a second"))
        .arg(number("seconds", "10", "How long requests arrive"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("20261203")
                .value_parser(value_parser!(u64))
                .help("The seed of the arrivals"),
        )
}

fn soak_command() -> Command {
    site_args(
        Command::new("soak").about(
            "Injects faults into relaying processes from outside, seed by seed, and checks the promises",
        ),
        "/tmp/gentiansill-soak",
    )
    .arg(
        Arg::new("all-faults")
            .long("all-faults")
            .action(ArgAction::SetTrue)
            .help("Adds requests that crash servers, restores and old reads of the store, and late copies of answers"),
    )
}

fn site_command() -> Command {
    site_args(
        Command::new("site")
            .about("Starts relaying VMs on a stand-in of the platform and checks every page"),
        "/tmp/gentiansill-site",
    )
}

/// Adds the arguments of `soak` and `site`; `site` ignores the seeds.
fn site_args(command: Command, dir: &'static str) -> Command {
    let integer_arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    command
        .arg(path("bin", "The gentiansill program").default_value("target/release/gentiansill"))
        .arg(path("dir", "Where settings and logs go").default_value(dir))
        .arg(integer_arg("seed", "1", "The first seed"))
        .arg(integer_arg(
            "seeds",
            "1",
            "How many seeds, one after the other",
        ))
        .arg(integer_arg("seconds", "20", "How long faults come"))
        .arg(integer_arg("vms", "3", "VMs, at most 60"))
        .arg(integer_arg("shards", "6", "Shards of two servers each"))
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("PATH")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(f64))
        .help(help)
}

fn list(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NAME")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .help(help)
}

/// Reads the options of `gs-rig soak` and `gs-rig site`.
pub fn soak(m: &ArgMatches) -> Result<SoakArgs> {
    let vms: u64 = read(m, "vms")?;
    if vms == 0 || vms > VMS_MAX {
        return Err(Error::new(ErrorKind::BadInput, "`vms` is out of range")
            .with_hint(format!("give 1 to {VMS_MAX}")));
    }
    Ok(SoakArgs {
        bin: read(m, "bin")?,
        dir: read(m, "dir")?,
        seed: read(m, "seed")?,
        // `site` injects none.
        all_faults: m
            .try_get_one::<bool>("all-faults")
            .is_ok_and(|f| f == Some(&true)),
        seeds: read(m, "seeds")?,
        seconds: read(m, "seconds")?,
        vms: vms as usize,
        shards: read::<u64>(m, "shards")? as usize,
    })
}

/// Reads the options of `gs-rig demo`.
pub fn demo(m: &ArgMatches) -> Result<DemoArgs> {
    Ok(DemoArgs {
        common: read_common(m)?,
        rate: read(m, "rate")?,
        control: read(m, "control")?,
    })
}

/// Reads the options of `gs-rig table`.
pub fn table(m: &ArgMatches) -> Result<TableArgs> {
    let mut policies = read_list(m, "policy");
    if policies.is_empty() {
        policies = vec!["chosen".to_owned(), "baseline".to_owned()];
    }
    Ok(TableArgs {
        common: read_common(m)?,
        scenarios: read_list(m, "scenario"),
        policies,
        svg: m.get_one("svg").cloned(),
    })
}

/// Reads the options of `gs-rig cost`.
pub fn cost(m: &ArgMatches) -> Result<CostArgs> {
    Ok(CostArgs {
        common: read_common(m)?,
        rate: read(m, "rate")?,
    })
}

/// Reads the options of `gs-rig storm`.
pub fn storm(m: &ArgMatches) -> Result<CommonArgs> {
    read_common(m)
}

/// Reads the options of `gs-rig bare`.
pub fn bare(m: &ArgMatches) -> Result<BareArgs> {
    let servers: std::result::Result<_, _> = read_list(m, "server")
        .iter()
        .map(|s| s.parse::<SocketAddr>())
        .collect();
    Ok(BareArgs {
        servers: servers.map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()))?,
        source: read(m, "source")?,
        rate: read(m, "rate")?,
        length: seconds(read(m, "seconds")?)?,
        seed: read(m, "seed")?,
    })
}

fn read_common(m: &ArgMatches) -> Result<CommonArgs> {
    let deployment: String = read(m, "deployment")?;
    let shape = match deployment.as_str() {
        "lankapura" => Shape::lankapura(),
        _ => Shape::derwent_quill(),
    };
    Ok(CommonArgs {
        bin: read(m, "bin")?,
        text: read(m, "text")?,
        shape,
        deployment,
        length: seconds(read(m, "seconds")?)?,
        seed: read(m, "seed")?,
    })
}

fn read<T: Clone + Send + Sync + 'static>(m: &ArgMatches, name: &str) -> Result<T> {
    let missing = || Error::new(ErrorKind::BadInput, format!("`--{name}` is missing"));
    m.get_one::<T>(name).cloned().ok_or_else(missing)
}

fn read_list(m: &ArgMatches, name: &str) -> Vec<String> {
    m.get_many(name)
        .map_or_else(Vec::new, |v| v.cloned().collect())
}

fn seconds(n: f64) -> Result<Duration> {
    Duration::try_from_secs_f64(n).map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()))
}
