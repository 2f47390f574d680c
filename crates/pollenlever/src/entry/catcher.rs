use pollenlever_core::answer::ErrorKind;
use rocket::catcher::{self, BoxFuture, Catcher};
use rocket::http::Status;
use rocket::{Request, Response};

use super::answer_response::error_response;

/// Answers requests that no route matches or that fail in rocket, with an error of the node.
pub(super) fn default_catcher() -> Catcher {
    Catcher::new(None, catch)
}

fn catch<'r>(status: Status, _req: &'r Request<'_>) -> BoxFuture<'r> {
    Box::pin(async move { Ok(default_response(status)) as catcher::Result<'r> })
}

fn default_response(status: Status) -> Response<'static> {
    let kind = match status.code {
        404 => ErrorKind::UnknownRequestKind,
        405 => ErrorKind::MethodNotAllowed,
        413 => ErrorKind::BodyTooLarge,
        431 => ErrorKind::HeaderTooLarge,
        500.. => ErrorKind::Internal,
        _ => ErrorKind::MalformedRequest,
    };
    error_response(kind)
}
