use std::sync::Arc;

use pollenlever_core::quota::TokenPermit;

use super::Quota;

/// The token of a request. Dropping it gives the token back, unless the request may have run.
pub(crate) struct TokenGuard {
    quota: Arc<Quota>,
    /// `None` once the token is given back.
    permit: Option<TokenPermit>,
    may_have_run: bool,
}

impl TokenGuard {
    pub(super) fn new(quota: Arc<Quota>, permit: TokenPermit) -> TokenGuard {
        TokenGuard { quota, permit: Some(permit), may_have_run: false }
    }

    /// Sets whether the request may have run, so that its token is used up.
    pub(crate) fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for TokenGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take().filter(|_| !self.may_have_run) {
            self.quota.give_back(permit);
        }
    }
}
