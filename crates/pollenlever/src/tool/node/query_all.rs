use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Maximum number of nodes that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Calls `query` for every node of `nodes` on a bounded number of threads and returns the answers
/// in the order of `nodes`.
///
/// ```
/// use pollenlever::tool::node::query_all;
/// assert_eq!(query_all(&[1, 2, 3], |it| it * 2), [2, 4, 6]);
/// ```
pub fn query_all<N, A>(nodes: &[N], query: impl Fn(&N) -> A + Sync) -> Vec<A>
where
    N: Sync,
    A: Send,
{
    let next = AtomicUsize::new(0);
    let answers = Mutex::new(Vec::with_capacity(nodes.len()));
    thread::scope(|scope| {
        for _ in 0..nodes.len().min(MAX_CONCURRENT_QUERIES) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(node) = nodes.get(index) else { return };
                    let answer = query(node);
                    answers.lock().unwrap_or_else(PoisonError::into_inner).push((index, answer));
                }
            });
        }
    });
    let mut answers = answers.into_inner().unwrap_or_else(PoisonError::into_inner);
    answers.sort_by_key(|(index, _)| *index);
    answers.into_iter().map(|(_, answer)| answer).collect()
}
