//! Validation of JSON against a schema, reporting every error.

use jsonschema::error::{TypeKind, ValidationErrorKind};
use jsonschema::{ValidationError, Validator};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::finding::{Finding, FindingList};

/// Longest quote of an invalid value in a finding, in characters.
const MAX_QUOTE_CHARS: usize = 80;

/// Validates JSON against one definition of a schema.
#[derive(Debug)]
pub struct SchemaCheck {
    validator: Validator,
}

impl SchemaCheck {
    /// Compiles a validator for one definition of a schema.
    ///
    /// # Panics
    /// Panics when the schema is malformed; schemas are embedded in the program.
    #[must_use]
    pub fn new(schema: &str, definition: &str) -> Self {
        let mut schema: Value = serde_json::from_str(schema).expect("embedded schema is JSON");
        let target = json!(format!("#/definitions/{definition}"));
        schema["allOf"] = json!([{ "$ref": target }]);
        let validator = jsonschema::validator_for(&schema).expect("embedded schema is valid");
        Self { validator }
    }

    /// Validates JSON text and parses it into the wire type of the definition.
    ///
    /// # Errors
    /// Returns all findings when the text does not match the schema.
    pub fn parse<T: DeserializeOwned>(&self, text: &[u8]) -> Result<T, FindingList> {
        let value: Value = serde_json::from_slice(text).map_err(|error| syntax_finding(&error))?;
        self.check(&value).into_result(())?;
        serde_json::from_slice(text).map_err(|error| syntax_finding(&error))
    }

    /// Returns all findings for a value.
    #[must_use]
    pub fn check(&self, value: &Value) -> FindingList {
        let mut list = FindingList::default();
        for error in self.validator.iter_errors(value) {
            collect_findings(&error, &mut list);
        }
        list
    }
}

fn syntax_finding(error: &serde_json::Error) -> FindingList {
    let found = error.to_string();
    FindingList {
        findings: vec![Finding::new(
            "json_syntax",
            "",
            found,
            "well-formed JSON of this schema",
        )],
    }
}

/// Adds the findings for one schema error; for a `oneOf`, only those of the alternative whose tag
/// matches.
fn collect_findings(error: &ValidationError<'_>, list: &mut FindingList) {
    if let ValidationErrorKind::OneOfNotValid { context } = error.kind()
        && let Some(branch) = matching_branch(context)
    {
        for inner in branch {
            collect_findings(inner, list);
        }
        return;
    }
    list.push(schema_finding(error));
}

/// Returns the errors of the `oneOf` alternative whose `kind` tag matches.
fn matching_branch<'a>(
    context: &'a [Vec<ValidationError<'static>>],
) -> Option<&'a Vec<ValidationError<'static>>> {
    context.iter().find(|branch| {
        branch
            .iter()
            .all(|error| !error.instance_path().as_str().ends_with("/kind"))
    })
}

fn schema_finding(error: &ValidationError<'_>) -> Finding {
    let place = error.instance_path().as_str().to_owned();
    let found = truncated_quote(error.instance());
    let finding =
        |code, expected: String| Finding::new(code, place.clone(), found.clone(), expected);
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let names = unexpected.join(", ");
            Finding::new(
                "unknown_member",
                place,
                format!("unknown member {names}"),
                "only known members",
            )
        }
        ValidationErrorKind::Required { property } => Finding::new(
            "missing_member",
            place,
            "no such member",
            format!("member {property}"),
        ),
        ValidationErrorKind::Type { kind } => finding("wrong_type", type_text(kind)),
        ValidationErrorKind::Minimum { limit } => finding("too_small", format!("at least {limit}")),
        ValidationErrorKind::Maximum { limit } => finding("too_large", format!("at most {limit}")),
        ValidationErrorKind::Pattern { pattern } => {
            finding("wrong_form", format!("text of the form {pattern}"))
        }
        ValidationErrorKind::Enum { options } => {
            finding("unknown_choice", format!("one of {options}"))
        }
        _ => finding("wrong_value", error.to_string()),
    }
}

fn type_text(kind: &TypeKind) -> String {
    match kind {
        TypeKind::Single(one) => format!("type {one}"),
        TypeKind::Multiple(_) => format!("one of the types {kind:?}"),
    }
}

fn truncated_quote(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_QUOTE_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
