use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::workspace_tokens::WorkspaceTokens;
use super::{QuotaSettings, TakeResult, TokenGrant, TokenPermit, TokenRequest};
use crate::Timestamp;
use crate::id::WorkspaceName;

/// Time without use after which a workspace is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// The tokens that this node may use, by workspace.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::id::WorkspaceName;
/// use pollenlever_core::quota::{QuotaSettings, TakeResult, TokenStore};
/// let mut store = TokenStore::new(QuotaSettings::default());
/// let (now, workspace) = (Duration::ZERO, WorkspaceName::from("padova"));
/// assert_eq!(store.take(now, &workspace), TakeResult::Ask);
/// let req = store.request(now, &workspace, 1).unwrap();
/// assert_eq!(req.wanted, 1);
/// assert!(store.request(now, &workspace, 1).is_none());
/// ```
#[derive(Debug)]
pub struct TokenStore {
    settings: QuotaSettings,
    workspaces: HashMap<WorkspaceName, WorkspaceTokens>,
    /// Number of token requests so far.
    requests: u64,
    /// Grants that may have tokens left, with the expiry of these, oldest first.
    granted: VecDeque<(Timestamp, WorkspaceName)>,
}

impl TokenStore {
    /// Creates a store without tokens.
    pub fn new(settings: QuotaSettings) -> TokenStore {
        TokenStore { settings, workspaces: HashMap::new(), requests: 0, granted: VecDeque::new() }
    }

    /// Takes a token, or says what to do without one.
    pub fn take(&mut self, now: Timestamp, workspace: &WorkspaceName) -> TakeResult {
        let Some(tokens) = self.workspaces.get_mut(workspace) else { return TakeResult::Ask };
        match tokens.take(now, workspace) {
            Some(permit) => TakeResult::Taken(permit),
            None => tokens.refuse(now, &self.settings),
        }
    }

    /// The token request to send to the workspace's home for `waiting` requests; `None` if one is in
    /// flight, whose reply is to be awaited.
    pub fn request(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceName,
        waiting: u32,
    ) -> Option<TokenRequest> {
        let number = self.requests + 1;
        let tokens = self.workspaces.entry(workspace.clone()).or_default();
        let prefetch = tokens.record_request(now, number, &self.settings)?;
        tokens.last_used = now;
        self.requests = number;
        let workspace = workspace.clone();
        Some(TokenRequest { number, workspace, wanted: waiting, prefetch, returned: None })
    }

    /// Token requests without wanted tokens that return tokens which will not be used, to be sent
    /// along with other token requests to one home. `is_at_home` tells whether that home is the home of
    /// a workspace. Their grants may be ignored.
    pub fn returns(
        &mut self,
        now: Timestamp,
        is_at_home: impl Fn(&WorkspaceName) -> bool,
    ) -> Vec<TokenRequest> {
        let mut returns = Vec::new();
        let near = now + self.settings.return_margin;
        while let Some(workspace) = self.pop_granted(near) {
            let Some(tokens) = self.workspaces.get_mut(&workspace) else { continue };
            if !is_at_home(&workspace) {
                continue;
            }
            if let Some(returned) = tokens.take_surplus(now, &self.settings) {
                let returned = Some(returned);
                let number = 0;
                returns.push(TokenRequest { number, workspace, wanted: 0, prefetch: 0, returned });
            }
        }
        returns
    }

    /// Handles a grant. Waiting requests then call [`TokenStore::take`] again; those for which it
    /// says [`TakeResult::Ask`] wait for another token request, which is for all of them together.
    pub fn on_grant(&mut self, now: Timestamp, grant: &TokenGrant) {
        let Some(tokens) = self.workspaces.get_mut(&grant.workspace) else { return };
        if let Some(expires) = tokens.on_grant(now, grant) {
            while self.pop_granted(now).is_some() {}
            self.granted.push_back((expires, grant.workspace.clone()));
        }
    }

    /// Handles the missing reply to a token request; waiting requests then call
    /// [`TokenStore::take`] again, and are refused.
    pub fn on_no_reply(&mut self, now: Timestamp, req: &TokenRequest) {
        if let Some(tokens) = self.workspaces.get_mut(&req.workspace) {
            tokens.on_no_reply(now, req.number, &self.settings);
        }
    }

    /// Gives back the token of a request that has not run. It keeps its expiry.
    pub fn give_back(&mut self, now: Timestamp, permit: TokenPermit) {
        if let Some(tokens) = self.workspaces.get_mut(&permit.workspace) {
            tokens.give_back(now, &permit);
        }
    }

    /// Removes workspaces that have not been used for a minute; to be called about once a minute.
    pub fn remove_idle(&mut self, now: Timestamp) {
        self.workspaces.retain(|_, it| now < it.last_used + IDLE_TIME);
    }

    /// Workspace of the oldest grant, if that expires by `until`.
    fn pop_granted(&mut self, until: Timestamp) -> Option<WorkspaceName> {
        self.granted.front().filter(|it| it.0 <= until)?;
        self.granted.pop_front().map(|it| it.1)
    }
}
