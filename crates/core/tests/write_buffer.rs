//! Tests of the write buffer: what it writes, in which order, and what it considers durable.

use grebewood_core::state::write_buffer::{Batch, RecordId, WriteBuffer};
use grebewood_wire::http::Transaction;

fn batch(records: &[(RecordId, u64)]) -> Batch {
    Batch {
        records: records.to_vec(),
        transaction: Transaction::default(),
        confirmed_operations: 0,
        confirmed_revision: 0,
    }
}

/// If the old record were written first, content that moves between pages would be on no page for a while.
#[test]
fn the_old_record_waits_for_the_new_one() {
    let mut buffer = WriteBuffer::default();
    let (old, new) = (RecordId::AssignmentPage(0), RecordId::AssignmentPage(1));
    let version = buffer.mark_dirty(new.clone(), 5);
    buffer.mark_dirty(old.clone(), 1);
    buffer.wait_for(old.clone(), new.clone(), version);
    assert!(buffer.must_wait(&old, &[]));
    assert!(!buffer.must_wait(&old, &[(new.clone(), version)]));
    assert!(buffer.must_wait(&old, &[]));
    buffer.on_batch_applied(&batch(&[(new, version)]), 9);
    assert!(!buffer.must_wait(&old, &[]));
}

/// While the write rate is exhausted, cleanup must not delay the writing of new assignments. A record that has both
/// lazy and other changes is written in its turn.
#[test]
fn lazy_changes_are_written_last() {
    let mut buffer = WriteBuffer::default();
    buffer.mark_dirty_lazily(RecordId::AssignmentPage(0), 1);
    buffer.mark_dirty_lazily(RecordId::AssignmentPage(1), 2);
    buffer.mark_dirty(RecordId::AssignmentPage(2), 3);
    assert_eq!(
        buffer.due_records(3),
        vec![
            RecordId::AssignmentPage(2),
            RecordId::AssignmentPage(0),
            RecordId::AssignmentPage(1)
        ]
    );
    buffer.mark_dirty(RecordId::AssignmentPage(1), 3);
    buffer.mark_dirty_lazily(RecordId::AssignmentPage(1), 3);
    assert_eq!(
        buffer.due_records(3),
        vec![
            RecordId::AssignmentPage(1),
            RecordId::AssignmentPage(2),
            RecordId::AssignmentPage(0)
        ]
    );
}

#[test]
fn a_record_that_is_refused_alone_is_postponed() {
    let mut buffer = WriteBuffer::default();
    let version = buffer.mark_dirty(RecordId::Stats, 1);
    buffer.isolate(&[(RecordId::Stats, version)]);
    buffer.postpone(&RecordId::Stats, 50);
    assert!(buffer.is_isolated(&RecordId::Stats) && buffer.due_records(49).is_empty());
    assert_eq!(buffer.due_records(50), vec![RecordId::Stats]);
    buffer.on_batch_applied(&batch(&[(RecordId::Stats, version)]), 9);
    assert!(!buffer.is_isolated(&RecordId::Stats) && buffer.due_records(90).is_empty());
}

#[test]
fn a_change_during_a_flush_stays_dirty() {
    let mut buffer = WriteBuffer::default();
    let record = RecordId::AssignmentPage(0);
    let first_version = buffer.mark_dirty(record.clone(), 5);
    let batch = batch(&[(record.clone(), first_version)]);
    let second_version = buffer.mark_dirty(record.clone(), 6);
    buffer.on_batch_applied(&batch, 9);
    assert!(buffer.is_durable(&record, first_version));
    assert!(!buffer.is_durable(&record, second_version));
    assert_eq!(buffer.due_records(5), vec![record]);
}
