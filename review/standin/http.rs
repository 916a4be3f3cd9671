//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Request as a server reads it; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Req>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut req = Req {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length: usize = req.header("content-length").parse().unwrap_or(0);
    req.body = vec![0; length];
    reader.read_exact(&mut req.body)?;
    Ok(Some(req))
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Got {
    /// `None` if no head of a response arrived.
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_whole: bool,
    pub took: Duration,
    pub error: String,
}

impl Got {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn short(&self) -> String {
        let ms = self.took.as_millis();
        match self.status {
            Some(status) if self.is_whole => format!("{status} after {ms} ms"),
            Some(status) => format!("{status}, broken off after {ms} ms ({})", self.error),
            None => format!("no answer after {ms} ms ({})", self.error),
        }
    }
}

/// Sends one request on a new connection and reads the response to its end, for at most `patience`.
pub fn call(to: SocketAddr, req: &Req, patience: Duration) -> Got {
    let start = Instant::now();
    let mut got = Got {
        status: None,
        headers: Vec::new(),
        body: Vec::new(),
        is_whole: false,
        took: Duration::ZERO,
        error: String::new(),
    };
    if let Err(error) = exchange(to, req, start + patience, &mut got) {
        got.error = error.to_string();
    }
    got.took = start.elapsed();
    got
}

/// Stream whose reads end at an instant.
struct Until(TcpStream, Instant);

impl Read for Until {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.1.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.0.set_read_timeout(Some(left))?;
        self.0.read(buffer)
    }
}

fn exchange(to: SocketAddr, req: &Req, end: Instant, got: &mut Got) -> io::Result<()> {
    let left = end.saturating_duration_since(Instant::now());
    let mut stream = TcpStream::connect_timeout(&to, left.max(Duration::from_millis(1)))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{} {} HTTP/1.1\r\n", req.method, req.target);
    for (name, value) in &req.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if req.method != "GET" || !req.body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", req.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&req.body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(Until(stream, end));
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    got.status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    got.headers = headers;
    if got.header("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            got.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Ok(length) = got.header("content-length").parse::<usize>() {
        got.body = vec![0; length];
        reader.read_exact(&mut got.body)?;
    } else {
        reader.read_to_end(&mut got.body)?;
    }
    got.is_whole = true;
    Ok(())
}
