//! Counts the live bytes of the heap.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);

struct CountingAllocator;

// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let live = LIVE_BYTES.fetch_add(layout.size(), Relaxed) + layout.size();
        PEAK_BYTES.fetch_max(live, Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the heap bytes that the value returned by `make` holds.
pub fn live_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = LIVE_BYTES.load(Relaxed);
    let value = make();
    let after = LIVE_BYTES.load(Relaxed);
    drop(value);
    after.saturating_sub(before) as f64
}

/// Returns the peak of the heap bytes while `work` runs, beyond those held before.
pub fn peak_bytes<T>(work: impl FnOnce() -> T) -> f64 {
    let before = LIVE_BYTES.load(Relaxed);
    PEAK_BYTES.store(before, Relaxed);
    let value = work();
    let peak = PEAK_BYTES.load(Relaxed);
    drop(value);
    peak.saturating_sub(before) as f64
}
