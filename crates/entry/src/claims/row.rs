//! Rows of the table of claims.

use cranberryhatch_core::{Answer, Outcome};
use cranberryhatch_types::{Holder, JobKey, Span};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::tokens::hex;

/// A claim and, once the job ended, its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Holder, as `instance/incarnation`.
    pub holder: String,
    /// SHA-256 of the submission's body, in hexadecimal.
    pub digest: String,
    /// Unix time of the deadline, in milliseconds.
    pub deadline: u64,
    /// The job, when it is small.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// Name of the object that holds the job among others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    /// Offset of the job in the object, in bytes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub offset: usize,
    /// Length of the job in the object, in bytes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub length: usize,
    /// How the job ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<EndRow>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRow {
    /// Name of the outcome.
    pub outcome: String,
    /// Name of the reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<String>,
    /// Text for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Results of a complete job, when they are small.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub results: Option<Vec<String>>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_zero(number: &usize) -> bool {
    *number == 0
}

impl ClaimRow {
    /// Reads a row's value.
    #[must_use]
    pub fn read(value: &Value) -> Option<Self> {
        Self::deserialize(value).ok()
    }

    /// The holder.
    #[must_use]
    pub fn holder(&self) -> Option<Holder> {
        self.holder.parse().ok()
    }

    /// The digest in bytes.
    #[must_use]
    pub fn digest_bytes(&self) -> Option<[u8; 32]> {
        let mut digest = [0; 32];
        if self.digest.len() != 64 || !self.digest.is_ascii() {
            return None;
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&self.digest[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(digest)
    }

    /// An open claim without a body.
    #[must_use]
    pub fn open(holder: &Holder, digest: &[u8; 32], deadline: u64) -> Self {
        Self {
            holder: holder.to_string(),
            digest: hex(digest),
            deadline,
            body: None,
            object: None,
            offset: 0,
            length: 0,
            end: None,
        }
    }
}

impl EndRow {
    /// The end as recorded; results larger than `limit` bytes in all are left out.
    #[must_use]
    pub fn new(answer: &Answer, limit: u64) -> Self {
        let size: usize = answer.results.iter().map(bytes::Bytes::len).sum();
        let small = answer.outcome == Outcome::Complete && size as u64 <= limit;
        let text = |result: &bytes::Bytes| String::from_utf8_lossy(result).into_owned();
        Self {
            outcome: answer.outcome.to_string(),
            code: answer.code.map(|code| code.to_string()),
            detail: answer.detail.clone(),
            results: small.then(|| answer.results.iter().map(text).collect()),
        }
    }

    /// The answer; none for a complete job whose results were too large to be recorded.
    #[must_use]
    pub fn answer(&self, key: &JobKey) -> Option<Answer> {
        let outcome: Outcome = self.outcome.parse().ok()?;
        let mut answer = Answer::new(key.clone(), outcome).detail(self.detail.clone());
        answer.code = self.code.as_ref().and_then(|code| code.parse().ok());
        if outcome == Outcome::NotRun {
            answer.retry_after = Some(Span::from_secs(1));
        }
        if outcome == Outcome::Complete {
            let results = self.results.as_ref()?;
            answer.results = results.iter().map(|text| text.clone().into_bytes().into()).collect();
        }
        Some(answer)
    }
}
