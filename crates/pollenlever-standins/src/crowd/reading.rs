/// Whether a client reads what the node sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reading {
    /// It reads nothing.
    Never,
    /// It reads some kilobytes a second.
    Slowly,
}
