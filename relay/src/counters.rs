//! What was taken in, sent and answered since the start.
use std::fmt;

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Default)]
        pub struct Counters { $(pub $name: u64),* }

        impl fmt::Display for Counters {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(out, "{}={} ", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    connections, pings, sessions, inherited, bad_lines, clients_left, accepted, refused, torn_down, turned_away, shed,
    sent_away, idle, second_dials, ended_well, ended_broken, dials, dials_full, dials_error, dials_timeout, dials_unreachable,
    dials_reset, dials_withdrawn, dials_never_sent, probes, probes_failed, lines_up, lines_down, lists,
    list_failures, accept_failures, starved, handed, adopted, calls, calls_denied, panics,
}
