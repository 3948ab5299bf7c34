//! Steady time that also counts suspensions of the machine.

use crate::clock::Moment;

/// The present moment, since the machine started.
///
/// `CLOCK_BOOTTIME` never jumps and goes on while the machine is suspended, so
/// a lease or a time limit has run out after a thaw as it should.
pub fn now() -> Moment {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is a valid timespec to write to.
    let code = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    assert_eq!(code, 0, "the machine has no CLOCK_BOOTTIME");
    Moment::new(time.tv_sec as u64, time.tv_nsec as u32)
}
