use super::{QuotaSettings, TakeResult, TokenGrant, TokenPermit, TokenRequest};
use crate::Timestamp;
use crate::id::WorkspaceName;

/// The tokens that this node may use, by workspace.
#[derive(Debug)]
pub struct TokenStore {
    settings: QuotaSettings,
}

impl TokenStore {
    /// Creates a store without tokens.
    pub fn new(settings: QuotaSettings) -> TokenStore {
        TokenStore { settings }
    }

    /// Takes a token, or says what to do without one.
    pub fn take(&mut self, now: Timestamp, workspace: &WorkspaceName) -> TakeResult {
        let _ = (now, workspace, self.settings);
        TakeResult::Ask
    }

    /// The token request to send to the workspace's home for `waiting` requests; `None` if one is in
    /// flight, whose reply is to be awaited.
    pub fn request(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceName,
        waiting: u32,
    ) -> Option<TokenRequest> {
        let _ = (now, workspace, waiting);
        None
    }

    /// Token requests without wanted tokens that return tokens which will not be used, to be sent
    /// along with other token requests to one home. `is_at_home` tells whether that home is the home of
    /// a workspace. Their grants may be ignored.
    pub fn returns(
        &mut self,
        now: Timestamp,
        is_at_home: impl Fn(&WorkspaceName) -> bool,
    ) -> Vec<TokenRequest> {
        let _ = (now, is_at_home);
        Vec::new()
    }

    /// Handles a grant. Waiting requests then call [`TokenStore::take`] again; those for which it
    /// says [`TakeResult::Ask`] wait for another token request.
    pub fn on_grant(&mut self, now: Timestamp, grant: &TokenGrant) {
        let _ = (now, grant);
    }

    /// Handles the missing reply to the workspace's token request; waiting requests then call
    /// [`TokenStore::take`] again, and are refused.
    pub fn on_no_reply(&mut self, now: Timestamp, workspace: &WorkspaceName) {
        let _ = (now, workspace);
    }

    /// Gives back the token of a request that has not run.
    pub fn give_back(&mut self, now: Timestamp, permit: TokenPermit) {
        let _ = (now, permit);
    }

    /// Removes workspaces that have not been used for a while; to be called about once a minute.
    pub fn remove_idle(&mut self, now: Timestamp) {
        let _ = now;
    }
}
