//! The sockets that a library accepted, seen from beside it.

use std::collections::{HashMap, HashSet};
use std::fs;
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd, RawFd};

use socket2::Socket;

/// Open descriptors of this process.
const DESCRIPTOR_DIR: &str = "/proc/self/fd";

/// What the kernel says of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketSample {
    /// Identity of the socket.
    pub inode: u64,
    /// Address of the client.
    pub peer: SocketAddr,
    /// Bytes; `None` if they were not asked for.
    pub received: Option<ReceivedBytes>,
}

/// Bytes that a connection has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedBytes {
    /// Bytes that the process has read, rounded down when more arrive.
    pub read: u64,
    /// All bytes.
    pub total: u64,
}

/// A known connection.
#[derive(Clone, Copy, Debug)]
struct KnownSocket {
    fd: RawFd,
    peer: SocketAddr,
}

/// Finds the connections accepted at one address.
#[derive(Debug)]
pub struct Scanner {
    local: SocketAddr,
    known: HashMap<u64, KnownSocket>,
    unrelated: HashSet<u64>,
}

impl Scanner {
    /// A scanner for connections accepted at `local`.
    pub fn new(local: SocketAddr) -> Self {
        Scanner {
            local,
            known: HashMap::new(),
            unrelated: HashSet::new(),
        }
    }

    /// Looks at all connections; does not ask for the bytes of those whose
    /// client `skip` names.
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
                // It was closed meanwhile, or is none of ours.
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

    /// The client's address if the socket is a connection accepted here.
    fn accepted_peer(&self, fd: RawFd) -> io::Result<SocketAddr> {
        self.peer_address(&duplicate_descriptor(fd)?)
    }

    /// A second handle of a known connection.
    ///
    /// # Errors
    ///
    /// The connection was closed meanwhile.
    pub fn duplicate_socket(&self, inode: u64, peer: SocketAddr) -> io::Result<Socket> {
        let known = self.known.get(&inode).ok_or(io::ErrorKind::NotFound)?;
        let socket = duplicate_descriptor(known.fd)?;
        // The number may belong to another socket by now.
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

/// Inode and one descriptor of each socket of this process.
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

/// The inode in `socket:[INODE]`.
fn parse_inode(target: &str) -> Option<u64> {
    let rest = target.strip_prefix("socket:[")?;
    rest.strip_suffix(']')?.parse().ok()
}

fn duplicate_descriptor(fd: RawFd) -> io::Result<Socket> {
    // SAFETY: the descriptor is only duplicated. If it was closed meanwhile,
    // this fails; if its number was taken again, this gives a handle of that
    // file, which is checked for its address before use and otherwise closed.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    Ok(borrowed.try_clone_to_owned()?.into())
}

fn received_bytes(socket: &Socket) -> io::Result<ReceivedBytes> {
    let total = tcp_info(socket)?.tcpi_bytes_received;
    // Asked for later, so that it is rather too large.
    let unread = unread_bytes(socket)?;
    let read = total.saturating_sub(unread);
    Ok(ReceivedBytes { read, total })
}

/// `TCP_INFO` of a socket, tcp(7).
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

/// Bytes that wait to be read, `FIONREAD`.
fn unread_bytes(socket: &Socket) -> io::Result<u64> {
    let mut unread: libc::c_int = 0;
    // SAFETY: the kernel writes one integer to a valid pointer.
    let failed = unsafe { libc::ioctl(socket.as_raw_fd(), libc::FIONREAD, &raw mut unread) };
    match failed {
        0 => Ok(u64::try_from(unread).unwrap_or_default()),
        _ => Err(io::Error::last_os_error()),
    }
}
