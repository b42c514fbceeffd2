//! HTTP/1.1 server, HTTP/1.1 client, and TCP links between controllers, based on `async-h1`
//! and `async-io`.
//!
//! # Concurrency
//!
//! All tasks of a process run on one thread, on one [`Executor`]; shared state is in `Rc`,
//! `Cell` and `RefCell`, and no borrow is held across an `await`. Nothing here may block:
//! sockets are non-blocking, and `async-io`'s own thread polls the reactor. Only the state
//! of [`deadline_after`] is behind a mutex, because the timer wakes it on the reactor's
//! thread.
//!
//! # Bounds
//!
//! Everything that a remote end can make grow has a limit: connections, sizes of bodies and
//! messages, bytes in queues, and the duration of each read and write. The caller passes the
//! limits on counts and sizes. A connection beyond a limit is closed or waits in the backlog
//! of the listening socket. A message beyond the limit of a send queue is dropped, and the
//! log reports how many were dropped.
//!
//! # Shutdown
//!
//! There is none: [`serve_http`] and [`receive_peer_messages`] run until the process exits.

mod accept;
mod bind;
mod client;
mod deadline;
mod peers;
mod server;
mod stream;

pub use bind::bind_listener;
pub use client::{Call, CallOutcome, Client, ClientLimits, STATUS_RESPONSE_TOO_LONG};
pub use deadline::{deadline_after, Deadline};
pub use peers::{receive_peer_messages, PeerLink};
pub use server::{serve_http, Request, Response, ServerLimits};
pub use stream::Traffic;

use async_executor::LocalExecutor;
use std::rc::Rc;

/// The single-threaded executor on which all tasks of a process run.
pub type Executor = Rc<LocalExecutor<'static>>;
