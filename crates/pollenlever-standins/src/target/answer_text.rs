use xxhash_rust::xxh3::xxh3_64;

/// The line that a target adds to an answer: it names the service and the request.
///
/// ```
/// use pollenlever_standins::target::answer_line;
/// let line = answer_line("balance", "GET", "/check?id=1", b"");
/// assert!(line.starts_with("balance GET /check?id=1 "));
/// ```
pub fn answer_line(service: &str, method: &str, path: &str, body: &[u8]) -> String {
    format!("{service} {method} {path} {:016x}\n", xxh3_64(body))
}

/// Whether `text` is the whole answer to a request through a chain of `depth` services.
///
/// The first line must name the request, and there must be one line for each service.
pub fn is_whole_answer(text: &str, first_line: &str, depth: usize) -> bool {
    text.starts_with(first_line) && text.ends_with('\n') && text.lines().count() == depth
}
