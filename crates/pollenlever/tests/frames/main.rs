//! Encodings of the messages between nodes, in each protocol version that nodes of this build speak.
//!
//! The recorded bytes come from builds of these versions. A test that fails here says that nodes of this
//! build cannot talk to nodes that run already; docs/design/mixed-versions.md says how to change a message.

mod samples;

use std::collections::BTreeMap;

use pollenlever::peer::{
    OLDEST_PROTOCOL_VERSION, ReplyFrame, RequestFrame, WireError, decode_reply, decode_request,
    encode_reply, encode_request,
};
use pollenlever_core::id::NodeId;
use pollenlever_core::message::{PROTOCOL_VERSION, PeerReply, PeerRequest};

const VERSION_4: &str = include_str!("version-4.txt");
const VERSION_5: &str = include_str!("version-5.txt");
const VERSION_6: &str = include_str!("version-6.txt");
const VERSION_7: &str = include_str!("version-7.txt");
const VERSION_8: &str = include_str!("version-8.txt");
const VERSION_9: &str = include_str!("version-9.txt");
const TO: u64 = 0x4f;

/// Recorded heads by direction and name.
type Recorded = BTreeMap<(String, String), Vec<u8>>;

fn recorded(text: &str) -> Recorded {
    let lines = text.lines().filter(|it| !it.starts_with('#'));
    let entries = lines.map(|line| {
        let mut words = line.split(' ').map(str::to_owned);
        let mut word = || words.next().expect("three words a line");
        ((word(), word()), bytes(&word()))
    });
    entries.collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn from() -> NodeId {
    "10.1.0.7:7300@3f".parse().unwrap()
}

fn request_frame(version: u16, request: PeerRequest) -> RequestFrame {
    RequestFrame { version, from: from(), to: TO, request }
}

fn reply_frame(version: u16, reply: PeerReply) -> ReplyFrame {
    ReplyFrame { version, from: from(), reply }
}

/// Checks that each message is written and read as recorded, and that all recorded ones are checked.
/// `as_read` gives a message as it is read in this version, or `None` if the version lacks it.
fn check_version(
    version: u16,
    text: &str,
    request_as_read: fn(PeerRequest) -> Option<PeerRequest>,
    reply_as_read: fn(PeerReply) -> Option<PeerReply>,
) {
    let mut recorded = recorded(text);
    for (name, request) in samples::requests() {
        let encoded = encode_request(&request_frame(version, request.clone()));
        let Some(expected) = request_as_read(request) else {
            assert_eq!(encoded, Err(WireError::NotInVersion { version }), "request {name}");
            continue;
        };
        let head = recorded.remove(&("request".to_owned(), name.to_owned())).expect(name);
        assert_eq!(encoded.unwrap(), head, "request {name} has another encoding");
        assert_eq!(decode_request(&head), Ok(request_frame(version, expected)), "request {name}");
    }
    for (name, reply) in samples::replies() {
        let encoded = encode_reply(&reply_frame(version, reply.clone()));
        let Some(expected) = reply_as_read(reply) else {
            assert_eq!(encoded, Err(WireError::NotInVersion { version }), "reply {name}");
            continue;
        };
        let head = recorded.remove(&("reply".to_owned(), name.to_owned())).expect(name);
        assert_eq!(encoded.unwrap(), head, "reply {name} has another encoding");
        assert_eq!(decode_reply(&head), Ok(reply_frame(version, expected)), "reply {name}");
    }
    assert_eq!(recorded, Recorded::new(), "recorded, but not checked");
}

#[test]
fn version_4_is_written_and_read_as_recorded() {
    check_version(4, VERSION_4, samples::request_in_version_4, samples::reply_in_version_4);
}

#[test]
fn version_5_is_written_and_read_as_recorded() {
    check_version(5, VERSION_5, samples::request_in_version_6, samples::reply_in_version_5);
}

#[test]
fn version_6_is_written_and_read_as_recorded() {
    check_version(6, VERSION_6, samples::request_in_version_6, samples::reply_in_version_8);
}

#[test]
fn version_7_is_written_and_read_as_recorded() {
    check_version(7, VERSION_7, samples::request_in_version_7, samples::reply_in_version_8);
}

#[test]
fn version_8_is_written_and_read_as_recorded() {
    check_version(8, VERSION_8, samples::request_in_version_8, samples::reply_in_version_8);
}

#[test]
fn version_9_is_written_and_read_as_recorded() {
    check_version(9, VERSION_9, Some, Some);
}

#[test]
fn each_spoken_version_is_recorded() {
    assert_eq!(OLDEST_PROTOCOL_VERSION..=PROTOCOL_VERSION, 4..=9);
}

#[test]
fn other_versions_are_neither_written_nor_read() {
    for version in [OLDEST_PROTOCOL_VERSION - 1, PROTOCOL_VERSION + 1] {
        let err = WireError::Version { found: version, expected: PROTOCOL_VERSION };
        let (_, request) = samples::requests().remove(0);
        assert_eq!(encode_request(&request_frame(version, request)), Err(err.clone()));
        let head = [version as u8, 1, 2, 3];
        assert_eq!(decode_request(&head), Err(err.clone()));
        assert_eq!(decode_reply(&head), Err(err));
    }
}
