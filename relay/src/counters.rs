//! What was received, sent and answered since the start.
use std::fmt;

/// Declares the counters, and prints them as `name=value` in the order of their declaration.
macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// Counts since the start. The names are printed, and read by other programs.
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
    // Sessions: as clients connect, and as they end.
    connections, pings, sessions, inherited, bad_lines, clients_left, accepted, refused, torn_down,
    turned_away, shed, sent_away, idle, second_dials, ended_well, ended_broken,
    // Attempts at backends, and how they failed.
    dials, dials_full, dials_error, dials_timeout, dials_unreachable, dials_reset, dials_withdrawn,
    dials_never_sent,
    // Health checks, lines in either direction, and endpoint lists.
    probes, probes_failed, lines_up, lines_down, lists, list_failures,
    // Shortages, hot restart, admin commands, and panics that were caught.
    accept_failures, starved, handed, adopted, calls, calls_denied, panics,
}
