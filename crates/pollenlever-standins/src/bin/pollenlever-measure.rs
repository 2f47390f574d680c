//! Runs one measurement, or lists them.

use std::process::ExitCode;

use pollenlever_standins::measure::{CATALOG, MeasureOptions, Measurement};

/// Exit code of a measurement that could not be taken.
const EXIT_FAILED: u8 = 2;

mod flags {
    #![allow(missing_docs, unreachable_pub)] // xflags writes the items

    use pollenlever::settings::PolicyName;
    use pollenlever_standins::cluster::Deployment;

    xflags::xflags! {
        /// Runs a measurement; exits 0 only if its target is held.
        cmd measure {
            /// Name of the measurement, or `list`.
            required name: String
            /// Seed of arrivals, faults and random choices.
            optional --seed n: u64
            /// Deployment to run on: ferraresi or vegmerking.
            optional --deployment name: Deployment
            /// Policy of the nodes, where the measurement does not run both: pollenlever or naive.
            optional --policy name: PolicyName
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Measure::from_env_or_exit();
    if flags.name == "list" {
        list();
        return ExitCode::SUCCESS;
    }
    let Some(measurement) = CATALOG.iter().find(|it| it.name() == flags.name) else {
        eprintln!("no measurement `{}`; these exist:", flags.name);
        list();
        return ExitCode::from(EXIT_FAILED);
    };
    let default = MeasureOptions::default();
    let options = MeasureOptions {
        seed: flags.seed.unwrap_or(default.seed),
        deployment: flags.deployment.unwrap_or(default.deployment),
        policy: flags.policy.unwrap_or(default.policy),
    };
    run(*measurement, &options)
}

fn list() {
    for measurement in CATALOG {
        println!("{:<16}{}", measurement.name(), measurement.summary());
    }
}

fn run(measurement: &dyn Measurement, options: &MeasureOptions) -> ExitCode {
    match measurement.run(options) {
        Ok(verdict) => {
            println!("{}: {verdict}", measurement.name());
            if verdict.is_held() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(err) => {
            println!("{}: failed: {err}", measurement.name());
            ExitCode::from(EXIT_FAILED)
        }
    }
}
