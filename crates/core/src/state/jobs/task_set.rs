//! Sets of task numbers of a job.

const WORD_BITS: u64 = u64::BITS as u64;

/// A set of task numbers below a fixed count, stored as one bit for each number.
#[derive(Clone, Debug, Default)]
pub struct TaskSet(Vec<u64>);

impl TaskSet {
    /// Creates an empty set for task numbers below `count`.
    pub(crate) fn new(count: u64) -> Self {
        TaskSet(vec![0; count.div_ceil(WORD_BITS) as usize])
    }

    /// Returns whether the task is in the set.
    pub fn contains(&self, task: u64) -> bool {
        self.0
            .get((task / WORD_BITS) as usize)
            .is_some_and(|word| word >> (task % WORD_BITS) & 1 == 1)
    }

    /// Adds a task. Numbers beyond the capacity, which is the count rounded up to whole words, are ignored.
    pub(crate) fn insert(&mut self, task: u64) {
        if let Some(word) = self.0.get_mut((task / WORD_BITS) as usize) {
            *word |= 1 << (task % WORD_BITS);
        }
    }

    /// Removes a task.
    pub(crate) fn remove(&mut self, task: u64) {
        if let Some(word) = self.0.get_mut((task / WORD_BITS) as usize) {
            *word &= !(1 << (task % WORD_BITS));
        }
    }
}
