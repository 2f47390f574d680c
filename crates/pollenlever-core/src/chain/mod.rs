//! State that limits retries: budgets of chains of calls, recent failures and token buckets.

mod ledger;
mod recent_failures;
mod token_bucket;

pub(crate) use ledger::Ledger;
pub(crate) use recent_failures::RecentFailures;
pub(crate) use token_bucket::TokenBucket;
