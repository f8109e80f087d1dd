//! What the ledger writes, in which order, and what it holds to be durable.

use grebewood_core::state::write_buffer::{Batch, RecordId, WriteBuffer};
use grebewood_wire::http::Transaction;

fn batch(records: &[(RecordId, u64)]) -> Batch {
    Batch {
        records: records.to_vec(),
        transaction: Transaction::default(),
        proven: 0,
        mod_revision: 0,
    }
}

/// What moved to another page would be on no page, were the old one written first.
#[test]
fn the_old_record_waits_for_the_new_one() {
    let mut l = WriteBuffer::default();
    let (old, new) = (RecordId::Page(0), RecordId::Page(1));
    let v = l.mark_dirty(new.clone(), 5);
    l.mark_dirty(old.clone(), 1);
    l.wait_for(old.clone(), new.clone(), v);
    assert!(l.must_wait(&old, &[]));
    assert!(!l.must_wait(&old, &[(new.clone(), v)]));
    assert!(l.must_wait(&old, &[]));
    l.applied(&batch(&[(new, v)]), 9);
    assert!(!l.must_wait(&old, &[]));
}

/// Under a short rate, tidying up must not keep new assignments from being written; a change
/// that matters makes its record matter.
#[test]
fn what_only_tidies_up_goes_last() {
    let mut l = WriteBuffer::default();
    l.mark_dirty_lazily(RecordId::Page(0), 1);
    l.mark_dirty_lazily(RecordId::Page(1), 2);
    l.mark_dirty(RecordId::Page(2), 3);
    assert_eq!(
        l.due(3),
        vec![RecordId::Page(2), RecordId::Page(0), RecordId::Page(1)]
    );
    l.mark_dirty(RecordId::Page(1), 3);
    l.mark_dirty_lazily(RecordId::Page(1), 3);
    assert_eq!(
        l.due(3),
        vec![RecordId::Page(1), RecordId::Page(2), RecordId::Page(0)]
    );
}

#[test]
fn a_record_that_is_refused_alone_is_postponed() {
    let mut l = WriteBuffer::default();
    let v = l.mark_dirty(RecordId::Stats, 1);
    l.isolate(&[(RecordId::Stats, v)]);
    l.postpone(&RecordId::Stats, 50);
    assert!(l.is_isolated(&RecordId::Stats) && l.due(49).is_empty());
    assert_eq!(l.due(50), vec![RecordId::Stats]);
    l.applied(&batch(&[(RecordId::Stats, v)]), 9);
    assert!(!l.is_isolated(&RecordId::Stats) && l.due(90).is_empty());
}

#[test]
fn a_change_during_a_flush_stays_dirty() {
    let mut l = WriteBuffer::default();
    let rec = RecordId::Page(0);
    let v1 = l.mark_dirty(rec.clone(), 5);
    let batch = batch(&[(rec.clone(), v1)]);
    let v2 = l.mark_dirty(rec.clone(), 6);
    l.applied(&batch, 9);
    assert!(l.is_durable(&rec, v1));
    assert!(!l.is_durable(&rec, v2));
    assert_eq!(l.due(5), vec![rec]);
}
