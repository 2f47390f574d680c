//! What a node holds for others, replayed on a virtual clock.

mod connections;
mod messages;

/// Defines a test for each line: its name, then the arguments of the function `$check`.
macro_rules! cases {
    ($check:ident: $($name:ident => $($arg:expr),+;)+) => {$(
        #[test]
        fn $name() {
            $check($($arg),+);
        }
    )+};
}

pub(crate) use cases;
