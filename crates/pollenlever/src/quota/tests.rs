use pollenlever_core::quota::ShareTable;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};

use super::QuotaMetrics;
use super::share_table_object::ShareTableObject;

/// Declares one test per case: a value that is not a share table, and part of the error.
macro_rules! refused_objects {
    ($($name:ident: $value:expr => $error:expr;)*) => {$(
        #[test]
        fn $name() {
            let value: Value = $value;
            let err = ShareTableObject::read(&value).unwrap_err().to_string();
            assert!(err.contains($error), "{err}");
        }
    )*};
}

refused_objects! {
    text: json!("shares") => "not a share table";
    table_without_shards: json!({"holders": {}}) => "missing field `shards`";
    table_with_negative_units: json!({"shards": 8, "holders": {"a": -1}}) => "not a share table";
    table_without_any_shard: json!({"shards": 0, "holders": {}}) => "0 shards";
    table_with_too_many_shards: json!({"shards": 257, "holders": {}}) => "257 shards";
    more_units_than_there_are: json!({"shards": 8, "holders": {"a": 900_000, "b": 200_000}})
        => "1100000 units";
    incarnation_that_is_no_number: json!({"shards": 8, "holders": {}, "lowering": {"a": "x"}})
        => "not a hexadecimal number";
}

/// An incarnation that a JSON reader rounds would look like that of another process.
#[test]
fn a_table_is_read_as_it_was_written() {
    let mut table = ShareTable::create(&["a".into(), "b".into()], 8);
    table.lowering.insert("a".into(), u64::MAX - 1);
    let value = serde_json::to_value(ShareTableObject::from(&table)).unwrap();
    assert_eq!(value["lowering"]["a"], "fffffffffffffffe");
    assert_eq!(ShareTableObject::read(&value).unwrap(), table);
}

/// Series of all workspaces would fill the memory of a node with 10,000 of them.
#[test]
fn workspaces_beyond_the_limit_share_one_label() {
    let (mut registry, metrics) = (Registry::default(), QuotaMetrics::default());
    metrics.register(&mut registry);
    for index in 0..300 {
        metrics.counters(&format!("w{index}").into()).granted.inc();
    }
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    let lines: Vec<&str> = text.lines().filter(|it| it.contains("result=\"granted\"")).collect();
    assert_eq!(lines.len(), 129, "{text}");
    let other = lines.iter().find(|it| it.contains("workspace=\"other\""));
    assert!(other.is_some_and(|it| it.ends_with(" 172")), "{text}");
}
