//! Stages of a session.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its first line is awaited.
    Opening,
    /// Known to the decisions, which owe it an answer.
    Placing,
    /// It was open before this process was: the backend is given, not decided.
    Inheriting,
    /// Up: lines pass both ways.
    Standing,
    /// Up, and offered to the next process: nobody reads until it has answered.
    Handing,
    /// Our last words are on their way out.
    Leaving,
    /// All is said; only the client's end of the connection is awaited.
    Parted,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    Goes,
    Over,
}
