//! Creation of listening sockets.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Creates a socket that listens on `addr`. Up to `backlog` connections wait to be accepted,
/// but no more than the kernel's `net.core.somaxconn`. If the backlog is full, the kernel of
/// a connecting client retries after a second.
///
/// # Errors
///
/// The error of the operating system, for example if the address is in use or does not
/// belong to this machine.
pub fn bind_listener(addr: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    // A restarted process can bind the address while old connections are in `TIME_WAIT`.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(socket.into())
}
