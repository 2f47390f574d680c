use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{NodeId, WorkspaceName};
use pollenlever_core::mesh::{MeshReply, MeshRequest};
use pollenlever_core::quota::{TokenPermit, TokenRequest};
use tokio::sync::oneshot;

use super::token_queue::{Served, TokenResult};
use super::{Quota, QuotaRefusal, TokenGuard, UNAVAILABLE_RETRY_AFTER};
use crate::mesh::{LogEvent, log_event};

/// Timeout of a message with token requests.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Taking of tokens for the requests of this node.
impl Quota {
    /// Takes a token for a request of `workspace`, from those that this node has or from its home.
    ///
    /// # Errors
    ///
    /// [`QuotaRefusal`] if the request may not run.
    pub(crate) async fn take_token(
        self: &Arc<Quota>,
        workspace: &WorkspaceName,
        request: &str,
    ) -> TokenResult {
        let result = match self.take_or_wait(workspace) {
            Ok(result) => result.map(|it| TokenGuard::new(Arc::clone(self), it)),
            Err(waiting) => waiting.await.unwrap_or(Err(QuotaRefusal {
                error: ErrorKind::QuotaUnavailable,
                retry_after: UNAVAILABLE_RETRY_AFTER,
            })),
        };
        if let Err(refusal) = &result {
            self.log_refusal(workspace, request, refusal);
        }
        result
    }

    /// Takes a token or refuses the request at once, or else returns the result to wait for.
    fn take_or_wait(
        self: &Arc<Quota>,
        workspace: &WorkspaceName,
    ) -> Result<Result<TokenPermit, QuotaRefusal>, oneshot::Receiver<TokenResult>> {
        let mut tokens = self.lock_tokens();
        if let Some(result) = tokens.take(self.clock.now(), workspace) {
            return Ok(result);
        }
        let (tx, rx) = oneshot::channel();
        let is_first = tokens.wait(workspace, tx);
        drop(tokens);
        if is_first {
            self.spawn_token_requests();
        }
        Err(rx)
    }

    /// Sends the token requests that are due once the other tasks of this moment have run, so that
    /// theirs go in the same messages.
    fn spawn_token_requests(self: &Arc<Quota>) {
        let quota = Arc::clone(self);
        tokio::spawn(async move {
            tokio::task::yield_now().await;
            quota.send_token_requests();
        });
    }

    fn send_token_requests(self: &Arc<Quota>) {
        let mut served = Vec::new();
        let messages = self.due_messages(&mut served);
        self.deliver(served);
        for (home, requests) in messages {
            let quota = Arc::clone(self);
            tokio::spawn(async move { quota.ask_home(home, requests).await });
        }
    }

    /// Token requests that are due, by home.
    fn due_messages(&self, served: &mut Served) -> BTreeMap<NodeId, Vec<TokenRequest>> {
        let now = self.clock.now();
        let mut messages: BTreeMap<NodeId, Vec<TokenRequest>> = BTreeMap::new();
        let mut tokens = self.lock_tokens();
        let homes = self.lock_homes();
        for workspace in tokens.take_due() {
            match homes.home_of(&workspace) {
                Some(home) => {
                    let req = tokens.request(now, &workspace);
                    messages.entry(home).or_default().extend(req);
                }
                None => tokens.refuse_waiting(&workspace, served),
            }
        }
        messages.retain(|_, requests| !requests.is_empty());
        for (home, requests) in &mut messages {
            requests.extend(tokens.returns(now, |it| homes.home_of(it) == Some(*home)));
        }
        messages
    }

    /// Sends token requests to their home and passes the granted tokens on.
    async fn ask_home(self: Arc<Quota>, home: NodeId, requests: Vec<TokenRequest>) {
        let grants = if home == self.me {
            self.on_token_requests(&requests)
        } else {
            let req = MeshRequest::TakeTokens(requests.clone());
            match self.exchange(home, req, TOKEN_TIMEOUT).await {
                Some(MeshReply::Tokens(grants)) => grants,
                _ => {
                    self.metrics.record_no_reply();
                    Vec::new()
                }
            }
        };
        let (served, are_more_due) =
            self.lock_tokens().on_grants(self.clock.now(), &requests, &grants);
        self.deliver(served);
        if are_more_due {
            self.spawn_token_requests();
        }
    }

    /// Sends results to waiting requests. The token of one that has hung up is given back.
    fn deliver(self: &Arc<Quota>, served: Served) {
        for (sender, result) in served {
            let result = result.map(|it| TokenGuard::new(Arc::clone(self), it));
            // An unsent result is dropped here, which gives its token back.
            drop(sender.send(result));
        }
    }

    /// Gives back the token of a request that has not run.
    pub(super) fn give_back(&self, permit: TokenPermit) {
        self.lock_tokens().give_back(self.clock.now(), permit);
    }

    fn log_refusal(&self, workspace: &WorkspaceName, request: &str, refusal: &QuotaRefusal) {
        if let Some(omitted) = self.log.admit_line(self.clock.now()) {
            let home = self.lock_homes().home_of(workspace);
            let home = home.map_or_else(|| "unknown".to_owned(), |it| it.to_string());
            log_event!(
                LogEvent::QuotaRefused,
                "request={request} workspace={workspace} outcome={} home={home} retry_after_ms={} \
                 omitted={omitted}",
                refusal.error.as_str(),
                refusal.retry_after.as_millis()
            );
        }
    }
}
