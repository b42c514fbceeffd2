//! Listening sockets on the loopback interface.

use forkshift_net::bind;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The standard library's backlog holds 128 connections: a controller that stands still
/// for a moment made the rest of a large fleet wait for a second.
#[test]
fn as_many_connections_wait_as_the_backlog_holds() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let backlog = 300;
    let listener = bind(any, backlog).unwrap();
    let addr = listener.local_addr().unwrap();
    let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(500));
    let waiting: Vec<TcpStream> = (0..backlog).map_while(|n| connect(n).ok()).collect();
    assert_eq!(waiting.len(), backlog);
}

#[test]
fn an_address_that_is_in_use_is_refused() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listener = bind(any, 1).unwrap();
    let again = bind(listener.local_addr().unwrap(), 1);
    assert_eq!(again.unwrap_err().kind(), ErrorKind::AddrInUse);
}
