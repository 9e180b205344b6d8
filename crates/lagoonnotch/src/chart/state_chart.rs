//! A table of transitions between states.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// One transition as a chart file lists it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartTransition<S, E> {
    from: S,
    on: E,
    to: S,
}

/// A chart file.
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
    /// At most one target for each state and event.
    targets: BTreeMap<S, BTreeMap<E, S>>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + DeserializeOwned + Ord,
    E: Copy + DeserializeOwned + Ord,
{
    /// Reads a chart.
    ///
    /// # Errors
    /// Fails when the text is no chart over these states and events.
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

    /// Returns the first state.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state after an event, or none if the event has no transition there.
    #[must_use]
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.targets.get(&state)?.get(&event).copied()
    }
}
