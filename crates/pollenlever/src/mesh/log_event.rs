use log::Level;

/// Every event that a node logs as a structured line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)] // docs/OPERATIONS.md says what each means and which fields it has
pub enum LogEvent {
    NodeStarted,
    NodeLeaving,
    NodeStopped,
    SettingsReloaded,
    SettingsRefused,
    StoreLost,
    StoreRegained,
    StoreEraChanged,
    OwnObjectNotStored,
    RoutesInForce,
    RoutesRefused,
    RoutesWatchBegan,
    RoutesWatchEnded,
    RouteNotFound,
    MemberUp,
    MemberLost,
    MemberGone,
    EarlierVersionsSeen,
    EarlierVersionsGone,
    TargetReady,
    TargetLeaving,
    TargetClosed,
    TargetCrashed,
    TargetReportIgnored,
    DepartureKeptElsewhere,
    DepartureNotConfirmed,
    DeparturesRecalled,
    TargetStatement,
    TargetLoadMalformed,
    ApiKeyRefused,
    QuotaRefused,
    SharesHeld,
    ShareTableWritten,
    ShareTableRefused,
    QuotaHomeTaken,
    QuotaHomeLost,
    RequestEnded,
    CallerHungUp,
    ConnectionClosed,
    AttemptRepeated,
    AttemptLost,
    AttemptSealed,
    RunRefused,
    RunEnded,
    LimitChanged,
    PaceBegan,
    PaceChanged,
    PaceEnded,
}

impl LogEvent {
    /// All events, in the order of their declaration.
    pub const ALL: [LogEvent; 48] = [
        LogEvent::NodeStarted,
        LogEvent::NodeLeaving,
        LogEvent::NodeStopped,
        LogEvent::SettingsReloaded,
        LogEvent::SettingsRefused,
        LogEvent::StoreLost,
        LogEvent::StoreRegained,
        LogEvent::StoreEraChanged,
        LogEvent::OwnObjectNotStored,
        LogEvent::RoutesInForce,
        LogEvent::RoutesRefused,
        LogEvent::RoutesWatchBegan,
        LogEvent::RoutesWatchEnded,
        LogEvent::RouteNotFound,
        LogEvent::MemberUp,
        LogEvent::MemberLost,
        LogEvent::MemberGone,
        LogEvent::EarlierVersionsSeen,
        LogEvent::EarlierVersionsGone,
        LogEvent::TargetReady,
        LogEvent::TargetLeaving,
        LogEvent::TargetClosed,
        LogEvent::TargetCrashed,
        LogEvent::TargetReportIgnored,
        LogEvent::DepartureKeptElsewhere,
        LogEvent::DepartureNotConfirmed,
        LogEvent::DeparturesRecalled,
        LogEvent::TargetStatement,
        LogEvent::TargetLoadMalformed,
        LogEvent::ApiKeyRefused,
        LogEvent::QuotaRefused,
        LogEvent::SharesHeld,
        LogEvent::ShareTableWritten,
        LogEvent::ShareTableRefused,
        LogEvent::QuotaHomeTaken,
        LogEvent::QuotaHomeLost,
        LogEvent::RequestEnded,
        LogEvent::CallerHungUp,
        LogEvent::ConnectionClosed,
        LogEvent::AttemptRepeated,
        LogEvent::AttemptLost,
        LogEvent::AttemptSealed,
        LogEvent::RunRefused,
        LogEvent::RunEnded,
        LogEvent::LimitChanged,
        LogEvent::PaceBegan,
        LogEvent::PaceChanged,
        LogEvent::PaceEnded,
    ];

    /// Name of the event in log lines.
    ///
    /// ```
    /// use pollenlever::mesh::LogEvent;
    /// assert_eq!(LogEvent::RequestEnded.as_str(), "request-ended");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            LogEvent::NodeStarted => "node-started",
            LogEvent::NodeLeaving => "node-leaving",
            LogEvent::NodeStopped => "node-stopped",
            LogEvent::SettingsReloaded => "settings-reloaded",
            LogEvent::SettingsRefused => "settings-refused",
            LogEvent::StoreLost => "store-lost",
            LogEvent::StoreRegained => "store-regained",
            LogEvent::StoreEraChanged => "store-era-changed",
            LogEvent::OwnObjectNotStored => "own-object-not-stored",
            LogEvent::RoutesInForce => "routes-in-force",
            LogEvent::RoutesRefused => "routes-refused",
            LogEvent::RoutesWatchBegan => "routes-watch-began",
            LogEvent::RoutesWatchEnded => "routes-watch-ended",
            LogEvent::RouteNotFound => "route-not-found",
            LogEvent::MemberUp => "member-up",
            LogEvent::MemberLost => "member-lost",
            LogEvent::MemberGone => "member-gone",
            LogEvent::EarlierVersionsSeen => "earlier-versions-seen",
            LogEvent::EarlierVersionsGone => "earlier-versions-gone",
            LogEvent::TargetReady => "target-ready",
            LogEvent::TargetLeaving => "target-leaving",
            LogEvent::TargetClosed => "target-closed",
            LogEvent::TargetCrashed => "target-crashed",
            LogEvent::TargetReportIgnored => "target-report-ignored",
            LogEvent::DepartureKeptElsewhere => "departure-kept-elsewhere",
            LogEvent::DepartureNotConfirmed => "departure-not-confirmed",
            LogEvent::DeparturesRecalled => "departures-recalled",
            LogEvent::TargetStatement => "target-statement",
            LogEvent::TargetLoadMalformed => "target-load-malformed",
            LogEvent::ApiKeyRefused => "api-key-refused",
            LogEvent::QuotaRefused => "quota-refused",
            LogEvent::SharesHeld => "shares-held",
            LogEvent::ShareTableWritten => "share-table-written",
            LogEvent::ShareTableRefused => "share-table-refused",
            LogEvent::QuotaHomeTaken => "quota-home-taken",
            LogEvent::QuotaHomeLost => "quota-home-lost",
            LogEvent::RequestEnded => "request-ended",
            LogEvent::CallerHungUp => "caller-hung-up",
            LogEvent::ConnectionClosed => "connection-closed",
            LogEvent::AttemptRepeated => "attempt-repeated",
            LogEvent::AttemptLost => "attempt-lost",
            LogEvent::AttemptSealed => "attempt-sealed",
            LogEvent::RunRefused => "run-refused",
            LogEvent::RunEnded => "run-ended",
            LogEvent::LimitChanged => "limit-changed",
            LogEvent::PaceBegan => "pace-began",
            LogEvent::PaceChanged => "pace-changed",
            LogEvent::PaceEnded => "pace-ended",
        }
    }

    /// Log level of the event.
    pub fn level(self) -> Level {
        match self {
            LogEvent::SettingsRefused | LogEvent::RoutesRefused | LogEvent::ShareTableRefused => {
                Level::Error
            }
            LogEvent::StoreLost
            | LogEvent::StoreEraChanged
            | LogEvent::OwnObjectNotStored
            | LogEvent::DepartureNotConfirmed
            | LogEvent::MemberLost
            | LogEvent::TargetClosed
            | LogEvent::TargetCrashed
            | LogEvent::TargetLoadMalformed => Level::Warn,
            _ => Level::Info,
        }
    }
}

/// Logs an event with its fields as `key=value` pairs.
macro_rules! log_event {
    ($event:expr, $($arg:tt)+) => {
        log::log!($event.level(), "event={} {}", $event.as_str(), format_args!($($arg)+))
    };
}

pub(crate) use log_event;
