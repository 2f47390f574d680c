//! Chains of calls and their bounded retries.
