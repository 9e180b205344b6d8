//! Help texts.

use super::overview;

#[test]
fn overview_names_every_command() {
    insta::assert_snapshot!(overview());
}
