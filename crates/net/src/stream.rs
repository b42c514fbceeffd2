//! A TCP stream that can be shared and knows when it was last of use.

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

/// Bytes that went over connections.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Traffic {
    /// Sent by this end.
    pub sent: u64,
    /// Received by it.
    pub received: u64,
}

fn count(bytes: &AtomicU64, moved: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(n)) = moved {
        bytes.fetch_add(*n as u64, Ordering::Relaxed);
    }
}

/// A cheap handle to one connection.
#[derive(Clone)]
pub(crate) struct Stream(Arc<Inner>);

struct Inner {
    tcp: Async<TcpStream>,
    opened: Instant,
    /// Milliseconds from `opened` to the last byte that moved.
    moved_ms: AtomicU64,
    /// Bytes sent and received since they were last taken.
    sent: AtomicU64,
    received: AtomicU64,
}

impl Stream {
    pub(crate) fn new(inner: Async<TcpStream>) -> Self {
        // A request is written at once; waiting for more to send would only add a round trip.
        let _ = inner.get_ref().set_nodelay(true);
        Self(Arc::new(Inner {
            tcp: inner,
            opened: Instant::now(),
            moved_ms: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }))
    }

    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(Async::<TcpStream>::connect(addr).await?))
    }

    /// How long nothing has moved.
    pub(crate) fn idle_for(&self) -> Duration {
        let moved = Duration::from_millis(self.0.moved_ms.load(Ordering::Relaxed));
        self.0.opened.elapsed().saturating_sub(moved)
    }

    /// Waits until nothing has moved for so long. Time passes between two looks
    /// at the clock: a difference of durations once ended the process.
    pub(crate) async fn idle(&self, most: Duration) {
        loop {
            let left = most.saturating_sub(self.idle_for());
            if left.is_zero() {
                return;
            }
            deadline::after(left).await;
        }
    }

    fn touch<T>(&self, moved: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Ok(_)) = &moved {
            let ms = self.0.opened.elapsed().as_millis() as u64;
            self.0.moved_ms.store(ms, Ordering::Relaxed);
        }
        moved
    }

    /// Takes the count of bytes sent and received since this was last called.
    pub(crate) fn take_traffic(&self) -> Traffic {
        Traffic {
            sent: self.0.sent.swap(0, Ordering::Relaxed),
            received: self.0.received.swap(0, Ordering::Relaxed),
        }
    }

    /// Sends a message whole, head and body in one write: each write is a packet
    /// and a system call.
    pub(crate) async fn send(&self, mut message: impl AsyncRead + Unpin) -> io::Result<()> {
        let mut bytes = Vec::new();
        message.read_to_end(&mut bytes).await?;
        self.clone().write_all(&bytes).await
    }

    /// Ends the connection, for all handles.
    pub(crate) fn close(&self) {
        let _ = self.0.tcp.get_ref().shutdown(Shutdown::Both);
    }

    /// Whether nothing has come in, not even an end: only then may the
    /// connection serve another request.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        matches!(self.0.tcp.get_ref().peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut &self.0.tcp).poll_read(cx, buf);
        count(&self.0.received, &polled);
        self.touch(polled)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut &self.0.tcp).poll_write(cx, buf);
        count(&self.0.sent, &polled);
        self.touch(polled)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.tcp).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.tcp).poll_close(cx)
    }
}
