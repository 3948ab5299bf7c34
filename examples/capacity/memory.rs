//! Counts the live bytes of the heap.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

static LIVE: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

struct CountingAllocator;

// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let live = LIVE.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK.fetch_max(live, Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the heap bytes that the value holds.
pub fn live_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = LIVE.load(Relaxed);
    let value = make();
    let after = LIVE.load(Relaxed);
    drop(value);
    after.saturating_sub(before) as f64
}

/// Returns the peak of the heap bytes while `work` runs, beyond those held before.
pub fn peak_bytes<T>(work: impl FnOnce() -> T) -> f64 {
    let before = LIVE.load(Relaxed);
    PEAK.store(before, Relaxed);
    let value = work();
    let peak = PEAK.load(Relaxed);
    drop(value);
    peak.saturating_sub(before) as f64
}
