//! HTTP/1.1 server and client of forkshift, on `async-h1` and `async-io`.
//!
//! Everything runs on one thread, on a local executor.

mod bind;
mod client;
mod deadline;
mod peers;
mod server;
mod stream;

pub use bind::bind;
pub use client::{Call, Client, ClientLimits, Outcome, TOO_LONG};
pub use deadline::{after, Deadline};
pub use peers::{listen, PeerLink};
pub use server::{serve, Request, Response, ServerLimits};
pub use stream::Traffic;

use async_executor::LocalExecutor;
use std::rc::Rc;

/// The executor that all of a process runs on.
pub type Executor = Rc<LocalExecutor<'static>>;
