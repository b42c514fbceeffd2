//! Listening sockets.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Listens on an address with a backlog of up to `backlog` connections (no more than the
/// kernel's `net.core.somaxconn`). The kernel of a client that finds the backlog full
/// repeats the attempt after a second.
///
/// # Errors
///
/// Those of the system: the address is in use, or not of this machine.
pub fn bind_listener(addr: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(socket.into())
}
