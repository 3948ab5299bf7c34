//! Connections of requesters.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{FromRawFd, RawFd};

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
        check(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, size_of::<i32>() as u32))?;
        check(connect(fd, &to(addr), size_of::<SockAddr>() as u32))?;
        Ok(stream)
    }
}

/// Sends a request.
pub fn send(stream: &mut TcpStream, line: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
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
