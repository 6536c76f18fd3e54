//! The slots of an instance: how many statements run at once.

use std::sync::{Condvar, Mutex};

#[derive(Debug)]
pub struct Slots {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Slots {
    pub fn new(count: usize) -> Self {
        Self { free: Mutex::new(count), freed: Condvar::new() }
    }

    /// Runs `work` in a slot, after waiting for one.
    pub fn run<T>(&self, operation: impl FnOnce() -> T) -> T {
        let mut free = self.freed.wait_while(self.free.lock().unwrap(), |free| *free == 0).unwrap();
        *free -= 1;
        drop(free);
        let result = operation();
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
        result
    }
}
