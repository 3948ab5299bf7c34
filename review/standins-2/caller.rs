//! Connections of requesters.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{FromRawFd, RawFd};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::record::Record;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> RawFd;
    fn setsockopt(fd: RawFd, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: RawFd, addr: *const SockAddr, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

#[repr(C)]
struct SockAddr {
    family: u16,
    port: u16,
    addr: [u8; 4],
    zero: [u8; 8],
}

/// Connects with a receive buffer of this size, which bounds the window.
pub fn connect_with_buffer(addr: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(addr) = addr else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let to = |addr: SocketAddrV4| SockAddr {
        family: AF_INET as u16,
        port: addr.port().to_be(),
        addr: addr.ip().octets(),
        zero: [0; 8],
    };
    let check = |code: i32| match code {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    };
    // SAFETY: the calls get valid pointers with the lengths of what they point to, and the
    // descriptor is owned by the stream from its creation on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        check(setsockopt(
            fd,
            SOL_SOCKET,
            SO_RCVBUF,
            &bytes,
            size_of::<i32>() as u32,
        ))?;
        check(connect(fd, &to(addr), size_of::<SockAddr>() as u32))?;
        Ok(stream)
    }
}

/// Sends a request.
pub fn send(
    stream: &mut TcpStream,
    line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("{line} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    let mut out = format!("{out}\r\n").into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// Reads at most so many bytes at once.
pub fn read_some(stream: &mut TcpStream, out: &mut Vec<u8>, most: usize) -> io::Result<usize> {
    let mut chunk = vec![0; most];
    let count = stream.read(&mut chunk)?;
    out.extend_from_slice(&chunk[..count]);
    Ok(count)
}

/// How a requester reads.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// What is there.
    Prompt,
    /// At most so many bytes in each span.
    Slow(usize, Duration),
}

/// How a stream ended for its requester.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub is_whole: bool,
    /// Time since the request was sent.
    pub at: Duration,
}

/// Sends a lookup, and then a stream on the same connection. Returns how the stream ended; an
/// error says that the case could not run.
pub fn ask(
    record: &Record,
    addr: SocketAddr,
    name: &str,
    (window, pace): (i32, Pace),
    time_limit: Duration,
) -> Result<End, String> {
    let fail = |e: io::Error| format!("{name}: {e}");
    let mut stream = connect_with_buffer(addr, window).map_err(fail)?;
    let host = ("Host", "lamps.example");
    let id = format!("{name}-look");
    let fields = [
        host,
        ("X-Mastichinge-Request-Id", &id),
        ("X-Mastichinge-Deadline-Ms", "4000"),
    ];
    send(&mut stream, "GET /look/1", &fields, b"").map_err(fail)?;
    let mut answer = Vec::new();
    while !is_whole_lookup(&answer) {
        if read_some(&mut stream, &mut answer, 4_096).map_err(fail)? == 0 {
            return Err(format!("{name}: the lookup was not answered"));
        }
    }
    record.add(&format!("{id} answered, the connection is kept"));
    let id = format!("{name}-ask");
    let limit = time_limit.as_millis().to_string();
    let fields = [
        host,
        ("X-Mastichinge-Request-Id", &*id),
        ("X-Mastichinge-Deadline-Ms", &limit),
        ("X-Mastichinge-Model", "m0"),
        ("X-Mastichinge-Token-Count", "820,400"),
        (
            "X-Mastichinge-Prompt-Prefix",
            "5c1e07a2:120,91bd3f06:80,e4402b7d:620",
        ),
    ];
    send(&mut stream, "POST /ask/1", &fields, &[b'p'; 1_700]).map_err(fail)?;
    record.add(&format!("{id} sent"));
    let sent = Instant::now();
    let mut answer = Vec::new();
    let cause = loop {
        if answer.ends_with(b"\r\n0\r\n\r\n") {
            break None;
        }
        if sent.elapsed() >= time_limit {
            break Some("its time limit is over".to_owned());
        }
        let most = match pace {
            Pace::Slow(bytes, _) => bytes,
            Pace::Prompt => 65_536,
        };
        match read_some(&mut stream, &mut answer, most) {
            Ok(0) => break Some("closed".to_owned()),
            Ok(_) => {}
            Err(error) => break Some(error.to_string()),
        }
        if let Pace::Slow(_, span) = pace {
            sleep(span);
        }
    };
    let (bytes, at) = (answer.len(), sent.elapsed());
    let s = at.as_secs_f64();
    match &cause {
        None => record.add(&format!(
            "{id} answered whole after {s:.1} s, {bytes} bytes"
        )),
        Some(cause) => record.add(&format!(
            "{id} cut after {s:.1} s and {bytes} bytes: {cause}"
        )),
    }
    Ok(End {
        is_whole: cause.is_none(),
        at,
    })
}

fn is_whole_lookup(answer: &[u8]) -> bool {
    let head = answer.windows(4).position(|w| w == b"\r\n\r\n");
    head.is_some_and(|end| answer.len() >= end + 4 + 800)
}
