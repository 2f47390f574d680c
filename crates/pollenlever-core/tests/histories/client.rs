use bytes::Bytes;
use pollenlever_core::id::{ChainId, RequestKey};

/// A request that a client makes and may resend.
#[derive(Debug, Clone)]
pub(crate) struct ClientRequest {
    pub(crate) method: &'static str,
    pub(crate) path: &'static str,
    pub(crate) body: Bytes,
    pub(crate) keyed: bool,
    pub(crate) key: Option<RequestKey>,
    pub(crate) chain: Option<ChainId>,
    pub(crate) sends_left: u32,
    /// Number of the request whose key this one wrongly uses; `None` for a key of its own.
    pub(crate) key_of: Option<usize>,
}

impl ClientRequest {
    /// A non-idempotent request.
    pub(crate) fn charge(number: usize) -> ClientRequest {
        ClientRequest::new("POST", "/charge", format!("charge:{number}"), true)
    }

    /// An idempotent request.
    pub(crate) fn get(number: usize) -> ClientRequest {
        ClientRequest::new("GET", "/get", format!("get:{number}"), false)
    }

    /// A request whose target makes calls, `levels` deep.
    pub(crate) fn deep(number: usize, levels: u32) -> ClientRequest {
        ClientRequest::new("GET", "/deep", format!("deep:{number}:{levels}:root"), false)
    }

    /// An idempotent request whose target places an order, which must run at most once.
    pub(crate) fn sell(number: usize) -> ClientRequest {
        ClientRequest::new("GET", "/deep", format!("deep:{number}:1:sell"), false)
    }

    /// A request that crashes each target that runs it.
    pub(crate) fn poison(number: usize) -> ClientRequest {
        ClientRequest::new("GET", "/get", format!("poison:{number}"), false)
    }

    fn new(method: &'static str, path: &'static str, body: String, keyed: bool) -> ClientRequest {
        let body = body.into();
        ClientRequest {
            method,
            path,
            body,
            keyed,
            key: None,
            chain: None,
            sends_left: 5,
            key_of: None,
        }
    }
}
