//! Runs one case of the review: `review-standin-2 CASE FOLDER`.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod client;
mod http;
mod json;
mod record;
mod server;
mod silent_store;
mod site;
mod slow_poison;
mod store;
mod vm;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

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
    let site = Site::start(&dir, record)?;
    let result = match case {
        "slow-poison" => slow_poison::run(&site, trouble),
        "silent-store" => silent_store::run(&site, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    drop(site);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("logs in {}", dir.display());
    }
    result
}
