//! Stand-ins for the review's cases: the platform's store, backend servers and requesters, around
//! real processes of `gentiansill relay`.
//!
//! Usage: `review-standin CASE BIN RECORD`. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. `TROUBLE=0` leaves out the disturbance.

mod caller;
mod http;
mod queue;
mod random;
mod record;
mod server;
mod store;
mod twice;
mod vm;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use crate::random::Random;
use crate::record::Record;
use crate::server::Runs;
use crate::store::Store;
use crate::vm::Vm;

/// What the cases share.
pub struct Site {
    bin: String,
    dir: PathBuf,
    pub store: Arc<Store>,
    pub runs: Runs,
    pub random: Arc<Random>,
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

impl Site {
    fn new(bin: String) -> std::io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(Self {
            bin,
            dir,
            store: Store::start()?,
            runs: Runs::default(),
            random: Arc::new(Random::new(20_261_204)),
            record: Arc::new(Record::new()),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        })
    }

    pub fn start_vms(&self) -> std::io::Result<Vec<Vm>> {
        vm::start_all(&self.bin, &self.dir, self.store.addr)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, bin, record] = &args[..] else {
        eprintln!("usage: review-standin CASE BIN RECORD");
        return ExitCode::from(2);
    };
    let result = Site::new(bin.clone()).and_then(|site| {
        let result = match case.as_str() {
            "twice" => twice::run(&site),
            "queue" => queue::run(&site),
            other => Err(std::io::Error::other(format!("no case `{other}`"))),
        };
        site.record.write(record).and(result)
    });
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
