//! Tests of the HTTP client, on the loopback interface.

use async_executor::LocalExecutor;
use forkshift_net::{Call, Client, ClientLimits};
use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(50);

fn client() -> Client {
    Client::new(ClientLimits {
        max_idle_per_host: 1,
        max_idle: 1,
        idle_timeout: Duration::from_secs(1),
        max_response_bytes: 1_000,
    })
}

/// Guards against stale requests: a process that is paused while it establishes a connection,
/// for longer than the timeout of the call, must not send the request when it resumes.
#[test]
fn request_is_not_sent_after_its_timeout() {
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
    // One tick starts to establish the connection; the sleep stands for the pause.
    assert!(ex.try_tick());
    thread::sleep(TIMEOUT * 2);
    let outcome = async_io::block_on(ex.run(task));
    assert_eq!(outcome.status, 0);
    let (mut stream, _) = listener.accept().unwrap();
    let mut sent = Vec::new();
    stream.read_to_end(&mut sent).unwrap();
    assert_eq!(String::from_utf8_lossy(&sent), "");
}
