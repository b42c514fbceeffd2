//! Links between controllers: one TCP connection for each direction. Each message is preceded
//! by its length in bytes, as a big-endian 32-bit integer.
//!
//! Each [`PeerLink`] has a send queue, and a task that connects to the peer and sends the
//! queued messages. [`receive_peer_messages`] has a task for each incoming connection. A
//! message that is lost with its connection is not sent again: messages only reduce latency,
//! and the receiver reads their contents from the key-value store or requests them again.

use crate::accept::Acceptor;
use crate::deadline::deadline_after;
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

/// Timeout for sending one message, including the time for connecting.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between a failure to send a message and the attempt to send the next one.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// Time after which an incoming connection without any traffic is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Minimum time between two log lines of a link about dropped messages.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The sending end of the link to one peer.
///
/// Messages that the peer does not receive as fast as the controller sends them are queued,
/// up to a number of bytes. Further messages are dropped, and the log reports how many. When
/// the `PeerLink` is dropped, its task sends the queued messages and ends.
pub struct PeerLink {
    addr: SocketAddr,
    messages: Sender<Vec<u8>>,
    queue_size: Rc<QueueSize>,
}

/// Size of the send queue of a link, and the number of messages that exceeded it.
struct QueueSize {
    /// Size of all queued messages.
    bytes: Cell<usize>,
    max_bytes: usize,
    /// Number of messages dropped since the last log line about them.
    dropped: Cell<u64>,
    last_logged_at: RefCell<Option<Instant>>,
}

impl QueueSize {
    fn new(max_bytes: usize) -> Self {
        Self {
            bytes: Cell::new(0),
            max_bytes,
            dropped: Cell::new(0),
            last_logged_at: RefCell::new(None),
        }
    }

    fn has_capacity_for(&self, bytes: usize) -> bool {
        self.bytes.get() + bytes <= self.max_bytes
    }

    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes);
    }

    /// Counts a dropped message. Logs the count, at most once per [`DROP_LOG_INTERVAL`].
    fn count_dropped(&self, addr: SocketAddr) {
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
    /// Creates a link that connects when the first message is sent. The queue holds messages
    /// of up to `max_bytes` in total.
    pub fn new(ex: &Executor, addr: SocketAddr, max_bytes: usize) -> Self {
        let (messages, receiver) = async_channel::unbounded();
        let queue_size = Rc::new(QueueSize::new(max_bytes));
        ex.spawn(send_messages(addr, receiver, queue_size.clone()))
            .detach();
        Self {
            addr,
            messages,
            queue_size,
        }
    }

    /// Queues a message, or drops it if the queue is full. Returns whether the message was
    /// queued.
    pub fn send(&self, message: Vec<u8>) -> bool {
        let bytes = message.len();
        let is_queued =
            self.queue_size.has_capacity_for(bytes) && self.messages.try_send(message).is_ok();
        if is_queued {
            self.queue_size.add(bytes);
        } else {
            self.queue_size.count_dropped(self.addr);
        }
        is_queued
    }
}

/// Sends queued messages until the link is dropped and the queue is empty.
async fn send_messages(addr: SocketAddr, messages: Receiver<Vec<u8>>, queue_size: Rc<QueueSize>) {
    let mut connection: Option<Stream> = None;
    while let Ok(message) = messages.recv().await {
        queue_size.remove(message.len());
        let sending = send_message(addr, connection.take(), &message);
        let timeout = async {
            deadline_after(SEND_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match future::or(sending, timeout).await {
            Ok(stream) => connection = Some(stream),
            Err(e) => {
                log::debug!("peer {addr}: message lost, reconnecting in {RECONNECT_DELAY:?}: {e}");
                Timer::after(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Sends a message on `connection`, or on a new connection if there is none or it can't be
/// reused. Returns the connection that was used.
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

/// Receives messages from all peers until the process exits, and passes each to
/// `on_message`. A connection beyond `max_connections` is closed at once; a message of more
/// than `max_message_bytes` closes its connection.
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
            log::error!(
                "peer listener: cannot listen, messages of peers will not be received: {e}"
            );
            return;
        }
    };
    let on_message = Rc::new(on_message);
    loop {
        let stream = acceptor.accept().await;
        // The loop holds one reference, and each open connection holds another.
        if Rc::strong_count(&on_message) > max_connections {
            stream.close();
            continue;
        }
        let on_message = on_message.clone();
        ex.spawn(async move {
            let receiving = receive_messages(stream.clone(), max_message_bytes, &*on_message);
            let idle_timeout = async {
                stream.wait_idle(IDLE_TIMEOUT).await;
                Ok(())
            };
            if let Err(e) = future::or(receiving, idle_timeout).await {
                log::debug!("peer listener: connection lost, {e}");
            }
            stream.close();
        })
        .detach();
    }
}

/// Receives messages on one connection, until it is closed or a message is too long.
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
            log::error!(
                "peer listener: message too long, {length} bytes of {max_message_bytes} allowed; \
                 closing the connection"
            );
            return Ok(());
        }
        let mut message = vec![0; length];
        stream.read_exact(&mut message).await?;
        on_message(message);
    }
}
