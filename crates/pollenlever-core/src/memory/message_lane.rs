/// Largest message that counts as small, in bytes.
pub const SMALL_MESSAGE_BYTES: usize = 64 << 10;

/// What a message is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// The body of a request.
    Body,
    /// The body of an answer of the target, which the node holds until the caller or the node that asked
    /// has taken it.
    TargetAnswer,
    /// The body of an answer that another node sends. Two nodes may hold answers for each other, so that
    /// these must not wait for those of the target.
    PeerAnswer,
}

/// Size of a message. Small ones have memory of their own, so that they do not wait for large ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageSize {
    /// At most [`SMALL_MESSAGE_BYTES`].
    Small,
    /// More than that.
    Large,
}

/// Messages that get memory in the order of asking.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MessageLane {
    /// What the messages are.
    pub kind: MessageKind,
    /// How large they are.
    pub size: MessageSize,
}

impl MessageSize {
    /// Size of a message of `bytes`.
    ///
    /// ```
    /// use pollenlever_core::memory::{MessageSize, SMALL_MESSAGE_BYTES};
    /// assert_eq!(MessageSize::of(SMALL_MESSAGE_BYTES), MessageSize::Small);
    /// ```
    pub fn of(bytes: usize) -> MessageSize {
        if bytes <= SMALL_MESSAGE_BYTES { MessageSize::Small } else { MessageSize::Large }
    }
}

impl MessageLane {
    /// All lanes; answers come first, since the work for them is done.
    pub const ALL: [MessageLane; 6] = [
        MessageLane { kind: MessageKind::PeerAnswer, size: MessageSize::Small },
        MessageLane { kind: MessageKind::PeerAnswer, size: MessageSize::Large },
        MessageLane { kind: MessageKind::TargetAnswer, size: MessageSize::Small },
        MessageLane { kind: MessageKind::TargetAnswer, size: MessageSize::Large },
        MessageLane { kind: MessageKind::Body, size: MessageSize::Small },
        MessageLane { kind: MessageKind::Body, size: MessageSize::Large },
    ];

    pub(super) fn index(self) -> usize {
        MessageLane::ALL.iter().position(|it| *it == self).expect("`ALL` has each lane")
    }
}
