//! Decisions about mesh traffic: routes, the target's identity, attempts, retries, limits.

mod budget;
mod delivery;
mod ledger;
mod limit;
mod lineage;
mod members;
mod registry;
mod routes;
mod suspects;

/// Names each case of one check.
#[macro_export]
macro_rules! cases {
    ($check:ident: $($name:ident => $($arg:expr),+;)+) => {
        $(
            #[test]
            fn $name() {
                $check($($arg),+);
            }
        )+
    };
}
