//! State that limits retries: budgets of chains of calls, recent failures and token buckets.

mod chain_retry_budgets;
mod recent_failures;
mod token_bucket;

pub(crate) use chain_retry_budgets::ChainRetryBudgets;
pub(crate) use recent_failures::RecentFailures;
pub(crate) use token_bucket::TokenBucket;
