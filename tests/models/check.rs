//! Breadth-first model checker: searches the states of a model for one that
//! breaks an invariant.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A state machine with invariants.
pub trait Model {
    /// Global state of the model.
    type State: Clone + Eq + Hash + Debug;

    /// Returns the initial state.
    fn start(&self) -> Self::State;

    /// Returns the successors of a state, each with the name of its step.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Returns the invariant that the state breaks, if any.
    fn broken_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// Maximum number of states of one search; a larger model needs tighter bounds.
const MAX_STATES: usize = 400_000;

/// Names of the steps on a shortest path to a state.
pub type Trace = Vec<String>;

/// Returns a shortest path to a state that `found` accepts, and the number of
/// states visited.
pub fn search<M: Model>(model: &M, found: impl Fn(&M::State) -> bool) -> (Option<Trace>, usize) {
    let states = Cell::new(0);
    let next = |state: &M::State| {
        states.set(states.get() + 1);
        assert!(
            states.get() <= MAX_STATES,
            "the model has more than {MAX_STATES} states within its bounds"
        );
        model.steps(state).into_iter().map(|(_, s)| s)
    };
    let path = bfs(&model.start(), next, |state| found(state));
    (path.map(|p| step_names(model, &p)), states.get())
}

fn step_names<M: Model>(model: &M, path: &[M::State]) -> Trace {
    let mut trace = Trace::new();
    for pair in path.windows(2) {
        let steps = model.steps(&pair[0]);
        let step = steps.into_iter().find(|(_, s)| *s == pair[1]);
        trace.push(step.expect("the path consists of steps").0);
    }
    trace
}

/// Visits every state and panics with a shortest trace to a broken invariant.
pub fn assert_holds<M: Model>(name: &str, model: &M) {
    let (trace, states) = search(model, |s| model.broken_invariant(s).is_some());
    if let Some(trace) = trace {
        panic!("{name} breaks an invariant after {}", trace.join(", "));
    }
    println!("{name}: {states} states, no invariant broken");
}

/// Panics unless some state breaks the invariant `expected`.
pub fn assert_caught<M: Model>(name: &str, model: &M, expected: &str) {
    let (trace, states) = search(model, |s| model.broken_invariant(s) == Some(expected));
    let Some(trace) = trace else {
        panic!("{name}: no state of {states} breaks the invariant {expected}");
    };
    println!(
        "{name}: {expected} after {states} states: {}",
        trace.join(", ")
    );
}

/// Panics unless a state that `goal` accepts can be reached.
pub fn assert_reaches<M: Model>(name: &str, model: &M, goal: impl Fn(&M::State) -> bool) {
    let (trace, states) = search(model, goal);
    let trace = trace.unwrap_or_else(|| panic!("{name} was not reached in {states} states"));
    println!(
        "{name}: reached after {states} states: {}",
        trace.join(", ")
    );
}
