//! Concurrent operators: the history of accepted updates is linearizable, even when responses of
//! the store are lost.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use pollenlever::store::{
    ABSENT_VERSION, ObjectApi, SERVICES_KIND, ServiceObject, StoreClient, StoreError, SubmitError,
    SubmitSettings, submit,
};
use pollenlever_core::config::ServiceConfig;
use pollenlever_standins::store::{Faults, Store, StoreSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use todc_utils::{Action, History, Specification, WGLChecker};

/// Operators that update the service concurrently.
const OPERATORS: usize = 4;
/// Updates that each operator tries.
const UPDATES: u32 = 6;

/// Number of an update, used as its submission id and as the slots that it sets.
type UpdateId = u32;

/// What an operator did to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Operation {
    /// Read which update is in the store; 0 for none.
    Read(UpdateId),
    /// Replace the update `base` by `new`.
    Update { base: UpdateId, new: UpdateId, accepted: bool },
}

struct ServiceSpec;

impl Specification for ServiceSpec {
    type State = UpdateId;
    type Operation = Operation;

    fn init() -> UpdateId {
        0
    }

    fn apply(operation: &Operation, state: &UpdateId) -> (bool, UpdateId) {
        match operation {
            Operation::Read(seen) => (seen == state, *state),
            Operation::Update { base, new, accepted: true } => (base == state, *new),
            Operation::Update { base, accepted: false, .. } => (base != state, *state),
        }
    }
}

type Actions = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Writer {
    /// Uses `submit`, which reads the object back after a lost response.
    Submit,
    /// Wrongly treats a lost response as a rejected update.
    NoReadBack,
}

struct Operator {
    number: usize,
    writer: Writer,
    api: StoreClient,
    actions: Actions,
    rng: SmallRng,
}

impl Operator {
    async fn run(mut self) {
        for step in 0..UPDATES {
            let (version, base) = self.read().await;
            let new = self.number as UpdateId * 100 + step + 1;
            let operation = |accepted| Operation::Update { base, new, accepted };
            self.record(Action::Call(operation(true)));
            let accepted = self.update(version, new).await;
            self.record(Action::Response(operation(accepted)));
            let pause = self.rng.random_range(0..4);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        self.read().await;
    }

    fn record(&self, action: Action<Operation>) {
        self.actions.lock().unwrap().push((self.number, action));
    }

    async fn read(&self) -> (u64, UpdateId) {
        self.record(Action::Call(Operation::Read(0)));
        let object = self.api.get(SERVICES_KIND, "balance").await.unwrap();
        let (version, seen) = object.map_or((ABSENT_VERSION, 0), |it| {
            (it.version, ServiceObject::from_value(&it.value).unwrap().slots)
        });
        self.record(Action::Response(Operation::Read(seen)));
        (version, seen)
    }

    async fn update(&self, version: u64, new: UpdateId) -> bool {
        let cfg =
            ServiceConfig { service: "balance".into(), slots: new, ..ServiceConfig::default() };
        let wait = Duration::from_millis(1);
        let settings = SubmitSettings {
            expected_version: Some(version),
            backoff: wait,
            max_backoff: wait,
            ..SubmitSettings::default()
        };
        if self.writer == Writer::Submit {
            return match submit(&self.api, &cfg, &new.to_string(), &settings).await {
                Ok(_) => true,
                Err(SubmitError::Conflict(_)) => false,
                Err(err) => panic!("{err}"),
            };
        }
        let value = serde_json::to_value(ServiceObject::new(&cfg, &[], "x")).unwrap();
        match self.api.put(SERVICES_KIND, "balance", version, &value).await {
            Ok(_) => true,
            Err(StoreError::Conflict(_) | StoreError::ResponseLost(_)) => false,
            Err(err) => panic!("{err}"),
        }
    }
}

/// Runs concurrent operators while responses are lost, and checks whether their history is
/// linearizable.
fn is_linearizable(writer: Writer, seed: u64) -> bool {
    let store = Store::start(StoreSettings::default()).unwrap();
    store.set_faults(Faults { lose_answers: 5, ..Faults::default() });
    let actions = Actions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let operators = (0..OPERATORS).map(|number| {
            let api = StoreClient::new(store.addr()).unwrap();
            let rng = SmallRng::seed_from_u64(seed * 100 + number as u64);
            let operator = Operator { number, writer, api, actions: Arc::clone(&actions), rng };
            tokio::spawn(operator.run())
        });
        for operator in operators.collect::<Vec<_>>() {
            operator.await.unwrap();
        }
    });
    let actions = actions.lock().unwrap().clone();
    WGLChecker::<ServiceSpec>::is_linearizable(History::from_actions(actions))
}

/// Defines a test that runs the operators with seeds 1 to 8.
macro_rules! case {
    ($name:ident, $writer:expr, $expected:literal) => {
        #[test]
        fn $name() {
            for seed in 1..=8 {
                assert_eq!(is_linearizable($writer, seed), $expected, "seed {seed}");
            }
        }
    };
}

case!(submissions_are_linearizable, Writer::Submit, true);
case!(updates_without_read_back_are_not_linearizable, Writer::NoReadBack, false);
