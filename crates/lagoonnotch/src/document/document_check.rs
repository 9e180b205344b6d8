//! Parsing and validation of document texts.

use std::collections::BTreeSet;
use std::sync::OnceLock;

use lagoonnotch_wire::DOCUMENT_SCHEMA;
use lagoonnotch_wire::document::{ApprovedDocument, SectionChange, SectionValue};

use crate::finding::{Finding, FindingList, SchemaCheck};

/// Parses a document and validates everything that does not depend on other documents.
///
/// # Errors
/// Returns all findings, each with its JSON pointer.
pub fn parse_document(text: &str) -> Result<ApprovedDocument, FindingList> {
    static CHECK: OnceLock<SchemaCheck> = OnceLock::new();
    let check = CHECK.get_or_init(|| SchemaCheck::new(DOCUMENT_SCHEMA, "ApprovedDocument"));
    let document: ApprovedDocument = check.parse(text.as_bytes())?;
    let mut list = FindingList::default();
    check_sections(&document, &mut list);
    list.into_result(document)
}

fn check_sections(document: &ApprovedDocument, list: &mut FindingList) {
    let mut seen = BTreeSet::new();
    for (index, change) in document.changes.iter().enumerate() {
        if !seen.insert(change.section.as_str()) {
            let place = format!("/changes/{index}/section");
            list.push(Finding::new(
                "section_twice",
                place,
                &*change.section,
                "each section once",
            ));
        }
        check_kind(index, change, list);
    }
}

fn check_kind(index: usize, change: &SectionChange, list: &mut FindingList) {
    let named = change.section.split('/').next().unwrap_or_default();
    let Some(value) = &change.value else {
        return;
    };
    let found = section_kind(value);
    if found != named {
        let place = format!("/changes/{index}/value/kind");
        list.push(Finding::new(
            "wrong_kind",
            place,
            found,
            format!("{named}, as the section's name says"),
        ));
    }
}

/// Returns the kind of a section as spelled in section names.
fn section_kind(value: &SectionValue) -> &'static str {
    match value {
        SectionValue::Team { .. } => "team",
        SectionValue::Key { .. } => "key",
        SectionValue::Queue { .. } => "queue",
        SectionValue::FailureDomain { .. } => "failure-domain",
        SectionValue::Workload { .. } => "workload",
    }
}
