//! Tests of listening sockets, on the loopback interface.

use forkshift_net::bind_listener;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The backlog of the standard library holds 128 connections. With it, the workers of a large
/// fleet that connected while a controller was paused were delayed by a second, the kernel's
/// retry interval.
#[test]
fn backlog_holds_the_requested_number_of_connections() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let backlog = 300;
    let listener = bind_listener(any, backlog).unwrap();
    let addr = listener.local_addr().unwrap();
    let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(500));
    let connected: Vec<TcpStream> = (0..backlog).map_while(|n| connect(n).ok()).collect();
    assert_eq!(connected.len(), backlog);
}

#[test]
fn binding_an_address_in_use_fails() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listener = bind_listener(any, 1).unwrap();
    let second = bind_listener(listener.local_addr().unwrap(), 1);
    assert_eq!(second.unwrap_err().kind(), ErrorKind::AddrInUse);
}
