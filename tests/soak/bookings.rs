//! Checks of requests that may run once only, over all their tries.

use crate::callers::PROMISES;
use crate::record::{History, Outcome};

/// Returns the requests of which more than one try ran.
pub fn run_by_several_tries(history: &History) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for (booking, tries) in once_only(history) {
        let ran: Vec<_> = tries.iter().filter(|t| history.runs(t) > 0).collect();
        if ran.len() > 1 {
            found.push((booking.clone(), format!("the tries {ran:?} ran")));
        }
    }
    found
}

/// Returns the requests of which an earlier try ran, and the last one was refused with a promise.
pub fn refused_after_run(history: &History) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for (booking, tries) in once_only(history) {
        let Some((last, earlier)) = tries.split_last() else {
            continue;
        };
        let Some(Outcome::Answered(answer)) = history.attempts.get(last).map(|a| &a.outcome) else {
            continue;
        };
        if !PROMISES.contains(&answer.status) {
            continue;
        }
        if let Some(ran) = earlier.iter().find(|t| history.runs(t) > 0) {
            let text = format!("{last} was answered {}, {ran} ran", answer.status);
            found.push((booking.clone(), text));
        }
    }
    found
}

/// Returns the number of requests that may run once only, and of their tries.
pub fn summary(history: &History) -> String {
    let sent_again = once_only(history).filter(|(_, tries)| tries.len() > 1);
    let tries: Vec<_> = sent_again.map(|(_, tries)| tries.len() - 1).collect();
    format!(
        "{} requests that may run once only; {} sent again, {} times",
        once_only(history).count(),
        tries.len(),
        tries.iter().sum::<usize>()
    )
}

/// Returns the requests that may run once only, by their first try, with all their tries.
fn once_only(history: &History) -> impl Iterator<Item = (&String, &Vec<String>)> {
    history.tries.iter().filter(|(first, _)| {
        let attempt = history.attempts.get(*first);
        attempt.is_some_and(|a| a.kind.runs_once())
    })
}
