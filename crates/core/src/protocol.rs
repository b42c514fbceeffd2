//! The protocol between controllers: messages, forwarded requests, relayed heartbeats.
//!
//! Messages are an optimization: their contents are in the key-value store as well, so a lost,
//! late or repeated message does no harm. The formats are in `forkshift_wire::peer`.

pub(crate) mod forwarding;
pub(crate) mod messages;
pub(crate) mod relay;
