//! Listening sockets.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Listens on an address, where up to `backlog` connections wait to be accepted (no more
/// than the kernel's `net.core.somaxconn`). An attempt beyond that is repeated by the
/// caller's kernel after a second.
///
/// # Errors
///
/// Those of the system: the address is in use, or not of this machine.
pub fn bind(addr: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(socket.into())
}
