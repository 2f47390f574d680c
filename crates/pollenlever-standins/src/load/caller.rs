use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pollenlever_core::config::Importance;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::header::HeaderMap;

use super::{Arrival, LoadSpec, Record};
use crate::target::{answer_line, is_complete_answer};

/// A caller that sends one request until it gets a complete answer, has no resend left or reaches
/// its deadline.
pub(super) struct Caller<'a> {
    pub(super) spec: &'a LoadSpec,
    pub(super) client: &'a reqwest::Client,
    pub(super) entries: &'a [SocketAddr],
    pub(super) arrival: Arrival,
}

/// Result of sending the request once.
struct Reply {
    reason: String,
    is_complete: bool,
    chain_id: Option<String>,
    retry_after: Option<Duration>,
}

impl Caller<'_> {
    pub(super) async fn run(self) -> Record {
        let start = Instant::now();
        let mut rng = SmallRng::seed_from_u64(self.arrival.seed);
        let mut answers_by_reason = BTreeMap::new();
        let mut chain_id = None;
        let mut sends = 0;
        let mut good = false;
        loop {
            let left = self.spec.deadline.saturating_sub(start.elapsed());
            let entry = self.entries[rng.random_range(0..self.entries.len())];
            sends += 1;
            let sent = self.send(entry, chain_id.as_deref(), left);
            let Ok(reply) = tokio::time::timeout(left, sent).await else {
                *answers_by_reason.entry("timeout".to_owned()).or_default() += 1;
                break;
            };
            *answers_by_reason.entry(reply.reason).or_default() += 1;
            if reply.is_complete {
                good = start.elapsed() <= self.spec.deadline;
                break;
            }
            if sends > self.spec.resend.max_resends {
                break;
            }
            if self.spec.resend.sends_chain_id {
                chain_id = reply.chain_id.or(chain_id);
            }
            let delay = self.resend_delay(reply.retry_after);
            if start.elapsed() + delay >= self.spec.deadline {
                break;
            }
            tokio::time::sleep(delay).await;
        }
        Record { latency: start.elapsed(), arrival: self.arrival, good, sends, answers_by_reason }
    }

    fn resend_delay(&self, retry_after: Option<Duration>) -> Duration {
        let resend = self.spec.resend;
        retry_after.filter(|_| resend.honors_retry_after).unwrap_or(resend.default_delay)
    }

    async fn send(&self, entry: SocketAddr, chain_id: Option<&str>, left: Duration) -> Reply {
        tokio::time::sleep(self.spec.network_delay).await;
        let path = self.path();
        let url = format!("http://{entry}/call/{}{path}", self.spec.service);
        let mut req = self
            .client
            .get(url)
            .header("pollenlever-customer", &self.arrival.workspace)
            .header("pollenlever-deadline-ms", left.as_millis().to_string());
        if let Some(chain_id) = chain_id {
            req = req.header("pollenlever-chain", chain_id);
        }
        let reply = match req.send().await {
            Ok(res) => self.read(res, &path).await,
            Err(err) => Reply::failed(&err),
        };
        tokio::time::sleep(self.spec.network_delay).await;
        reply
    }

    async fn read(&self, res: reqwest::Response, path: &str) -> Reply {
        let status = res.status().as_u16();
        let headers = res.headers().clone();
        let text = match res.text().await {
            Ok(text) => text,
            Err(err) => return Reply::failed(&err),
        };
        let line = answer_line(&self.spec.service, "GET", path, b"");
        let is_complete = status == 200 && is_complete_answer(&text, &line, self.spec.depth);
        let reason = header(&headers, "pollenlever-error").unwrap_or_else(|| status.to_string());
        let millis = header(&headers, "pollenlever-retry-after-ms");
        let retry_after = millis.and_then(|it| it.parse().ok()).map(Duration::from_millis);
        Reply { reason, is_complete, chain_id: header(&headers, "pollenlever-chain"), retry_after }
    }

    /// Path of the request kind with the arrival's importance.
    fn path(&self) -> String {
        let kind = match self.arrival.importance {
            Importance::Sheddable => "report",
            Importance::Normal => "read",
            Importance::High => "check",
            Importance::Critical => "pay",
        };
        format!("/{kind}?id={}", self.arrival.id)
    }
}

impl Reply {
    fn failed(err: &reqwest::Error) -> Reply {
        let reason = if err.is_connect() { "connect" } else { "broken" };
        Reply { reason: reason.to_owned(), is_complete: false, chain_id: None, retry_after: None }
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|it| it.to_str().ok()).map(str::to_owned)
}
