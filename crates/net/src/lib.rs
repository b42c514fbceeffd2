//! HTTP/1.1 server and client of forkshift, and the links between controllers, on
//! `async-h1` and `async-io`.
//!
//! # Concurrency
//!
//! All tasks of a process run on one thread, on one [`Executor`]; shared state is in `Rc`,
//! `Cell` and `RefCell`, and no borrow is held across an `await`. Nothing here may block:
//! sockets are non-blocking, and `async-io`'s own thread polls the reactor. Only
//! [`deadline_after`] keeps state behind a mutex, because the reactor's thread wakes it.
//!
//! # Bounds
//!
//! Everything that a remote end can make grow is bounded, by limits that the caller
//! passes: connections, sizes of bodies and messages, bytes in queues, and the time of each
//! step. A connection beyond a limit is closed or waits in the backlog; a message beyond a
//! limit is dropped and counted in the log.
//!
//! # End
//!
//! [`serve_http`] and [`receive_peer_messages`] have no end of their own; they run until the process exits.

mod accept;
mod bind;
mod client;
mod deadline;
mod peers;
mod server;
mod stream;

pub use bind::bind_listener;
pub use client::{Call, Client, ClientLimits, Outcome, STATUS_RESPONSE_TOO_LONG};
pub use deadline::{deadline_after, Deadline};
pub use peers::{receive_peer_messages, PeerLink};
pub use server::{serve_http, Request, Response, ServerLimits};
pub use stream::Traffic;

use async_executor::LocalExecutor;
use std::rc::Rc;

/// The single-threaded executor that all tasks of a process run on.
pub type Executor = Rc<LocalExecutor<'static>>;
