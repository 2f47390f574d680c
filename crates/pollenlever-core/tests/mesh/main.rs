//! Tests of the decision logic for mesh traffic: routes, target identity, attempts, retries,
//! limits.

mod answer_bytes;
mod budget;
mod delivery;
mod ledger;
mod limit;
mod lineage;
mod registry;
mod routes;
mod shared_rejection;
mod store_duty;
mod suspects;

/// Defines one test per case, which calls the check with the case's arguments.
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
