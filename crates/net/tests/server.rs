//! The server on the loopback interface. What is asserted is who gets an
//! answer, not when.

use async_executor::LocalExecutor;
use forkshift_net::{serve, Executor, Response, ServerLimits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Asks for `/up` and returns the answer's head, in lower case.
fn ask(to: &mut TcpStream) -> String {
    to.write_all(b"GET /up HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n{}") {
        if to.read(&mut byte).unwrap_or(0) == 0 {
            break;
        }
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).to_lowercase()
}

fn with_server<T: Send + 'static>(
    limits: ServerLimits,
    client: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let ex: Executor = Rc::new(LocalExecutor::new());
    let handler = |_| async {
        Response {
            status: 200,
            body: b"{}".to_vec(),
            retry_after_s: None,
        }
    };
    ex.spawn(serve(ex.clone(), listener, limits, handler))
        .detach();
    let (done, ended) = async_channel::bounded(1);
    std::thread::spawn(move || done.send_blocking(client(addr)));
    async_io::block_on(ex.run(async { ended.recv().await.unwrap() }))
}

fn limits(connections: usize, roomy: usize) -> ServerLimits {
    ServerLimits {
        connections,
        roomy,
        body: 1024,
        idle: Duration::from_secs(60),
        read: Duration::from_secs(60),
    }
}

/// There may be more workers than sockets: with the table filling up,
/// connections are closed behind their answers, so everybody is served.
#[test]
fn more_clients_than_connections_are_served() {
    let closed: Vec<bool> = with_server(limits(6, 2), |addr| {
        let mut kept = Vec::new();
        let one = |_| {
            let mut stream = TcpStream::connect(addr).unwrap();
            let head = ask(&mut stream);
            assert!(head.starts_with("http/1.1 200"), "{head}");
            kept.push(stream);
            head.contains("connection: close")
        };
        (0..20).map(one).collect()
    });
    assert!(!closed[0] && !closed[1], "there is room at first");
    assert!(closed[3..].iter().all(|c| *c), "then no more");
}

/// Whoever sits idle on a full table makes room for the next.
#[test]
fn idle_connections_do_not_shut_others_out() {
    let answers: Vec<String> = with_server(limits(2, 10), |addr| {
        let _idle = [
            TcpStream::connect(addr).unwrap(),
            TcpStream::connect(addr).unwrap(),
        ];
        let one = |_| ask(&mut TcpStream::connect(addr).unwrap());
        (0..3).map(one).collect()
    });
    assert!(answers.iter().all(|a| a.starts_with("http/1.1 200")));
}
