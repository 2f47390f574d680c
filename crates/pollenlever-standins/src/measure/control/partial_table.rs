use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of nearest nodes on each side of the ring that a partial table contains.
const NEIGHBOURS: usize = 4;
/// Number of lookups that are simulated.
const LOOKUPS: usize = 20_000;

/// Cost of partial member tables with multi-hop lookups, the alternative to a whole table on each
/// node.
///
/// Identifiers are on a ring, and distance is measured the shorter way round. A table contains the
/// nearest nodes and, on each side, one node for each doubling of the distance (cf. FRT-2-Chord).
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PartialTable {
    /// Mean number of entries of a table.
    pub(super) mean_entries: f64,
    /// Mean number of hops of a lookup.
    pub(super) mean_hops: f64,
    /// Number of hops of the longest lookup.
    pub(super) max_hops: usize,
}

impl PartialTable {
    /// Builds the tables of `count` nodes and simulates lookups of random identifiers.
    pub(super) fn measure(count: usize, seed: u64) -> PartialTable {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ids: Vec<u64> = (0..count).map(|_| rng.random()).collect();
        ids.sort_unstable();
        let tables: Vec<Vec<usize>> = (0..count).map(|node| build_table(&ids, node)).collect();
        let mut total = 0;
        let mut max_hops = 0;
        for _ in 0..LOOKUPS {
            let hops = lookup(&ids, &tables, rng.random_range(0..count), rng.random());
            total += hops;
            max_hops = max_hops.max(hops);
        }
        let mean_entries = tables.iter().map(Vec::len).sum::<usize>() as f64 / count as f64;
        PartialTable { mean_entries, mean_hops: total as f64 / LOOKUPS as f64, max_hops }
    }
}

fn distance(a: u64, b: u64) -> u64 {
    a.wrapping_sub(b).min(b.wrapping_sub(a))
}

/// Table of a node: its neighbours, and on each side the first node at or beyond each power of two.
fn build_table(ids: &[u64], node: usize) -> Vec<usize> {
    let count = ids.len();
    let mut entries: Vec<usize> = Vec::new();
    for step in 1..=NEIGHBOURS {
        entries.extend([(node + step) % count, (node + count - step) % count]);
    }
    for exponent in 0..u64::BITS - 1 {
        let ahead = ids[node].wrapping_add(1 << exponent);
        let behind = ids[node].wrapping_sub(1 << exponent);
        entries.push(ids.partition_point(|it| *it < ahead) % count);
        entries.push((ids.partition_point(|it| *it <= behind) + count - 1) % count);
    }
    entries.sort_unstable();
    entries.dedup();
    entries.retain(|it| *it != node);
    entries
}

/// Number of hops of a greedy lookup from `start` to the node nearest to `key`.
fn lookup(ids: &[u64], tables: &[Vec<usize>], start: usize, key: u64) -> usize {
    let mut current = start;
    let mut hops = 0;
    loop {
        let nearest = tables[current].iter().copied().min_by_key(|it| distance(ids[*it], key));
        match nearest {
            Some(next) if distance(ids[next], key) < distance(ids[current], key) => current = next,
            _ => return hops,
        }
        hops += 1;
    }
}
