//! Golden tests: the encodings of all messages and of the settings must never change.
//!
//! Each fixture file has one line `name<TAB>bytes` for each case. A value is encoded, decoded
//! and encoded again, and both encodings are compared with the fixture.

mod case;
mod cloud;
mod peers;
mod settings;
mod state;
mod users;
mod workers;
