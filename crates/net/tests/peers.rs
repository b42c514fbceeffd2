//! Tests of the links between controllers, on the loopback interface.

use async_executor::LocalExecutor;
use async_io::Timer;
use forkshift_net::{receive_peer_messages, Executor, PeerLink};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const MESSAGE_BYTES: usize = 100;

/// Sends `messages` messages through a link without waiting, and returns how many were
/// queued.
fn send_all(link: &PeerLink, messages: usize) -> usize {
    let queued = (0..messages).map(|_| link.send(vec![7; MESSAGE_BYTES]));
    queued.filter(|is_queued| *is_queued).count()
}

/// Runs the links until `expected` messages have arrived in total.
fn wait_until_received(ex: &Executor, received: &RefCell<usize>, expected: usize) {
    let arrived = async {
        while *received.borrow() < expected {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(ex.run(arrived));
}

/// The queue is bounded in bytes: a message beyond the bound is dropped, and the link accepts
/// messages again after the peer has received the queued ones. A bound of 128 messages was
/// too low: a peer of a large fleet that was paused for a second lost most of the forwarded
/// user requests.
#[test]
fn link_drops_messages_beyond_its_queue_and_recovers() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let ex: Executor = Rc::new(LocalExecutor::new());
    let cases = [(10, 10, 10), (10, 11, 10), (400, 400, 400), (400, 500, 400)];
    let received = Rc::new(RefCell::new(0_usize));
    let count = received.clone();
    let on_message = move |message: Vec<u8>| {
        assert_eq!(message.len(), MESSAGE_BYTES);
        *count.borrow_mut() += 1;
    };
    ex.spawn(receive_peer_messages(
        ex.clone(),
        listener,
        cases.len(),
        1_000,
        on_message,
    ))
    .detach();
    let mut expected = 0;
    for (capacity, messages, queued) in cases {
        let link = PeerLink::new(&ex, addr, capacity * MESSAGE_BYTES);
        assert_eq!(
            send_all(&link, messages),
            queued,
            "{messages} messages, capacity for {capacity}"
        );
        expected += queued;
        wait_until_received(&ex, &received, expected);
        assert_eq!(
            send_all(&link, capacity),
            capacity,
            "the queue should be empty again"
        );
        expected += capacity;
        wait_until_received(&ex, &received, expected);
    }
}
