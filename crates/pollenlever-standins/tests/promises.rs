//! A short trial of the promises on real processes; `scripts/measure promises` is the long one.
//!
//! Run with the whole workspace, which builds the programs: `cargo test --workspace`.

use pollenlever::settings::PolicyName;
use pollenlever_standins::measure::{Trial, TrialSettings};

const SHORT: TrialSettings =
    TrialSettings { seed: 7, policy: PolicyName::Pollenlever, callers: 4, faults: 4 };

/// Names each case and runs a trial with its settings.
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
