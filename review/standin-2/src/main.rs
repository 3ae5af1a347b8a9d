//! Runs one case of the review: `review-standin-2 CASE FOLDER`.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod client;
mod deadly;
mod http;
mod json;
mod leaving;
mod record;
mod server;
mod site;
mod store;
mod vm;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;
use site::Site;

/// A case with its plan.
enum Case {
    Deadly(deadly::Plan),
    Leaving(leaving::Plan),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(case, Path::new(folder), trouble) {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path, trouble: bool) -> std::io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let dir = std::env::temp_dir().join(format!("gentiansill-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let case = match case {
        "shared-path" => Case::Deadly(deadly::Plan::shared_path()),
        "slow-poison" => Case::Deadly(deadly::Plan::slow()),
        "cut-off" => Case::Leaving(leaving::Plan::cut_off()),
        "silent-store" => Case::Leaving(leaving::Plan::silent_connections()),
        _ => return Err(std::io::Error::other("no such case")),
    };
    let (layout, kind) = match &case {
        Case::Deadly(plan) => (&site::DQM, plan.kind()),
        Case::Leaving(plan) => (plan.layout, "unsafe"),
    };
    let site = Site::start(&dir, record, layout, kind)?;
    let result = match &case {
        Case::Deadly(plan) => deadly::run(&site, plan, trouble),
        Case::Leaving(plan) => leaving::run(&site, plan, trouble),
    };
    drop(site);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("logs in {}", dir.display());
    }
    result
}
