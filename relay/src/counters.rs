//! Counters of connections, sessions, attempts, lines and errors since the start.
use std::fmt;

/// Declares the counters. They are displayed as `name=value` in the order of their declaration.
macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// Counters since the start. Other programs read their names in the log.
        #[derive(Default)]
        pub(crate) struct Counters { $(pub(crate) $name: u64),* }

        impl fmt::Display for Counters {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(out, "{}={} ", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    // Clients' connections and sessions, and how they ended.
    connections, pings, sessions, inherited, bad_lines, clients_left, accepted, refused, torn_down,
    turned_away, repeated_ids, shed, sent_away, idle, second_dials, ended_well, ended_broken,
    // Attempts at backends, and why they failed.
    dials, dials_full, dials_error, dials_timeout, dials_unreachable, dials_reset, dials_withdrawn,
    dials_never_sent,
    // Health checks, lines in either direction, and endpoint lists.
    probes, probes_failed, probes_skipped, probes_closed, lines_up, lines_down, lists, list_failures,
    // Shortages of descriptors and buffers, hot restarts, admin commands, and caught panics.
    accept_failures, accept_pauses, starved, handed, adopted, calls, calls_denied, panics,
}
