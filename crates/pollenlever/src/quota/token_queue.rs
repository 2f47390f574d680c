use std::collections::{HashMap, VecDeque};

use pollenlever_core::Timestamp;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::WorkspaceName;
use pollenlever_core::quota::{
    QuotaSettings, TakeResult, TokenGrant, TokenPermit, TokenRequest, TokenStore,
};
use tokio::sync::oneshot;

use super::quota_metrics::{QuotaMetrics, WorkspaceCounters};
use super::{QuotaRefusal, TokenGuard};

/// Result of a request for a token.
pub(super) type TokenResult = Result<TokenGuard, QuotaRefusal>;
/// Sends the result to a request that waits for a token.
pub(super) type TokenSender = oneshot::Sender<TokenResult>;
/// Results to send once the queue is unlocked, since a result that cannot be sent gives its token
/// back.
pub(super) type Served = Vec<(TokenSender, Result<TokenPermit, QuotaRefusal>)>;

/// Tokens of this node and the requests that wait for some.
pub(super) struct TokenQueue {
    store: TokenStore,
    metrics: QuotaMetrics,
    workspaces: HashMap<WorkspaceName, WorkspaceQueue>,
    /// Workspaces whose token requests are due.
    due: Vec<WorkspaceName>,
}

/// Requests of one workspace that wait for a token.
struct WorkspaceQueue {
    waiting: VecDeque<TokenSender>,
    counters: WorkspaceCounters,
}

impl TokenQueue {
    pub(super) fn new(metrics: QuotaMetrics, settings: QuotaSettings) -> TokenQueue {
        let store = TokenStore::new(settings);
        TokenQueue { store, metrics, workspaces: HashMap::new(), due: Vec::new() }
    }

    /// Takes a token or refuses the request; `None` if the request has to wait for a token request.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceName,
    ) -> Option<Result<TokenPermit, QuotaRefusal>> {
        let result = match self.store.take(now, workspace) {
            TakeResult::Taken(permit) => Ok(permit),
            TakeResult::Refused { error, retry_after } => Err(QuotaRefusal { error, retry_after }),
            TakeResult::Ask => return None,
        };
        self.queue(workspace).counters.record(&result);
        Some(result)
    }

    /// Appends a waiting request. Returns whether this makes the first token request due.
    pub(super) fn wait(&mut self, workspace: &WorkspaceName, sender: TokenSender) -> bool {
        self.queue(workspace).waiting.push_back(sender);
        let is_first = self.due.is_empty();
        if !self.due.contains(workspace) {
            self.due.push(workspace.clone());
        }
        is_first
    }

    /// Workspaces whose token requests are due.
    pub(super) fn take_due(&mut self) -> Vec<WorkspaceName> {
        std::mem::take(&mut self.due)
    }

    /// The token request for the requests of a workspace that wait; `None` if none do or one is
    /// in flight.
    pub(super) fn request(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceName,
    ) -> Option<TokenRequest> {
        let queue = self.workspaces.get_mut(workspace)?;
        // Requests whose callers have hung up need no token.
        queue.waiting.retain(|it| !it.is_closed());
        let waiting = queue.waiting.len() as u32;
        if waiting == 0 { None } else { self.store.request(now, workspace, waiting) }
    }

    /// Token requests that return tokens to a home, see [`TokenStore::returns`].
    pub(super) fn returns(
        &mut self,
        now: Timestamp,
        is_at_home: impl Fn(&WorkspaceName) -> bool,
    ) -> Vec<TokenRequest> {
        self.store.returns(now, is_at_home)
    }

    /// Handles the grants for token requests, and the missing ones. Returns the waiting requests
    /// that have got a result, and whether further token requests are due.
    pub(super) fn on_grants(
        &mut self,
        now: Timestamp,
        requests: &[TokenRequest],
        grants: &[TokenGrant],
    ) -> (Served, bool) {
        let mut served = Vec::new();
        // No request waits for those that only return tokens.
        for req in requests.iter().filter(|it| it.wanted > 0) {
            match grants.iter().find(|it| it.number == req.number) {
                Some(grant) => self.store.on_grant(now, grant),
                None => self.store.on_no_reply(now, req),
            }
            self.serve(now, &req.workspace, &mut served);
        }
        (served, !self.due.is_empty())
    }

    /// Refuses all waiting requests of a workspace whose home is not known.
    pub(super) fn refuse_waiting(&mut self, workspace: &WorkspaceName, served: &mut Served) {
        let retry_after = super::UNAVAILABLE_RETRY_AFTER;
        let refusal = QuotaRefusal { error: ErrorKind::QuotaUnavailable, retry_after };
        let queue = self.queue(workspace);
        for sender in std::mem::take(&mut queue.waiting) {
            queue.counters.record(&Err(refusal));
            served.push((sender, Err(refusal)));
        }
    }

    /// Gives back the token of a request that has not run.
    pub(super) fn give_back(&mut self, now: Timestamp, permit: TokenPermit) {
        self.store.give_back(now, permit);
    }

    /// Removes what is kept of workspaces that have not been used for a while.
    pub(super) fn remove_idle(&mut self, now: Timestamp) {
        self.store.remove_idle(now);
        self.workspaces.retain(|_, it| !it.waiting.is_empty());
    }

    /// Passes tokens to the waiting requests of a workspace, in their order.
    fn serve(&mut self, now: Timestamp, workspace: &WorkspaceName, served: &mut Served) {
        while let Some(sender) = self.next_waiting(workspace) {
            match self.take(now, workspace) {
                Some(result) => served.push((sender, result)),
                None => {
                    self.queue(workspace).waiting.push_front(sender);
                    if !self.due.contains(workspace) {
                        self.due.push(workspace.clone());
                    }
                    return;
                }
            }
        }
    }

    fn next_waiting(&mut self, workspace: &WorkspaceName) -> Option<TokenSender> {
        let queue = self.workspaces.get_mut(workspace)?;
        std::iter::from_fn(|| queue.waiting.pop_front()).find(|it| !it.is_closed())
    }

    fn queue(&mut self, workspace: &WorkspaceName) -> &mut WorkspaceQueue {
        // Looked up twice, as the entry API needs an owned key also where there is an entry.
        if !self.workspaces.contains_key(workspace) {
            let counters = self.metrics.counters(workspace);
            let queue = WorkspaceQueue { waiting: VecDeque::new(), counters };
            self.workspaces.insert(workspace.clone(), queue);
        }
        self.workspaces.get_mut(workspace).expect("inserted above")
    }
}
