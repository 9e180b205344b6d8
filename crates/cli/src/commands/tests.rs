//! Guards against a subcommand that is missing from the overview, and against accidental changes
//! of its text.

use super::overview;

#[test]
fn overview_names_every_command() {
    insta::assert_snapshot!(overview());
}
