//! A small blocking HTTP/1.1 reader and writer, enough for the stand-ins of this review.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// The headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }
}

/// A connection that reads one message after the other.
pub struct Connection {
    pub tcp: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(tcp: TcpStream) -> Self {
        let _ = tcp.set_nodelay(true);
        Self {
            tcp,
            buf: Vec::new(),
        }
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let tcp = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        tcp.set_read_timeout(Some(timeout))?;
        Ok(Self::new(tcp))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16384];
        let n = self.tcp.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(())
    }

    /// Reads one message whose body has a length or comes in chunks.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        let mut message = Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
        };
        if message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
        {
            message.body = self.read_chunks()?;
        } else if let Some(len) = message
            .header("content-length")
            .and_then(|v| v.parse().ok())
        {
            message.body = self.take(len)?;
        }
        Ok(message)
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = find(&self.buf, b"\r\n") {
                    break at;
                }
                self.fill()?;
            };
            let line = String::from_utf8_lossy(&self.take(end + 2)?).into_owned();
            let size = line.trim().split(';').next().unwrap_or("0");
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(
        &mut self,
        first: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{first}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.tcp.write_all(&bytes)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}
