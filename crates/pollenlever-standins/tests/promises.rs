//! A short run of the promises measurement on real processes; `scripts/measure promises` runs the
//! full one.
//!
//! Run it with `cargo test --workspace`, which also builds the programs that it starts.

use pollenlever::settings::PolicyName;
use pollenlever_standins::measure::{PromisesTrial, PromisesTrialSettings};

const SHORT: PromisesTrialSettings = PromisesTrialSettings {
    seed: 7,
    policy: PolicyName::Pollenlever,
    caller_count: 4,
    fault_count: 4,
};

/// Defines a test for each case: it runs a trial with the settings and checks its result.
macro_rules! trials {
    ($($name:ident: $settings:expr => $check:expr;)*) => {
        $(#[test]
        fn $name() {
            let trial = PromisesTrial::run(&$settings).unwrap();
            assert!(trial.order_count > 0 && trial.chain_count > 0, "{trial:?}");
            let check: fn(&PromisesTrial) -> bool = $check;
            assert!(check(&trial), "{trial:?}");
        })*
    };
}

trials! {
    promises_hold_under_faults: SHORT => |it| it.violations.is_clean();
    naive_policy_runs_orders_twice: PromisesTrialSettings { policy: PolicyName::Naive, ..SHORT } =>
        |it| it.violations.run_twice > 0;
}
