//! Accepting connections on a listening socket.

use crate::stream::Stream;
use async_io::{Async, Timer};
use std::io;
use std::net::TcpListener;
use std::time::Duration;

/// Delay before a failed `accept` is retried. The most frequent cause of a failure is a lack
/// of file descriptors, which lasts until some connection is closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listening socket on the reactor.
pub(crate) struct Acceptor {
    listener: Async<TcpListener>,
    /// Name of the server at the start of log lines.
    log_subject: &'static str,
}

impl Acceptor {
    /// Registers a listening socket with the reactor. Log lines start with `log_subject`.
    ///
    /// # Errors
    ///
    /// The error of the operating system, if the socket can't be registered.
    pub(crate) fn new(listener: TcpListener, log_subject: &'static str) -> io::Result<Self> {
        let listener = Async::new(listener)?;
        Ok(Self {
            listener,
            log_subject,
        })
    }

    /// Waits for the next connection. After a failure, `accept` is retried.
    pub(crate) async fn accept(&self) -> Stream {
        loop {
            match self.listener.accept().await {
                Ok((socket, _)) => return Stream::new(socket),
                Err(e) => {
                    log::debug!(
                        "{}: accept failed, retrying in {ACCEPT_RETRY_DELAY:?}: {e}",
                        self.log_subject
                    );
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
