use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::ANY_INCARNATION;
use pollenlever_core::memory::MessageKind;
use pollenlever_core::mesh::MeshRequest;
use pollenlever_core::message::{PROTOCOL_VERSION, PeerReply, PeerRequest};

use super::build_info::{add_own_build, read_build};
use super::message_io::{MessageSource, recv_message, send_message, stream_error};
use super::{PeerServer, ReplyFrame, RequestFrame, WireError};
use super::{decode_request, encode_reply};

/// Longest time for reading a request.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(30);

/// Reads the request on a stream, passes it to the handler and writes the reply.
pub(super) async fn serve_stream(
    server: &PeerServer,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    tells_build: bool,
) {
    let (parts, mut stream) = req.into_parts();
    let memory = MessageSource { memory: &server.memory, kind: MessageKind::Body };
    let read = recv_message(&mut stream, server.max_body_bytes, Some(memory));
    // A peer sends a request whole, as fast as its connection goes.
    let Ok(read) = tokio::time::timeout(MAX_REQUEST_TIME, read).await else {
        log::warn!("request of a peer dropped reason=\"not whole in time\"");
        return;
    };
    let decoded = read.and_then(|(head, body)| Ok((decode_request(&head)?, body)));
    let mut version = PROTOCOL_VERSION;
    let (reply, body) = match decoded {
        Ok((frame, body)) => {
            version = frame.version;
            server.versions.record(frame.from, version, read_build(&parts.headers));
            match reply_to_request(server, frame, body, &mut respond).await {
                Some(reply_and_body) => reply_and_body,
                None => return,
            }
        }
        Err(WireError::Stream(_)) => return,
        Err(err) => {
            log::warn!("request of a peer refused reason={:?}", err.to_string());
            (PeerReply::Refused(err.error_kind()), Bytes::new())
        }
    };
    let frame = ReplyFrame { version, from: server.local_node, reply };
    if let Err(err) = write_reply(&mut respond, &frame, body, tells_build).await {
        log::debug!("cannot send a reply to a peer reason={:?}", err.to_string());
    }
}

/// The reply to a request, or `None` if the peer reset the stream or the handler has no reply.
async fn reply_to_request(
    server: &PeerServer,
    frame: RequestFrame,
    body: Bytes,
    respond: &mut SendResponse<Bytes>,
) -> Option<(PeerReply, Bytes)> {
    let is_for_any_incarnation =
        frame.to == ANY_INCARNATION && accepts_any_incarnation(&frame.request);
    if frame.to != server.local_node.incarnation && !is_for_any_incarnation {
        server.handler.handle_misaddressed(frame.from);
        return Some((PeerReply::Refused(ErrorKind::WrongIncarnation), Bytes::new()));
    }
    tokio::select! {
        biased;
        reply = server.handler.handle(frame.from, frame.request, body) => reply,
        _ = poll_fn(|cx| respond.poll_reset(cx)) => None,
    }
}

/// Whether the request may be handled by any process at the address, whatever its incarnation
/// (the random number of one run of a node).
fn accepts_any_incarnation(req: &PeerRequest) -> bool {
    match req {
        PeerRequest::Gossip(_) | PeerRequest::Config(_) => true,
        PeerRequest::Mesh(req) => !matches!(req, MeshRequest::Attempt(_)),
        _ => false,
    }
}

async fn write_reply(
    respond: &mut SendResponse<Bytes>,
    frame: &ReplyFrame,
    body: Bytes,
    tells_build: bool,
) -> Result<(), WireError> {
    let head = encode_reply(frame)?;
    let mut response = Response::new(());
    if tells_build {
        add_own_build(response.headers_mut());
    }
    let mut stream = respond.send_response(response, false).map_err(stream_error)?;
    send_message(&mut stream, &head, body).await
}
