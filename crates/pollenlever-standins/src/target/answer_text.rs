use xxhash_rust::xxh3::xxh3_64;

/// Line that each target adds to an answer: service, method, path and a hash of the request body.
///
/// ```
/// use pollenlever_standins::target::answer_line;
/// let line = answer_line("balance", "GET", "/check?id=1", b"");
/// assert!(line.starts_with("balance GET /check?id=1 "));
/// ```
pub fn answer_line(service: &str, method: &str, path: &str, body: &[u8]) -> String {
    format!("{service} {method} {path} {:016x}\n", xxh3_64(body))
}

/// Whether `text` is the complete answer to a request that passes through `depth` services.
///
/// It must start with `first_line` and have one line for each service.
pub fn is_complete_answer(text: &str, first_line: &str, depth: usize) -> bool {
    text.starts_with(first_line) && text.ends_with('\n') && text.lines().count() == depth
}
