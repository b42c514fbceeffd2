//! A shared TCP stream that counts its bytes and knows how long it has been idle.

use crate::deadline;
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

/// Bytes that were moved over connections.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Traffic {
    /// Sent by this end.
    pub sent: u64,
    /// Received by this end.
    pub received: u64,
}

/// Adds the bytes that a read or write has moved.
fn count_bytes(counter: &AtomicU64, polled: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(bytes)) = polled {
        counter.fetch_add(*bytes as u64, Ordering::Relaxed);
    }
}

/// A handle to one connection, cheap to clone. The socket is closed with the last handle,
/// or by [`Stream::close`].
#[derive(Clone)]
pub(crate) struct Stream(Arc<Inner>);

struct Inner {
    socket: Async<TcpStream>,
    opened_at: Instant,
    /// Milliseconds from `opened_at` to the last byte that moved.
    moved_ms: AtomicU64,
    /// Bytes sent and received since the last [`Stream::take_traffic`].
    sent: AtomicU64,
    received: AtomicU64,
}

impl Stream {
    /// Wraps a connected socket.
    pub(crate) fn new(socket: Async<TcpStream>) -> Self {
        // A message is written whole: waiting for more to send would only add a round trip.
        // Without the option the connection is slower, but it works.
        let _ = socket.get_ref().set_nodelay(true);
        Self(Arc::new(Inner {
            socket,
            opened_at: Instant::now(),
            moved_ms: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }))
    }

    /// Connects to an address.
    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(Async::<TcpStream>::connect(addr).await?))
    }

    /// Time since the last byte moved.
    pub(crate) fn idle_for(&self) -> Duration {
        let moved = Duration::from_millis(self.0.moved_ms.load(Ordering::Relaxed));
        self.0.opened_at.elapsed().saturating_sub(moved)
    }

    /// Completes when no byte has moved for `timeout`.
    pub(crate) async fn wait_idle(&self, timeout: Duration) {
        loop {
            // Saturating, because the clock may pass the timeout meanwhile.
            let remaining = timeout.saturating_sub(self.idle_for());
            if remaining.is_zero() {
                return;
            }
            deadline::deadline_after(remaining).await;
        }
    }

    /// Records the time of a successful read or write.
    fn note_activity<T>(&self, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Ok(_)) = &polled {
            let ms = self.0.opened_at.elapsed().as_millis() as u64;
            self.0.moved_ms.store(ms, Ordering::Relaxed);
        }
        polled
    }

    /// Returns the bytes sent and received since this was last called.
    pub(crate) fn take_traffic(&self) -> Traffic {
        Traffic {
            sent: self.0.sent.swap(0, Ordering::Relaxed),
            received: self.0.received.swap(0, Ordering::Relaxed),
        }
    }

    /// Sends a message, head and body in one write: each write is a packet and a system
    /// call.
    pub(crate) async fn send(&self, mut message: impl AsyncRead + Unpin) -> io::Result<()> {
        let mut bytes = Vec::new();
        message.read_to_end(&mut bytes).await?;
        self.clone().write_all(&bytes).await
    }

    /// Closes the connection, for all handles.
    pub(crate) fn close(&self) {
        // It fails only if the connection is closed already.
        let _ = self.0.socket.get_ref().shutdown(Shutdown::Both);
    }

    /// Whether the connection is open and has no unread input; only then may it serve
    /// another request.
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
        self.note_activity(polled)
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
        self.note_activity(polled)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.socket).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.socket).poll_close(cx)
    }
}
