use httparse::{EMPTY_HEADER, Header, Request, Status};

/// Most headers that are parsed; a request with more is left to the HTTP server to refuse.
const MAX_HEADERS: usize = 100;

/// What the first bytes of a connection's buffer hold.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RequestFrame {
    /// An incomplete request head.
    Partial,
    /// A request with a complete head.
    Complete {
        /// Length of the head, in bytes.
        head_len: usize,
        /// How the body that follows ends.
        body: BodyFrame,
    },
    /// A request with both a `Content-Length` and chunks, so that two parsers could disagree about
    /// its end.
    Ambiguous,
    /// Not a valid request; the HTTP server answers with the specific error.
    Invalid,
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
    /// Parses the first request head in `buf`.
    pub(super) fn parse(buf: &[u8]) -> RequestFrame {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut req = Request::new(&mut headers);
        match req.parse(buf) {
            Ok(Status::Complete(head_len)) => RequestFrame::from_head(head_len, req.headers),
            Ok(Status::Partial) => RequestFrame::Partial,
            Err(_) => RequestFrame::Invalid,
        }
    }

    fn from_head(head_len: usize, headers: &[Header<'_>]) -> RequestFrame {
        let values = |name: &str| -> Vec<&[u8]> {
            let named = headers.iter().filter(|it| it.name.eq_ignore_ascii_case(name));
            named.map(|it| it.value).collect()
        };
        let body = match (&values("transfer-encoding")[..], &values("content-length")[..]) {
            ([], []) => BodyFrame::Length(0),
            ([], [len]) => match parse_length(len) {
                Some(len) => BodyFrame::Length(len),
                None => return RequestFrame::Invalid,
            },
            ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") => BodyFrame::Chunked,
            ([_, ..], [_, ..]) => return RequestFrame::Ambiguous,
            _ => return RequestFrame::Invalid,
        };
        RequestFrame::Complete { head_len, body }
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| is_number)?.parse().ok()
}
