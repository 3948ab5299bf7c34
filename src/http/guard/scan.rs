//! Finds the sockets that `tiny_http` accepted, by scanning the descriptors of
//! this process.

use std::collections::{HashMap, HashSet};
use std::fs;
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd, RawFd};

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

/// A connection found by an earlier scan.
#[derive(Clone, Copy, Debug)]
struct KnownSocket {
    fd: RawFd,
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

    /// Samples all connections; does not query the received bytes of clients
    /// for which `skip` returns true.
    pub fn scan(&mut self, skip: impl Fn(&SocketAddr) -> bool) -> io::Result<Vec<SocketSample>> {
        let sockets = list_sockets()?;
        self.known.retain(|inode, _| sockets.contains_key(inode));
        self.unrelated.retain(|inode| sockets.contains_key(inode));
        let mut samples = Vec::new();
        for (inode, fd) in sockets {
            if self.unrelated.contains(&inode) {
                continue;
            }
            match self.sample(inode, fd, &skip) {
                Ok(sample) => samples.push(sample),
                // The socket was closed meanwhile, or was not accepted at
                // this address.
                Err(_) if !self.known.contains_key(&inode) => {
                    self.unrelated.insert(inode);
                }
                Err(_) => {}
            }
        }
        Ok(samples)
    }

    fn sample(
        &mut self,
        inode: u64,
        fd: RawFd,
        skip: impl Fn(&SocketAddr) -> bool,
    ) -> io::Result<SocketSample> {
        let peer = match self.known.get_mut(&inode) {
            Some(known) => {
                known.fd = fd;
                known.peer
            }
            None => {
                let peer = self.accepted_peer(fd)?;
                self.known.insert(inode, KnownSocket { fd, peer });
                peer
            }
        };
        let received = match skip(&peer) {
            true => None,
            false => Some(received_bytes(&self.duplicate_socket(inode, peer)?)?),
        };
        Ok(SocketSample {
            inode,
            peer,
            received,
        })
    }

    /// Returns the client's address if the socket was accepted at this address.
    fn accepted_peer(&self, fd: RawFd) -> io::Result<SocketAddr> {
        self.peer_address(&duplicate_descriptor(fd)?)
    }

    /// Duplicates the socket of a known connection.
    ///
    /// # Errors
    ///
    /// The connection was closed meanwhile.
    pub fn duplicate_socket(&self, inode: u64, peer: SocketAddr) -> io::Result<Socket> {
        let known = self.known.get(&inode).ok_or(io::ErrorKind::NotFound)?;
        let socket = duplicate_descriptor(known.fd)?;
        // The descriptor number may have been reused for another socket.
        if self.peer_address(&socket)? != peer {
            return Err(io::ErrorKind::NotFound.into());
        }
        Ok(socket)
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

/// Returns the inode and one descriptor of each socket of this process.
fn list_sockets() -> io::Result<HashMap<u64, RawFd>> {
    let mut sockets = HashMap::new();
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
            sockets.insert(inode, fd);
        }
    }
    Ok(sockets)
}

/// Parses the inode in `socket:[INODE]`.
fn parse_inode(target: &str) -> Option<u64> {
    let rest = target.strip_prefix("socket:[")?;
    rest.strip_suffix(']')?.parse().ok()
}

fn duplicate_descriptor(fd: RawFd) -> io::Result<Socket> {
    // SAFETY: the descriptor is only duplicated. If it was closed meanwhile,
    // this fails. If its number was reused, this returns a handle of the other
    // file; callers check its address before use, and otherwise close it.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    Ok(borrowed.try_clone_to_owned()?.into())
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
