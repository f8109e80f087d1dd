//! Tests of the equality of values as the key-value store returns them.

mod common;

use common::map;
use grebewood_wire::{same_value, Value};

/// A store may keep the entries of maps in an order of its own and write 4.0 as 4. The record is the same.
#[test]
fn order_of_entries_and_form_of_numbers_do_not_matter() {
    let one = map(&[("a", Value::from(4.0)), ("b", Value::from("x"))]);
    let other = map(&[("b", Value::from("x")), ("a", Value::from(4))]);
    assert!(same_value(&one, &other) && same_value(&other, &one));
    assert!(same_value(
        &Value::Array(vec![one]),
        &Value::Array(vec![other])
    ));
}

#[test]
fn records_with_other_content_differ() {
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
