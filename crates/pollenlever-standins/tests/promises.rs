//! A short run of the promises measurement on real processes; `scripts/measure promises` runs the
//! full one.
//!
//! Run it with `cargo test --workspace`, which also builds the programs that it starts.

use pollenlever::settings::PolicyName;
use pollenlever_standins::measure::{Trial, TrialSettings};

const SHORT: TrialSettings =
    TrialSettings { seed: 7, policy: PolicyName::Pollenlever, callers: 4, faults: 4 };

/// Defines a test for each case: it runs a trial with the settings and checks its result.
macro_rules! trials {
    ($($name:ident: $settings:expr => $check:expr;)*) => {
        $(#[test]
        fn $name() {
            let trial = Trial::run(&$settings).unwrap();
            assert!(trial.orders > 0 && trial.chains > 0, "{trial:?}");
            let check: fn(&Trial) -> bool = $check;
            assert!(check(&trial), "{trial:?}");
        })*
    };
}

trials! {
    promises_hold_under_faults: SHORT => |it| it.checks.hold();
    naive_policy_runs_orders_twice:
        TrialSettings { policy: PolicyName::Naive, ..SHORT } => |it| it.checks.run_twice > 0;
}
