//! Tests of the HTTP server, on the loopback interface. The tests assert which clients get a
//! response, not when.

use async_executor::LocalExecutor;
use forkshift_net::{serve_http, Executor, Response, ServerLimits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Requests `/up` and returns the head of the response, in lower case.
fn get_up(stream: &mut TcpStream) -> String {
    stream
        .write_all(b"GET /up HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("the request is sent");
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n{}") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            break;
        }
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).to_lowercase()
}

/// Starts a server that responds to every request with `{}`, runs `client` on another thread,
/// and returns the client's result.
fn with_server<T: Send + 'static>(
    limits: ServerLimits,
    client: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let ex: Executor = Rc::new(LocalExecutor::new());
    let handler = |_| async {
        Response {
            status: 200,
            body: b"{}".to_vec(),
            retry_after_s: None,
        }
    };
    ex.spawn(serve_http(ex.clone(), listener, limits, handler))
        .detach();
    let (result_sender, result) = async_channel::bounded(1);
    std::thread::spawn(move || result_sender.send_blocking(client(addr)));
    async_io::block_on(ex.run(async { result.recv().await.expect("the client ends") }))
}

fn limits(max_connections: usize, max_keep_alive_connections: usize) -> ServerLimits {
    ServerLimits {
        max_connections,
        max_keep_alive_connections,
        max_body_bytes: 1024,
        idle_timeout: Duration::from_secs(60),
        body_timeout: Duration::from_secs(60),
    }
}

/// There may be more workers than sockets. Above the keep-alive limit, connections are closed
/// after their responses, so that every client is served.
#[test]
fn connections_beyond_the_keep_alive_limit_close_after_the_response() {
    let closed: Vec<bool> = with_server(limits(6, 2), |addr| {
        let mut kept = Vec::new();
        let request = |_| {
            let mut stream = TcpStream::connect(addr).unwrap();
            let head = get_up(&mut stream);
            assert!(head.starts_with("http/1.1 200"), "{head}");
            kept.push(stream);
            head.contains("connection: close")
        };
        (0..20).map(request).collect()
    });
    assert!(
        !closed[0] && !closed[1],
        "below the limit, connections should be kept open"
    );
    assert!(
        closed[3..].iter().all(|is_closed| *is_closed),
        "above the limit, connections should be closed"
    );
}

/// Guards against clients that open connections and send nothing: when the maximum number of
/// connections is open, an idle one is closed so that a new client is served.
#[test]
fn idle_connections_do_not_lock_out_new_clients() {
    let responses: Vec<String> = with_server(limits(2, 10), |addr| {
        let _idle = [
            TcpStream::connect(addr).unwrap(),
            TcpStream::connect(addr).unwrap(),
        ];
        let request = |_| get_up(&mut TcpStream::connect(addr).unwrap());
        (0..3).map(request).collect()
    });
    assert!(responses
        .iter()
        .all(|head| head.starts_with("http/1.1 200")));
}
