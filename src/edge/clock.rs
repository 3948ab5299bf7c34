//! Monotonic time that includes suspensions of the machine.

use crate::clock::Moment;

/// Returns the time since the machine started.
///
/// `CLOCK_BOOTTIME` never jumps and runs on while the machine is suspended, so leases
/// and time limits expire during a suspension too.
pub fn now() -> Moment {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is a valid timespec to write to.
    let code = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    assert_eq!(code, 0, "cannot read CLOCK_BOOTTIME");
    Moment::new(time.tv_sec as u64, time.tv_nsec as u32)
}
