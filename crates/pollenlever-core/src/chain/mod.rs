//! Retries bounded over a chain of calls, a service and a customer.

mod ledger;
mod recent_failures;
mod token_bucket;

pub(crate) use ledger::Ledger;
pub(crate) use recent_failures::RecentFailures;
pub(crate) use token_bucket::TokenBucket;
