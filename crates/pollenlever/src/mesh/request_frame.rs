use httparse::{EMPTY_HEADER, Header, Request, Status};

/// Headers of a request that are looked at; one with more is left to the server to refuse.
const MAX_HEADERS: usize = 100;

/// What stands at the start of a connection's bytes.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RequestFrame {
    /// The head is not complete.
    Partial,
    /// A request.
    Whole {
        /// Length of its head, in bytes.
        head_len: usize,
        /// What follows the head.
        body: BodyFrame,
    },
    /// It has a length beside chunks, so that two readers could disagree about its end.
    Ambiguous,
    /// No request; the server says what is wrong.
    Broken,
}

/// How the body of a request ends.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BodyFrame {
    /// After this number of bytes.
    Length(u64),
    /// After its last chunk.
    Chunked,
}

impl RequestFrame {
    /// Finds the end of the first request.
    pub(super) fn of(buf: &[u8]) -> RequestFrame {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut req = Request::new(&mut headers);
        match req.parse(buf) {
            Ok(Status::Complete(head_len)) => RequestFrame::of_head(head_len, req.headers),
            Ok(Status::Partial) => RequestFrame::Partial,
            Err(_) => RequestFrame::Broken,
        }
    }

    fn of_head(head_len: usize, headers: &[Header<'_>]) -> RequestFrame {
        let values = |name: &str| -> Vec<&[u8]> {
            let named = headers.iter().filter(|it| it.name.eq_ignore_ascii_case(name));
            named.map(|it| it.value).collect()
        };
        let body = match (&values("transfer-encoding")[..], &values("content-length")[..]) {
            ([], []) => BodyFrame::Length(0),
            ([], [len]) => match parse_length(len) {
                Some(len) => BodyFrame::Length(len),
                None => return RequestFrame::Broken,
            },
            ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") => BodyFrame::Chunked,
            ([_, ..], [_, ..]) => return RequestFrame::Ambiguous,
            _ => return RequestFrame::Broken,
        };
        RequestFrame::Whole { head_len, body }
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}
