//! Runs one case of the review: `review-standin-2 CASE FOLDER`.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod client;
mod deadly;
mod http;
mod json;
mod record;
mod server;
mod silent_store;
mod site;
mod store;
mod vm;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use deadly::Plan;
use record::Record;
use site::Site;

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
    let plan = match case {
        "slow-poison" => Some(Plan::slow()),
        "shared-path" => Some(Plan::shared_path()),
        "silent-store" => None,
        _ => return Err(std::io::Error::other("no such case")),
    };
    let site = Site::start(&dir, record, plan.as_ref().map_or("unsafe", Plan::kind))?;
    let result = match &plan {
        Some(plan) => deadly::run(&site, plan, trouble),
        None => silent_store::run(&site, trouble),
    };
    drop(site);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("logs in {}", dir.display());
    }
    result
}
