//! Connections between controllers: one way, each message behind its length.

use crate::deadline;
use crate::stream::Stream;
use crate::Executor;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for connecting, and for one message to go out.
const SEND: Duration = Duration::from_secs(2);
/// Pause before a peer that could not be reached is tried again.
const RETRY: Duration = Duration::from_secs(1);
/// A peer that says nothing for so long has to connect anew.
const IDLE: Duration = Duration::from_secs(120);

/// Least time between two log lines about messages that were dropped.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// The way to one peer. Messages that it can't take as fast as they come wait, up to a
/// number of bytes; more are dropped and counted in the log, since nothing rests on
/// any single one of them.
pub struct PeerLink {
    addr: SocketAddr,
    messages: Sender<Vec<u8>>,
    queue: Rc<Queue>,
}

/// What waits for a peer.
struct Queue {
    bytes: Cell<usize>,
    bytes_most: usize,
    dropped: Cell<u64>,
    logged: RefCell<Option<Instant>>,
}

impl Queue {
    fn has_room(&self, bytes: usize) -> bool {
        self.bytes.get() + bytes <= self.bytes_most
    }

    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes);
    }

    /// Counts a dropped message, and logs how many there were now and then.
    fn drop_one(&self, addr: SocketAddr) {
        self.dropped.set(self.dropped.get() + 1);
        let mut logged = self.logged.borrow_mut();
        if logged.is_none_or(|at| at.elapsed() >= LOG_PAUSE) {
            *logged = Some(Instant::now());
            log::warn!(
                "{} messages to peer {addr} dropped: it is slow",
                self.dropped.take()
            );
        }
    }
}

impl PeerLink {
    /// Connects when there is something to say. Up to `bytes_most` bytes wait.
    pub fn new(ex: &Executor, addr: SocketAddr, bytes_most: usize) -> Self {
        let (messages, receiver) = async_channel::unbounded();
        let queue = Rc::new(Queue {
            bytes: Cell::new(0),
            bytes_most,
            dropped: Cell::new(0),
            logged: RefCell::new(None),
        });
        ex.spawn(send_all(addr, receiver, queue.clone())).detach();
        Self {
            addr,
            messages,
            queue,
        }
    }

    /// Sends a message, or drops it if the peer cannot keep up. Returns whether it will
    /// be sent.
    pub fn send(&self, message: Vec<u8>) -> bool {
        let bytes = message.len();
        let sent = self.queue.has_room(bytes) && self.messages.try_send(message).is_ok();
        if sent {
            self.queue.add(bytes);
        } else {
            self.queue.drop_one(self.addr);
        }
        sent
    }
}

async fn send_all(addr: SocketAddr, messages: Receiver<Vec<u8>>, queue: Rc<Queue>) {
    let mut stream: Option<Stream> = None;
    while let Ok(message) = messages.recv().await {
        queue.remove(message.len());
        let sending = async {
            let mut to = match stream.take() {
                Some(s) if s.is_quiet() => s,
                _ => Stream::connect(addr).await?,
            };
            let mut frame = (message.len() as u32).to_be_bytes().to_vec();
            frame.extend(&message);
            to.write_all(&frame).await?;
            io::Result::Ok(to)
        };
        let late = async {
            deadline::after(SEND).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match future::or(sending, late).await {
            Ok(open) => stream = Some(open),
            Err(e) => {
                log::debug!("peer {addr}: {e}");
                Timer::after(RETRY).await;
            }
        }
    }
}

/// Takes messages from all peers, up to `connections` of them at a time and
/// each up to `most` bytes long.
pub async fn listen<F>(
    ex: Executor,
    listener: TcpListener,
    connections: usize,
    most: usize,
    take: F,
) where
    F: Fn(Vec<u8>) + 'static,
{
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!("cannot listen for peers: {e}");
            return;
        }
    };
    let take = Rc::new(take);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => Stream::new(stream),
            Err(e) => {
                log::debug!("accept from a peer: {e}");
                Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        // One reference is ours, every connection holds another.
        if Rc::strong_count(&take) > connections {
            stream.close();
            continue;
        }
        let take = take.clone();
        ex.spawn(async move {
            let reading = receive(stream.clone(), most, &*take);
            let idle = async {
                stream.idle(IDLE).await;
                Ok(())
            };
            if let Err(e) = future::or(reading, idle).await {
                log::debug!("from a peer: {e}");
            }
            stream.close();
        })
        .detach();
    }
}

async fn receive<F: Fn(Vec<u8>)>(mut from: Stream, most: usize, take: &F) -> io::Result<()> {
    loop {
        let mut length = [0_u8; 4];
        from.read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > most {
            log::error!("a peer announced {length} bytes");
            return Ok(());
        }
        let mut message = vec![0; length];
        from.read_exact(&mut message).await?;
        take(message);
    }
}
