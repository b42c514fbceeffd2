//! Links between controllers on the loopback interface.

use async_executor::LocalExecutor;
use async_io::Timer;
use forkshift_net::{listen, Executor, PeerLink};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

const MESSAGE_BYTES: usize = 100;

/// Tries to send so many messages at once through a link with room for `bytes_most`,
/// and returns how many were taken.
fn taken(link: &PeerLink, messages: usize) -> usize {
    let sent = (0..messages).map(|_| link.send(vec![7; MESSAGE_BYTES]));
    sent.filter(|sent| *sent).count()
}

/// Runs the links until so many messages have arrived in all.
fn wait_for(ex: &Executor, received: &RefCell<usize>, expected: usize) {
    let arrived = async {
        while *received.borrow() < expected {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    async_io::block_on(ex.run(arrived));
}

/// What is queued is bounded in bytes; one past that is dropped, and the link goes on
/// once the peer has taken what waited. The queue was bounded at 128 messages before:
/// a peer that stood still for a second lost most of what a large fleet's users asked.
#[test]
fn a_link_holds_as_many_bytes_as_it_may_and_goes_on_afterwards() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let ex: Executor = Rc::new(LocalExecutor::new());
    let cases = [(10, 10, 10), (10, 11, 10), (400, 400, 400), (400, 500, 400)];
    let received = Rc::new(RefCell::new(0_usize));
    let count = received.clone();
    let take = move |message: Vec<u8>| {
        assert_eq!(message.len(), MESSAGE_BYTES);
        *count.borrow_mut() += 1;
    };
    ex.spawn(listen(ex.clone(), listener, cases.len(), 1_000, take))
        .detach();
    let mut expected = 0;
    for (room, messages, most) in cases {
        let link = PeerLink::new(&ex, addr, room * MESSAGE_BYTES);
        assert_eq!(
            taken(&link, messages),
            most,
            "{messages} with room for {room}"
        );
        expected += most;
        wait_for(&ex, &received, expected);
        assert_eq!(taken(&link, room), room, "the queue is empty again");
        expected += room;
        wait_for(&ex, &received, expected);
    }
}
