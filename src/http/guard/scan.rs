//! Finds the sockets that `tiny_http` accepted, by scanning the descriptors of
//! this process.

use std::collections::{HashMap, HashSet};
use std::fs::{self, File};
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd, RawFd};
use std::os::unix::fs::MetadataExt;

use socket2::Socket;

/// Directory of the open descriptors of this process.
const DESCRIPTOR_DIR: &str = "/proc/self/fd";

/// State of one connection as reported by the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketSample {
    /// Inode of the socket.
    pub inode: u64,
    /// Address of the client.
    pub peer: SocketAddr,
    /// Received bytes; `None` if they were not queried.
    pub received: Option<ReceivedBytes>,
}

/// Numbers of bytes that a connection has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedBytes {
    /// Bytes that the process has read; a lower bound while more arrive.
    pub read: u64,
    /// Bytes received in total.
    pub total: u64,
}

/// A connection found by a scan.
#[derive(Clone, Debug)]
struct KnownSocket {
    /// Descriptors at the last scan. Some may be short-lived duplicates of another
    /// thread.
    descriptors: Vec<RawFd>,
    peer: SocketAddr,
}

/// Finds the connections accepted at one address.
#[derive(Debug)]
pub struct Scanner {
    local: SocketAddr,
    /// Accepted connections by inode.
    known: HashMap<u64, KnownSocket>,
    /// Inodes of sockets that were not accepted at this address.
    unrelated: HashSet<u64>,
}

impl Scanner {
    /// Creates a scanner for connections accepted at `local`.
    pub fn new(local: SocketAddr) -> Self {
        Scanner {
            local,
            known: HashMap::new(),
            unrelated: HashSet::new(),
        }
    }

    /// Returns the address at which the connections are accepted.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Samples all connections; does not query the received bytes of clients
    /// for which `skip` returns true.
    pub fn scan(&mut self, skip: impl Fn(&SocketAddr) -> bool) -> io::Result<Vec<SocketSample>> {
        let sockets = list_sockets()?;
        self.known.retain(|inode, _| sockets.contains_key(inode));
        self.unrelated.retain(|inode| sockets.contains_key(inode));
        let mut samples = Vec::new();
        for (inode, descriptors) in sockets {
            if self.unrelated.contains(&inode) {
                continue;
            }
            // Only closed sockets have no descriptor left.
            let Ok(sample) = self.sample(inode, descriptors, &skip) else {
                continue;
            };
            samples.extend(sample);
        }
        Ok(samples)
    }

    /// Samples one socket; returns `None` if it was not accepted at this address.
    fn sample(
        &mut self,
        inode: u64,
        descriptors: Vec<RawFd>,
        skip: impl Fn(&SocketAddr) -> bool,
    ) -> io::Result<Option<SocketSample>> {
        let peer = match self.known.get_mut(&inode) {
            Some(known) => {
                known.descriptors = descriptors;
                known.peer
            }
            None => {
                let socket = duplicate_of(inode, &descriptors)?;
                let Ok(peer) = self.peer_address(&socket) else {
                    self.unrelated.insert(inode);
                    return Ok(None);
                };
                self.known.insert(inode, KnownSocket { descriptors, peer });
                peer
            }
        };
        let received = match skip(&peer) {
            true => None,
            false => Some(received_bytes(&self.duplicate_socket(inode)?)?),
        };
        Ok(Some(SocketSample {
            inode,
            peer,
            received,
        }))
    }

    /// Duplicates the socket of a known connection.
    ///
    /// # Errors
    ///
    /// The connection was closed meanwhile.
    pub fn duplicate_socket(&self, inode: u64) -> io::Result<Socket> {
        let known = self.known.get(&inode).ok_or(io::ErrorKind::NotFound)?;
        duplicate_of(inode, &known.descriptors)
    }

    fn peer_address(&self, socket: &Socket) -> io::Result<SocketAddr> {
        let local = socket.local_addr()?.as_socket();
        let is_accepted = local.is_some_and(|local| {
            local.port() == self.local.port()
                && (local.ip() == self.local.ip() || self.local.ip().is_unspecified())
        });
        if !is_accepted {
            return Err(io::ErrorKind::NotFound.into());
        }
        let peer = socket.peer_addr()?.as_socket();
        peer.ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// Returns the inode and the descriptors of each socket of this process.
fn list_sockets() -> io::Result<HashMap<u64, Vec<RawFd>>> {
    let mut sockets: HashMap<u64, Vec<RawFd>> = HashMap::new();
    for entry in fs::read_dir(DESCRIPTOR_DIR)? {
        let entry = entry?;
        let Ok(target) = fs::read_link(entry.path()) else {
            continue;
        };
        let inode = target.to_str().and_then(parse_inode);
        let fd = entry
            .file_name()
            .to_str()
            .and_then(|name| name.parse().ok());
        if let (Some(inode), Some(fd)) = (inode, fd) {
            sockets.entry(inode).or_default().push(fd);
        }
    }
    Ok(sockets)
}

/// Parses the inode in `socket:[INODE]`.
fn parse_inode(target: &str) -> Option<u64> {
    let rest = target.strip_prefix("socket:[")?;
    rest.strip_suffix(']')?.parse().ok()
}

/// Duplicates the socket `inode` by one of its descriptors. Each descriptor may
/// have been closed since it was listed, and its number reused.
fn duplicate_of(inode: u64, descriptors: &[RawFd]) -> io::Result<Socket> {
    for fd in descriptors {
        // SAFETY: the descriptor is only duplicated, which fails if it was closed.
        // The duplicate is closed unused if it is not of this socket.
        let borrowed = unsafe { BorrowedFd::borrow_raw(*fd) };
        let Ok(duplicate) = borrowed.try_clone_to_owned() else {
            continue;
        };
        let file = File::from(duplicate);
        if file.metadata()?.ino() == inode {
            return Ok(OwnedFd::from(file).into());
        }
    }
    Err(io::ErrorKind::NotFound.into())
}

fn received_bytes(socket: &Socket) -> io::Result<ReceivedBytes> {
    let total = tcp_info(socket)?.tcpi_bytes_received;
    // Queried after the total, so that bytes arriving in between make `read`
    // too small rather than too large.
    let unread = unread_bytes(socket)?;
    let read = total.saturating_sub(unread);
    Ok(ReceivedBytes { read, total })
}

/// Returns `TCP_INFO` of a socket, see tcp(7).
fn tcp_info(socket: &Socket) -> io::Result<libc::tcp_info> {
    // SAFETY: the structure consists of integers, for which zeros are valid.
    let mut info: libc::tcp_info = unsafe { mem::zeroed() };
    let mut size = mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: both pointers are valid for the call, and `size` is the size of
    // the structure that the kernel may fill.
    let failed = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut size,
        )
    };
    match failed {
        0 => Ok(info),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Returns the number of bytes that are ready to be read (`FIONREAD`).
fn unread_bytes(socket: &Socket) -> io::Result<u64> {
    let mut unread: libc::c_int = 0;
    // SAFETY: the kernel writes one integer to a valid pointer.
    let failed = unsafe { libc::ioctl(socket.as_raw_fd(), libc::FIONREAD, &raw mut unread) };
    match failed {
        0 => Ok(u64::try_from(unread).unwrap_or_default()),
        _ => Err(io::Error::last_os_error()),
    }
}
