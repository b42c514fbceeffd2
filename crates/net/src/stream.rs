//! A shared TCP stream that counts the bytes it transfers and measures how long it has been
//! idle.

use crate::deadline::deadline_after;
use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Bytes that were transferred over connections.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Traffic {
    /// Bytes sent by this process.
    pub sent: u64,
    /// Bytes received by this process.
    pub received: u64,
}

/// Adds the bytes that a completed read or write has transferred.
fn count_bytes(counter: &AtomicU64, polled: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(bytes)) = polled {
        counter.fetch_add(*bytes as u64, Ordering::Relaxed);
    }
}

/// A handle to one connection; clones refer to the same connection. The socket is closed by
/// [`Stream::close`], or when the last handle is dropped.
#[derive(Clone)]
pub(crate) struct Stream(Arc<Inner>);

struct Inner {
    socket: Async<TcpStream>,
    opened_at: Instant,
    /// Milliseconds from `opened_at` to the last successful read or write.
    last_transfer_ms: AtomicU64,
    /// Bytes sent and received since the last [`Stream::take_traffic`].
    sent: AtomicU64,
    received: AtomicU64,
}

impl Stream {
    /// Wraps a connected socket.
    pub(crate) fn new(socket: Async<TcpStream>) -> Self {
        // Every message is written at once, so Nagle's algorithm would only add a round trip.
        // If the option can't be set, the connection is slower but works.
        let _ = socket.get_ref().set_nodelay(true);
        Self(Arc::new(Inner {
            socket,
            opened_at: Instant::now(),
            last_transfer_ms: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }))
    }

    /// Establishes a connection to an address.
    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(Async::<TcpStream>::connect(addr).await?))
    }

    /// Time since the last successful read or write.
    pub(crate) fn idle_for(&self) -> Duration {
        let last_transfer = Duration::from_millis(self.0.last_transfer_ms.load(Ordering::Relaxed));
        self.0.opened_at.elapsed().saturating_sub(last_transfer)
    }

    /// Completes when the connection has been idle for `timeout`.
    pub(crate) async fn wait_idle(&self, timeout: Duration) {
        loop {
            // The subtraction saturates, because the idle time may exceed the timeout.
            let remaining = timeout.saturating_sub(self.idle_for());
            if remaining.is_zero() {
                return;
            }
            deadline_after(remaining).await;
        }
    }

    /// Records the time of a successful read or write.
    fn record_transfer_time<T>(&self, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Ok(_)) = &polled {
            let ms = self.0.opened_at.elapsed().as_millis() as u64;
            self.0.last_transfer_ms.store(ms, Ordering::Relaxed);
        }
        polled
    }

    /// Returns the bytes sent and received since the last call of this method, and resets
    /// the counters.
    pub(crate) fn take_traffic(&self) -> Traffic {
        Traffic {
            sent: self.0.sent.swap(0, Ordering::Relaxed),
            received: self.0.received.swap(0, Ordering::Relaxed),
        }
    }

    /// Sends a message, head and body in one write, because each write costs a packet and a
    /// system call.
    pub(crate) async fn send(&self, mut message: impl AsyncRead + Unpin) -> io::Result<()> {
        let mut bytes = Vec::new();
        message.read_to_end(&mut bytes).await?;
        self.clone().write_all(&bytes).await
    }

    /// Closes the connection, for all handles.
    pub(crate) fn close(&self) {
        // `shutdown` fails only if the connection is closed already.
        let _ = self.0.socket.get_ref().shutdown(Shutdown::Both);
    }

    /// Whether the connection is open and has no unread input. Unread input would be taken
    /// for the response to the next request.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0_u8; 1];
        matches!(self.0.socket.get_ref().peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut &self.0.socket).poll_read(cx, buf);
        count_bytes(&self.0.received, &polled);
        self.record_transfer_time(polled)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut &self.0.socket).poll_write(cx, buf);
        count_bytes(&self.0.sent, &polled);
        self.record_transfer_time(polled)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.socket).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.socket).poll_close(cx)
    }
}
