//! The store client and submissions against a simulated store that injects faults.

use std::future::Future;
use std::time::Duration;

use pollenlever::store::{
    Accepted, ObjectApi, SERVICES_KIND, ServiceObject, StoreClient, StoreError, SubmitError,
    SubmitSettings, submit,
};
use pollenlever_core::config::{RequestKind, ServiceConfig};
use pollenlever_standins::store::{Faults, RunningStore, Store, StoreSettings};
use serde_json::{Value, json};

/// Defines a test that runs its body with a new store and a client of it.
macro_rules! case {
    ($name:ident, |$store:ident, $api:ident| $body:expr) => {
        #[test]
        fn $name() {
            let $store = Store::start(StoreSettings::default()).unwrap();
            let $api = StoreClient::new($store.addr()).unwrap();
            block_on($body);
        }
    };
}

fn block_on(body: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(body);
}

fn service(slots: u32) -> ServiceConfig {
    let kinds = vec![RequestKind { method: "POST".to_owned(), ..RequestKind::default() }];
    ServiceConfig { service: "balance".into(), slots, kinds, ..ServiceConfig::default() }
}

fn quick_settings() -> SubmitSettings {
    let wait = Duration::from_millis(1);
    SubmitSettings { backoff: wait, max_backoff: wait, max_tries: 8, ..SubmitSettings::default() }
}

async fn stored_service(api: &StoreClient) -> (u64, ServiceObject) {
    let object = api.get(SERVICES_KIND, "balance").await.unwrap().unwrap();
    (object.version, ServiceObject::from_value(&object.value).unwrap())
}

async fn assert_put_error(store: &RunningStore, faults: Faults, expected: StoreError) {
    let api = StoreClient::new(store.addr()).unwrap();
    store.set_faults(faults);
    let found = api.put("k", "n", 0, &json!(1)).await.unwrap_err();
    assert_eq!(std::mem::discriminant(&found), std::mem::discriminant(&expected), "{found}");
}

case!(versions_and_conflicts, |_store, api| async {
    assert_eq!(api.get("k", "n").await, Ok(None));
    let first = api.put("k", "n", 0, &json!({"a": 1})).await.unwrap();
    let err = api.put("k", "n", 0, &json!(2)).await.unwrap_err();
    assert_eq!(err.conflicting_version(), Some(first));
    let second = api.put("k", "n", first, &json!(3)).await.unwrap();
    assert!(second > first);
    let list = api.list("k").await.unwrap();
    assert_eq!((list.revision, list.objects.len()), (second, 1));
    assert_eq!(list.objects[0].value, json!(3));
});

case!(value_over_a_megabyte_is_refused, |_store, api| async {
    let value = Value::from("x".repeat(1_100_000));
    assert_eq!(api.put("k", "n", 0, &value).await, Err(StoreError::TooLarge));
    assert_eq!(api.get("k", "n").await, Ok(None));
});

case!(watch_waits_for_a_change, |store, api| async {
    let writer = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        api.put("k", "n", 0, &json!(1)).await.unwrap()
    };
    let (list, version) = tokio::join!(api.watch("k", 0, Duration::from_secs(20)), writer);
    assert_eq!(list.unwrap().objects[0].version, version);
    let empty = api.watch("k", version, Duration::from_millis(10)).await.unwrap();
    assert_eq!((empty.revision, empty.objects.len()), (version, 0));
    assert_eq!(store.counters().watches, 2);
});

case!(each_fault_gives_its_own_error, |store, _api| async {
    let reason = String::new();
    let down = Faults { down: true, ..Faults::default() };
    assert_put_error(&store, down, StoreError::Unavailable(reason.clone())).await;
    let limited = Faults { writes_per_s: 1, ..Faults::default() };
    let api = StoreClient::new(store.addr()).unwrap();
    store.set_faults(limited);
    api.put("k", "other", 0, &json!(1)).await.unwrap();
    let limited = api.put("k", "n", 0, &json!(1)).await;
    assert_eq!(limited, Err(StoreError::RateLimited));
    assert_eq!(store.counters().limited, 1);
    let lost = Faults { lose_answers: 1, ..Faults::default() };
    assert_put_error(&store, lost, StoreError::ResponseLost(reason)).await;
    assert!(api.get("k", "n").await.unwrap().is_some(), "the lost update took effect");
});

case!(stale_reads_alternate, |store, api| async {
    let first = api.put("k", "n", 0, &json!(1)).await.unwrap();
    store.set_faults(Faults { stale_reads: true, ..Faults::default() });
    let second = api.put("k", "n", first, &json!(2)).await.unwrap();
    let mut versions = Vec::new();
    for _ in 0..4 {
        versions.push(api.get("k", "n").await.unwrap().unwrap().version);
    }
    versions.sort_unstable();
    assert_eq!(versions, [first, first, second, second]);
});

case!(service_object_round_trip, |_store, api| async {
    submit(&api, &service(5), "a", &quick_settings()).await.unwrap();
    let (version, object) = stored_service(&api).await;
    assert_eq!(object.to_config(version).unwrap(), ServiceConfig { version, ..service(5) });
});

case!(submission_is_read_back_after_a_lost_response, |store, api| async {
    store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let accepted = submit(&api, &service(5), "a", &quick_settings()).await.unwrap();
    let (version, object) = stored_service(&api).await;
    assert_eq!(accepted, Accepted { version, replaced: false });
    assert_eq!(object.submissions, ["a"], "the update took effect once");
    assert_eq!(store.counters().puts, 1);
});

case!(submission_with_a_lost_response_is_replaced_by_a_later_one, |store, api| async {
    store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let once = SubmitSettings { max_tries: 1, ..quick_settings() };
    let unknown = submit(&api, &service(5), "a", &once).await;
    assert!(matches!(unknown, Err(SubmitError::Unknown(_))), "{unknown:?}");
    submit(&api, &service(6), "b", &quick_settings()).await.unwrap();
    let again = submit(&api, &service(5), "a", &quick_settings()).await.unwrap();
    assert!(again.replaced);
    assert_eq!(stored_service(&api).await.1.slots, 6, "the later submission stays in force");
});

case!(submission_based_on_an_old_version_conflicts, |_store, api| async {
    let first = submit(&api, &service(5), "a", &quick_settings()).await.unwrap();
    let second = submit(&api, &service(6), "b", &quick_settings()).await.unwrap();
    let expected_version = Some(first.version);
    let outdated =
        submit(&api, &service(7), "c", &SubmitSettings { expected_version, ..quick_settings() })
            .await;
    assert_eq!(outdated, Err(SubmitError::Conflict(second.version)));
});

case!(submission_succeeds_despite_stale_reads, |store, api| async {
    let first = submit(&api, &service(5), "a", &quick_settings()).await.unwrap();
    store.set_faults(Faults { stale_reads: true, ..Faults::default() });
    let second = submit(&api, &service(6), "b", &quick_settings()).await.unwrap();
    let expected_version = Some(second.version);
    let third =
        submit(&api, &service(7), "c", &SubmitSettings { expected_version, ..quick_settings() })
            .await;
    assert!(third.unwrap().version > second.version && second.version > first.version);
});

case!(submission_to_a_store_that_stays_down_fails, |store, api| async {
    store.set_faults(Faults { down: true, ..Faults::default() });
    let refused = submit(&api, &service(5), "a", &quick_settings()).await;
    assert!(matches!(refused, Err(SubmitError::Refused(StoreError::Unavailable(_)))));
});
