//! Breadth-first search of a model's states for one that breaks an invariant.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A state machine with invariants.
pub trait Model {
    /// State of everything.
    type State: Clone + Eq + Hash + Debug;

    /// Where it begins.
    fn start(&self) -> Self::State;

    /// Every step that can come next, with its name.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// The invariant that the state breaks.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// Most states of one search; a model with more needs closer bounds.
const STATES_MAX: usize = 400_000;

/// The names of the steps of a shortest way to a state.
pub type Trace = Vec<String>;

/// The shortest way to a state that `found` accepts, and how many states were
/// visited.
pub fn search<M: Model>(model: &M, found: impl Fn(&M::State) -> bool) -> (Option<Trace>, usize) {
    let states = Cell::new(0);
    let next = |state: &M::State| {
        states.set(states.get() + 1);
        assert!(
            states.get() <= STATES_MAX,
            "the bounds leave too many states"
        );
        model.steps(state).into_iter().map(|(_, s)| s)
    };
    let path = bfs(&model.start(), next, |state| found(state));
    (path.map(|p| names(model, &p)), states.get())
}

fn names<M: Model>(model: &M, path: &[M::State]) -> Trace {
    let mut trace = Trace::new();
    for pair in path.windows(2) {
        let steps = model.steps(&pair[0]);
        let step = steps.into_iter().find(|(_, s)| *s == pair[1]);
        trace.push(step.expect("the path consists of steps").0);
    }
    trace
}

/// Visits every state and fails with the shortest trace to a broken invariant.
pub fn holds<M: Model>(name: &str, model: &M) {
    let (trace, states) = search(model, |s| model.broken(s).is_some());
    if let Some(trace) = trace {
        panic!("{name} breaks after {}", trace.join(", "));
    }
    println!("{name}: {states} states, no invariant broken");
}

/// Fails unless some state breaks the invariant `expected`.
pub fn caught<M: Model>(name: &str, model: &M, expected: &str) {
    let (trace, states) = search(model, |s| model.broken(s) == Some(expected));
    let Some(trace) = trace else {
        panic!("{name}: {states} states and nothing caught");
    };
    println!(
        "{name}: {expected} after {states} states: {}",
        trace.join(", ")
    );
}

/// Fails unless a state that `goal` accepts can be reached.
pub fn reaches<M: Model>(name: &str, model: &M, goal: impl Fn(&M::State) -> bool) {
    let (trace, states) = search(model, goal);
    let trace = trace.unwrap_or_else(|| panic!("{name} is not reached in {states} states"));
    println!(
        "{name}: reached after {states} states: {}",
        trace.join(", ")
    );
}
