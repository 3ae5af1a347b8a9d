//! Helpers that run the real binary and a stand-in for a process's administration API.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::thread::JoinHandle;

/// Output and exit code of a finished program.
#[derive(Debug)]
pub struct ProgramOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the program in a directory.
pub fn run_in(dir: &Path, args: &[&str]) -> ProgramOutput {
    let out = Command::new(env!("CARGO_BIN_EXE_gentiansill"))
        .current_dir(dir)
        .args(args)
        .env_remove("GENTIANSILL_KEY_FILE")
        .env("NO_COLOR", "1")
        .output()
        .expect("the program runs");
    let text = |buf: Vec<u8>| {
        let s = String::from_utf8(buf).expect("UTF-8");
        s.lines().map(str::trim_end).collect::<Vec<_>>().join("\n")
    };
    ProgramOutput {
        code: out.status.code().expect("an exit code"),
        stdout: text(out.stdout),
        stderr: text(out.stderr),
    }
}

/// Runs the program at the root of the repository.
pub fn run(args: &[&str]) -> ProgramOutput {
    run_in(Path::new(env!("CARGO_MANIFEST_DIR")), args)
}

/// Creates a temporary directory with files of these names and contents.
pub fn create_files(list: &[(&str, &str)]) -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("a directory");
    for (name, content) in list {
        std::fs::write(dir.path().join(name), content).expect("a file");
    }
    dir
}

/// Starts a server that sends one canned answer on each connection in turn; for an empty answer it only closes the
/// connection. Joining the thread returns the requests.
pub fn serve_answers(answers: &[&str]) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("its address");
    let answers: Vec<String> = answers.iter().map(|s| (*s).to_owned()).collect();
    let served = thread::spawn(move || {
        let mut requests = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().expect("a connection");
            requests.push(read_request(&mut stream));
            stream.write_all(answer.as_bytes()).expect("written");
        }
        requests
    });
    (addr, served)
}

/// Reads a request's head and the body of the length that the head states.
fn read_request(stream: &mut impl Read) -> String {
    let mut buf = Vec::new();
    let mut byte = [0];
    while !buf.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        buf.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&buf).to_lowercase();
    let len = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; len];
    stream.read_exact(&mut body).expect("the body");
    buf.extend(body);
    String::from_utf8(buf).expect("UTF-8")
}

/// Formats an HTTP answer with a JSON body.
pub fn http_answer(status: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}
