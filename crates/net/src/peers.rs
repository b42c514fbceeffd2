//! Links between controllers: one connection for each direction, each message behind its
//! length as four bytes, big-endian.
//!
//! A [`PeerLink`] has a task that connects and sends; messages wait in its queue. [`receive_peer_messages`]
//! has a task for each incoming connection. A message may be lost with its connection and
//! is not sent again.

use crate::accept::Acceptor;
use crate::deadline;
use crate::stream::Stream;
use crate::Executor;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout for connecting and sending one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failure before the next message is sent.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which an incoming connection without any traffic is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Minimum time between two log lines about dropped messages.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Sending end of the link to one peer.
///
/// Messages that the peer does not accept as fast as they are sent are queued up to a
/// number of bytes. Beyond that they are dropped, and counted in the log. The task of the
/// link ends when this is dropped and the queue is empty.
pub struct PeerLink {
    addr: SocketAddr,
    messages: Sender<Vec<u8>>,
    queue: Rc<QueueState>,
}

/// Accounting of the messages that wait for a peer.
struct QueueState {
    bytes: Cell<usize>,
    max_bytes: usize,
    /// Messages dropped since the last log line.
    dropped: Cell<u64>,
    last_logged_at: RefCell<Option<Instant>>,
}

impl QueueState {
    fn new(max_bytes: usize) -> Self {
        Self {
            bytes: Cell::new(0),
            max_bytes,
            dropped: Cell::new(0),
            last_logged_at: RefCell::new(None),
        }
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.bytes.get() + bytes <= self.max_bytes
    }

    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes);
    }

    /// Counts a dropped message, and logs the count periodically.
    fn on_dropped(&self, addr: SocketAddr) {
        self.dropped.set(self.dropped.get() + 1);
        let mut last_logged_at = self.last_logged_at.borrow_mut();
        if last_logged_at.is_none_or(|at| at.elapsed() >= DROP_LOG_INTERVAL) {
            *last_logged_at = Some(Instant::now());
            let dropped = self.dropped.take();
            log::warn!("peer {addr}: {dropped} messages dropped, its queue is full");
        }
    }
}

impl PeerLink {
    /// A link that connects when the first message is sent, and queues up to `max_bytes`.
    pub fn new(ex: &Executor, addr: SocketAddr, max_bytes: usize) -> Self {
        let (messages, receiver) = async_channel::unbounded();
        let queue = Rc::new(QueueState::new(max_bytes));
        ex.spawn(send_messages(addr, receiver, queue.clone()))
            .detach();
        Self {
            addr,
            messages,
            queue,
        }
    }

    /// Queues a message, or drops it if the queue is full. Returns whether it was queued.
    pub fn send(&self, message: Vec<u8>) -> bool {
        let bytes = message.len();
        let is_queued = self.queue.has_room(bytes) && self.messages.try_send(message).is_ok();
        if is_queued {
            self.queue.add(bytes);
        } else {
            self.queue.on_dropped(self.addr);
        }
        is_queued
    }
}

/// Sends queued messages, until the link is dropped.
async fn send_messages(addr: SocketAddr, messages: Receiver<Vec<u8>>, queue: Rc<QueueState>) {
    let mut connection: Option<Stream> = None;
    while let Ok(message) = messages.recv().await {
        queue.remove(message.len());
        let sending = send_message(addr, connection.take(), &message);
        let timeout = async {
            deadline::deadline_after(SEND_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match future::or(sending, timeout).await {
            Ok(stream) => connection = Some(stream),
            Err(e) => {
                log::debug!("peer {addr}: {e}");
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Sends a message on a connection, or on a new one if that has been closed; returns the
/// connection.
async fn send_message(
    addr: SocketAddr,
    connection: Option<Stream>,
    message: &[u8],
) -> io::Result<Stream> {
    let mut stream = match connection.filter(Stream::is_reusable) {
        Some(stream) => stream,
        None => Stream::connect(addr).await?,
    };
    let mut frame = (message.len() as u32).to_be_bytes().to_vec();
    frame.extend(message);
    stream.write_all(&frame).await?;
    Ok(stream)
}

/// Receives messages from all peers until the process exits, on up to `max_connections`
/// connections at a time. A message of more than `max_message_bytes` ends its connection.
pub async fn receive_peer_messages<F>(
    ex: Executor,
    listener: TcpListener,
    max_connections: usize,
    max_message_bytes: usize,
    on_message: F,
) where
    F: Fn(Vec<u8>) + 'static,
{
    let acceptor = match Acceptor::new(listener, "peer listener") {
        Ok(acceptor) => acceptor,
        Err(e) => {
            log::error!("peer listener: cannot listen, {e}");
            return;
        }
    };
    let on_message = Rc::new(on_message);
    loop {
        let stream = acceptor.accept().await;
        // One reference belongs to this loop, and one to each connection.
        if Rc::strong_count(&on_message) > max_connections {
            stream.close();
            continue;
        }
        let on_message = on_message.clone();
        ex.spawn(async move {
            let receiving = receive_messages(stream.clone(), max_message_bytes, &*on_message);
            let idle = async {
                stream.wait_idle(IDLE_TIMEOUT).await;
                Ok(())
            };
            if let Err(e) = future::or(receiving, idle).await {
                log::debug!("peer listener: connection lost, {e}");
            }
            stream.close();
        })
        .detach();
    }
}

/// Receives the messages of one connection.
async fn receive_messages<F: Fn(Vec<u8>)>(
    mut stream: Stream,
    max_message_bytes: usize,
    on_message: &F,
) -> io::Result<()> {
    loop {
        let mut length = [0_u8; 4];
        stream.read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > max_message_bytes {
            log::error!("peer listener: message too long, {length} bytes");
            return Ok(());
        }
        let mut message = vec![0; length];
        stream.read_exact(&mut message).await?;
        on_message(message);
    }
}
