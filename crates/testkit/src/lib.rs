//! Stand-ins for workers, cloud and state service, and a clock of their own,
//! to drive controllers in virtual time with faults injected.
