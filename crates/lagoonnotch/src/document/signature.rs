//! Hexadecimal encoding, and Ed25519 signatures of documents.

use std::fmt::Write;

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use lagoonnotch_wire::document::SignedDocument;

use crate::finding::Finding;

/// Encodes bytes as lowercase hexadecimal.
#[must_use]
pub fn encode_hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// Decodes exactly `N` bytes from hexadecimal.
#[must_use]
pub fn decode_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

/// Parses a hexadecimal Ed25519 public key.
#[must_use]
pub fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    VerifyingKey::from_bytes(&decode_hex::<32>(text)?).ok()
}

/// Signs the text of a document byte for byte.
#[must_use]
pub fn sign_document(text: &str, key: &SigningKey) -> SignedDocument {
    SignedDocument {
        text: text.to_owned(),
        approver: encode_hex(key.verifying_key().as_bytes()),
        signature: encode_hex(&key.sign(text.as_bytes()).to_bytes()),
    }
}

/// Verifies that one of the approvers signed the text of a document.
///
/// # Errors
/// Returns a finding when the approver is unknown or the signature does not match.
pub fn verify_document(signed: &SignedDocument, approvers: &[VerifyingKey]) -> Result<(), Finding> {
    let approver = parse_public_key(&signed.approver).filter(|key| approvers.contains(key));
    let Some(approver) = approver else {
        return Err(Finding::new(
            "unknown_approver",
            "/approver",
            &signed.approver,
            "the key of an approver",
        ));
    };
    let signature = decode_hex::<64>(&signed.signature).map(|bytes| Signature::from_bytes(&bytes));
    let valid = signature
        .is_some_and(|signature| approver.verify(signed.text.as_bytes(), &signature).is_ok());
    if valid {
        Ok(())
    } else {
        Err(Finding::new(
            "wrong_signature",
            "/signature",
            &signed.signature,
            "a signature over the text",
        ))
    }
}
