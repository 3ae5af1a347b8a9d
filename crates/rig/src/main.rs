//! `gs-rig`: runs deployments of stand-ins and `gentiansill` processes, and measures them.

mod args;
mod bare;
mod cost;
mod demo;
mod policy_comparison;
mod scenario;
mod site_demo;
mod soak;
mod storm;

use std::process::ExitCode;

use gs_types::prelude::*;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let logger =
        flexi_logger::Logger::try_with_env_or_str("warn").and_then(flexi_logger::Logger::start);
    if let Err(e) = logger {
        eprintln!("gs-rig: no log: {e}");
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(rt) => rt.block_on(run(&matches)),
        Err(e) => Err(Error::new(ErrorKind::Io, e.to_string()).at("start the runtime")),
    };
    match ended {
        Ok(code) => code,
        Err(e) => {
            eprintln!("gs-rig: {e}");
            if let Some(hint) = e.hint() {
                eprintln!("  hint: {hint}");
            }
            ExitCode::from(2)
        }
    }
}

/// Runs the subcommand until it ends or a signal arrives.
async fn run(matches: &clap::ArgMatches) -> Result<ExitCode> {
    let work = async {
        match matches.subcommand() {
            Some(("demo", m)) => demo::run(&args::demo(m)?).await,
            Some(("table", m)) => policy_comparison::run(&args::table(m)?).await,
            Some(("cost", m)) => cost::run(&args::cost(m)?).await,
            Some(("storm", m)) => storm::run(&args::storm(m)?).await,
            Some(("site", m)) => site_demo::run(&args::soak(m)?).await,
            Some(("soak", m)) => soak::run(&args::soak(m)?).await,
            Some(("bare", m)) => bare::run(&args::bare(m)?).await,
            _ => Ok(ExitCode::from(2)),
        }
    };
    // Returning drops the deployment, which ends the processes that it started.
    tokio::select! {
        ended = work => ended,
        () = wait_for_signal() => Err(Error::new(ErrorKind::Unavailable, "interrupted")),
    }
}

/// Returns at the first SIGINT or SIGTERM.
async fn wait_for_signal() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;

    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    if let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    } else {
        // Without handlers, the signals end the process by default.
        std::future::pending::<()>().await;
    }
}
