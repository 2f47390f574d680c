use std::os::fd::AsRawFd;

use nix::libc::{TIOCOUTQ, c_int};
use tokio::net::TcpStream;

nix::ioctl_read_bad!(
    /// Reads how many bytes a socket has not sent, or has sent without an acknowledgement.
    read_send_queue,
    TIOCOUTQ,
    c_int
);

/// Bytes written to a socket that the other side's system has not taken yet; `None` if the system does
/// not tell.
pub(crate) fn unsent_bytes(io: &TcpStream) -> Option<usize> {
    let mut bytes = 0;
    // Safe: the descriptor is open while `io` is borrowed, and the call writes one integer.
    let read = unsafe { read_send_queue(io.as_raw_fd(), &mut bytes) };
    read.ok().and_then(|_| usize::try_from(bytes).ok())
}
