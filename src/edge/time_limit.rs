//! Time limits on what arrives from others.

use std::pin::pin;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::error::Elapsed;

/// Number of turns of the event loop after which what had arrived by the end of a time limit has
/// reached the task that waits for it.
const EVENT_LOOP_TURNS: usize = 4;

/// Waits for `future` within `limit`, and takes what has arrived by then into account.
///
/// After a suspension of the process, timers end before the event loop looks for what has arrived
/// meanwhile: the wait for events is interrupted. The loop gets the time to do so here.
pub async fn timeout_unless_arrived<F: Future>(
    limit: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let elapsed = match tokio::time::timeout(limit, future.as_mut()).await {
        Ok(output) => return Ok(output),
        Err(elapsed) => elapsed,
    };
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = turn_event_loop() => Err(elapsed),
    }
}

async fn turn_event_loop() {
    for _ in 0..EVENT_LOOP_TURNS {
        yield_now().await;
    }
}
