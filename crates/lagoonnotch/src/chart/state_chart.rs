//! A table of transitions between states.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// One transition in a chart file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartTransition<S, E> {
    from: S,
    on: E,
    to: S,
}

/// Contents of a chart file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile<S, E> {
    initial: S,
    transitions: Vec<ChartTransition<S, E>>,
}

/// A state chart over typed states and events.
#[derive(Clone, Debug)]
pub struct StateChart<S, E> {
    initial: S,
    /// Target states by state and event.
    targets: BTreeMap<S, BTreeMap<E, S>>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + DeserializeOwned + Ord,
    E: Copy + DeserializeOwned + Ord,
{
    /// Parses a chart file.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid chart over these states and events.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let file: ChartFile<S, E> = serde_json::from_str(text)?;
        let mut targets: BTreeMap<S, BTreeMap<E, S>> = BTreeMap::new();
        for transition in file.transitions {
            targets
                .entry(transition.from)
                .or_default()
                .insert(transition.on, transition.to);
        }
        Ok(Self {
            initial: file.initial,
            targets,
        })
    }

    /// Returns the initial state.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state that an event leads to, or none if the event has no transition from the
    /// given state.
    #[must_use]
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.targets.get(&state)?.get(&event).copied()
    }
}
