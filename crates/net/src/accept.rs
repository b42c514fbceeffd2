//! Accepting connections on a listening socket.

use crate::stream::Stream;
use async_io::{Async, Timer};
use std::io;
use std::net::TcpListener;
use std::time::Duration;

/// Delay after a failed `accept`, which is most often a lack of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listening socket on the reactor.
pub(crate) struct Acceptor {
    listener: Async<TcpListener>,
    /// Subject of log lines.
    name: &'static str,
}

impl Acceptor {
    /// Registers a socket with the reactor.
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub(crate) fn new(listener: TcpListener, name: &'static str) -> io::Result<Self> {
        let listener = Async::new(listener)?;
        Ok(Self { listener, name })
    }

    /// Waits for the next connection; after a failure it tries again.
    pub(crate) async fn accept(&self) -> Stream {
        loop {
            match self.listener.accept().await {
                Ok((socket, _)) => return Stream::new(socket),
                Err(e) => {
                    log::debug!("{}: accept failed, {e}", self.name);
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }
}
