//! Tests of `dependencies`.
