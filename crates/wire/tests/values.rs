//! Values as the state service gives them back.

use grebewood_wire::{same_value, Value};

fn map(items: &[(&str, Value)]) -> Value {
    let items = items.iter().map(|(k, v)| ((*k).into(), v.clone()));
    Value::Map(items.collect())
}

/// A store may keep maps in an order of its own and write 4.0 as 4; that is the same record.
#[test]
fn the_same_record_in_another_form_is_the_same() {
    let one = map(&[("a", Value::from(4.0)), ("b", Value::from("x"))]);
    let other = map(&[("b", Value::from("x")), ("a", Value::from(4))]);
    assert!(same_value(&one, &other) && same_value(&other, &one));
    assert!(same_value(
        &Value::Array(vec![one]),
        &Value::Array(vec![other])
    ));
}

#[test]
fn a_record_with_more_or_other_content_is_not_the_same() {
    let one = map(&[("a", Value::from(4))]);
    for other in [
        map(&[("a", Value::from(5))]),
        map(&[("a", Value::from(4)), ("b", Value::from(4))]),
        map(&[("b", Value::from(4))]),
        map(&[]),
        Value::Null,
    ] {
        assert!(!same_value(&one, &other) && !same_value(&other, &one));
    }
    let (short, long) = (vec![Value::from(1)], vec![Value::from(1), Value::from(2)]);
    assert!(!same_value(&Value::Array(short), &Value::Array(long)));
}
