//! The client on the loopback interface.

use async_executor::LocalExecutor;
use forkshift_net::{Call, Client, ClientLimits};
use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(50);

fn client() -> Client {
    Client::new(ClientLimits {
        per_host: 1,
        idle: 1,
        keep: Duration::from_secs(1),
        largest: 1_000,
    })
}

/// A process that stands still while it connects, for longer than the call
/// may take, does not send the request as it goes on.
#[test]
fn a_request_whose_time_is_over_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let call = Call {
        addr: listener.local_addr().unwrap(),
        method: "POST",
        path: "/commands".to_owned(),
        body: Some(b"{}".to_vec()),
        timeout: TIMEOUT,
    };
    let ex = LocalExecutor::new();
    let task = ex.spawn(async move { client().call(call).await });
    // The connection is on its way, and everything stops.
    assert!(ex.try_tick());
    thread::sleep(TIMEOUT * 2);
    let outcome = async_io::block_on(ex.run(task));
    assert_eq!(outcome.status, 0);
    let (mut stream, _) = listener.accept().unwrap();
    let mut sent = Vec::new();
    stream.read_to_end(&mut sent).unwrap();
    assert_eq!(String::from_utf8_lossy(&sent), "");
}
