//! The rings (bounded queues) between threads: order, capacity and wake-ups.

use std::thread;
use std::time::Duration;

use crossbeam_channel::RecvTimeoutError;
use pollenlever::ring::{RingFull, ring};

/// Timeout of a receive that is expected to end earlier.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn every_item_of_every_writer_arrives_once_and_in_order() {
    const WRITERS: u32 = 4;
    const ITEMS: u32 = 20_000;
    let (ring, reader) = ring(16);
    for writer in 0..WRITERS {
        let ring = ring.clone();
        thread::spawn(move || (0..ITEMS).for_each(|it| ring.push_blocking((writer, it)).unwrap()));
    }
    drop(ring);
    let mut next = [0; WRITERS as usize];
    while let Ok((writer, item)) = reader.recv_timeout(RECEIVE_TIMEOUT) {
        assert_eq!(next[writer as usize], item);
        next[writer as usize] += 1;
    }
    assert_eq!(next, [ITEMS; WRITERS as usize]);
}

#[test]
fn a_parked_reader_is_woken_by_an_item() {
    let (ring, reader) = ring(1);
    let waiting = thread::spawn(move || (reader.recv(), reader.recv_timeout(RECEIVE_TIMEOUT)));
    for item in [1, 2] {
        thread::sleep(Duration::from_millis(20));
        ring.push_blocking(item).unwrap();
    }
    assert_eq!(waiting.join().unwrap(), (Ok(1), Ok(2)));
}

#[test]
fn a_parked_reader_is_woken_by_the_end_of_the_last_writer() {
    let (ring, reader) = ring::<u32>(1);
    let waiting = thread::spawn(move || reader.recv_timeout(RECEIVE_TIMEOUT));
    thread::sleep(Duration::from_millis(20));
    drop(ring.clone());
    drop(ring);
    assert_eq!(waiting.join().unwrap(), Err(RecvTimeoutError::Disconnected));
}

#[test]
fn a_full_ring_gives_the_item_back() {
    let (ring, reader) = ring(1);
    assert_eq!(ring.push(1), Ok(()));
    assert_eq!(ring.push(2), Err(RingFull));
    assert_eq!(ring.try_push(3), Err(Some(3)));
    drop(reader);
    assert_eq!(ring.try_push(4), Err(None));
}

#[test]
fn a_reader_that_moves_to_another_thread_still_reads() {
    let (ring, reader) = ring(1);
    assert!(reader.recv_timeout(Duration::from_millis(1)).is_err());
    let waiting = thread::spawn(move || reader.recv_timeout(RECEIVE_TIMEOUT));
    thread::sleep(Duration::from_millis(20));
    ring.push(1).unwrap();
    assert_eq!(waiting.join().unwrap(), Ok(1));
}
