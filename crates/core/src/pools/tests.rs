//! Tests of `pools`.
