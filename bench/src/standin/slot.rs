//! The slots of an instance, which limit how many statements run at once.

use std::sync::{Condvar, Mutex};

/// A semaphore over the slots.
#[derive(Debug)]
pub struct Slots {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Slots {
    pub fn new(count: usize) -> Self {
        Self { free: Mutex::new(count), freed: Condvar::new() }
    }

    /// Waits for a free slot and runs `operation` in it.
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
