//! Files that describe changes of the configuration, in JSON with comments: a list of changes, or a target
//! configuration.

use std::collections::BTreeMap;
use std::path::Path;

use carawaybarrow_core::config::{Change, Class, Key, Pool, Queue, Team};
use carawaybarrow_core::finding::Findings;
use carawaybarrow_core::ids::Revision;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::settings;

/// Names of the sections of a configuration file, one for each kind of object.
pub const SECTIONS: [&str; 5] = ["classes", "pools", "teams", "queues", "keys"];

/// A change with its location in a file.
#[derive(Clone, Debug)]
pub struct LocatedChange {
    /// The change.
    pub change: Change,
    /// Expected revision of the object's last change; absent if the file has none.
    pub expected: Option<Revision>,
    /// Byte offsets by field, such as `queues.clips.class`; the field `queues.clips` is the change itself.
    places: BTreeMap<String, usize>,
}

impl LocatedChange {
    /// Creates a change without a location, such as the removal of an object that a file leaves out.
    #[must_use]
    pub const fn without_place(change: Change) -> Self {
        Self { change, expected: None, places: BTreeMap::new() }
    }
}

/// A parsed file of changes.
#[derive(Debug)]
pub struct ChangeFile {
    name: String,
    text: String,
    /// Changes in the order of the file.
    pub changes: Vec<LocatedChange>,
    /// Sections that a configuration file contains; empty for a list of changes.
    pub sections: Vec<&'static str>,
}

/// Section and id of the object that a change sets or removes.
#[must_use]
pub fn object_id(change: &Change) -> (&'static str, &str) {
    match change {
        Change::SetClass { id, .. } | Change::RemoveClass { id } => ("classes", id.as_str()),
        Change::SetPool { id, .. } | Change::RemovePool { id } => ("pools", id.as_str()),
        Change::SetTeam { id, .. } | Change::RemoveTeam { id } => ("teams", id.as_str()),
        Change::SetQueue { id, .. } | Change::RemoveQueue { id } => ("queues", id.as_str()),
        Change::GiveKey { id, .. } | Change::WithdrawKey { id } => ("keys", id.as_str()),
    }
}

impl ChangeFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with the file, line and column.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| {
            let mut findings = Findings::new();
            findings.add(name.clone(), e.to_string());
            findings
        })?;
        Self::parse(name, text)
    }

    /// Reads changes from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with `name`, line and column.
    pub fn parse(name: String, text: String) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let parsed = jsonc_parser::parse_to_ast(&text, &Default::default(), &settings::PARSE_OPTIONS);
        let value = match parsed {
            Ok(parsed) => parsed.value,
            Err(e) => {
                findings.add(format!("{name}:{}:{}", e.line_display(), e.column_display()), e.kind().to_string());
                return Err(findings);
            }
        };
        let mut reader = Reader { name: &name, text: &text, findings: &mut findings, changes: Vec::new() };
        let mut sections = Vec::new();
        match &value {
            Some(Value::Array(list)) => list.elements.iter().for_each(|element| reader.read_change(element)),
            Some(Value::Object(object)) => sections = reader.read_sections(object),
            _ => reader.add_finding(0, "expected a list of changes in [], or a configuration in {}"),
        }
        let changes = reader.changes;
        findings.into_result(()).map(|()| Self { name, text, changes, sections })
    }

    /// File, line and column of a field such as `queues.clips.class`, or else of its closest ancestor in the file.
    #[must_use]
    pub fn locate_field(&self, field: &str) -> String {
        let mut prefix = field;
        loop {
            if let Some(offset) = self.changes.iter().find_map(|located| located.places.get(prefix)) {
                return format!("{}:{}", self.name, settings::find_line_column(&self.text, *offset));
            }
            let Some((shorter, _)) = prefix.rsplit_once('.') else { return self.name.clone() };
            prefix = shorter;
        }
    }

    /// Adds the file, line and column to the findings of a configuration check.
    #[must_use]
    pub fn locate(&self, findings: &Findings) -> Findings {
        let mut located = Findings::new();
        for finding in findings.iter() {
            located.add(self.locate_field(&finding.place), format!("{}: {}", finding.place, finding.message));
        }
        located
    }
}

struct Reader<'t, 'f> {
    name: &'t str,
    text: &'t str,
    findings: &'f mut Findings,
    changes: Vec<LocatedChange>,
}

impl<'t> Reader<'t, '_> {
    fn add_finding(&mut self, offset: usize, message: impl Into<String>) {
        let place = format!("{}:{}", self.name, settings::find_line_column(self.text, offset));
        self.findings.add(place, message);
    }

    fn read_sections(&mut self, object: &Object<'t>) -> Vec<&'static str> {
        let mut sections = Vec::new();
        for section in &object.properties {
            let name = section.name.as_str();
            let Some(known) = SECTIONS.into_iter().find(|s| *s == name) else {
                let message = format!("{name}: unknown section; the sections are {}", SECTIONS.join(", "));
                self.add_finding(section.range.start, message);
                continue;
            };
            if sections.contains(&known) {
                self.add_finding(section.range.start, format!("{name}: given twice"));
            }
            sections.push(known);
            let Value::Object(objects) = &section.value else {
                self.add_finding(
                    section.value.range().start,
                    format!("{name}: expected an object with names and values"),
                );
                continue;
            };
            let mut seen = Vec::new();
            for prop in &objects.properties {
                let id = prop.name.as_str();
                if seen.contains(&id) {
                    self.add_finding(prop.range.start, format!("{name}.{id}: given twice"));
                }
                seen.push(id);
                self.read_object(known, id, prop.range.start, &prop.value, None);
            }
        }
        sections
    }

    fn read_change(&mut self, element: &Value<'t>) {
        let Value::Object(object) = element else {
            return self.add_finding(element.range().start, "expected a change in {}");
        };
        let start = object.range.start;
        for prop in &object.properties {
            if !["change", "id", "value", "expected"].contains(&prop.name.as_str()) {
                self.add_finding(prop.range.start, format!("{}: unknown field", prop.name.as_str()));
            }
        }
        let kind = self.read_text(object, "change");
        let id = self.read_text(object, "id");
        let expected = object.get("expected").and_then(|prop| self.read_value(prop.value.range(), "expected"));
        let (Some(kind), Some(id)) = (kind, id) else { return };
        let section = match kind {
            "set_class" => "classes",
            "set_pool" => "pools",
            "set_team" => "teams",
            "set_queue" => "queues",
            "give_key" => "keys",
            "remove_class" | "remove_pool" | "remove_team" | "remove_queue" | "withdraw_key" => {
                return self.read_removal(kind, id, start, expected);
            }
            _ => {
                let message = format!(
                    "{kind:?} is not a change; use set_ or remove_ with class, pool, team or queue, give_key or withdraw_key"
                );
                return self.add_finding(start, message);
            }
        };
        match object.get("value") {
            Some(prop) => self.read_object(section, id, start, &prop.value, expected),
            None => self.add_finding(start, "value: missing"),
        }
    }

    fn read_removal(&mut self, kind: &str, id: &str, start: usize, expected: Option<Revision>) {
        let change = match kind {
            "remove_class" => self.read_id(id, start).map(|id| Change::RemoveClass { id }),
            "remove_pool" => self.read_id(id, start).map(|id| Change::RemovePool { id }),
            "remove_team" => self.read_id(id, start).map(|id| Change::RemoveTeam { id }),
            "remove_queue" => self.read_id(id, start).map(|id| Change::RemoveQueue { id }),
            _ => self.read_id(id, start).map(|id| Change::WithdrawKey { id }),
        };
        if let Some(change) = change {
            self.push_change(change, start, None, expected);
        }
    }

    fn read_object(&mut self, section: &str, id: &str, start: usize, value: &Value<'t>, expected: Option<Revision>) {
        let range = value.range();
        let place = format!("{section}.{id}");
        let change = match section {
            "classes" => {
                self.read_pair::<_, Class>(id, start, range, &place).map(|(id, value)| Change::SetClass { id, value })
            }
            "pools" => {
                self.read_pair::<_, Pool>(id, start, range, &place).map(|(id, value)| Change::SetPool { id, value })
            }
            "teams" => {
                self.read_pair::<_, Team>(id, start, range, &place).map(|(id, value)| Change::SetTeam { id, value })
            }
            "queues" => {
                self.read_pair::<_, Queue>(id, start, range, &place).map(|(id, value)| Change::SetQueue { id, value })
            }
            _ => self.read_pair::<_, Key>(id, start, range, &place).map(|(id, value)| Change::GiveKey { id, value }),
        };
        if let Some(change) = change {
            self.push_change(change, start, value.as_object(), expected);
        }
    }

    fn read_pair<I, T>(&mut self, id: &str, start: usize, range: Range, place: &str) -> Option<(I, T)>
    where
        I: std::str::FromStr<Err: std::fmt::Display>,
        T: DeserializeOwned,
    {
        let id = self.read_id(id, start);
        let value = self.read_value(range, place);
        Some((id?, value?))
    }

    fn read_id<I: std::str::FromStr<Err: std::fmt::Display>>(&mut self, id: &str, start: usize) -> Option<I> {
        id.parse().map_err(|e: I::Err| self.add_finding(start, e.to_string())).ok()
    }

    /// Deserializes a value from its range of the text, so that an error is reported with its line and column.
    fn read_value<T: for<'de> Deserialize<'de>>(&mut self, range: Range, place: &str) -> Option<T> {
        let blank = blank_comments(&self.text[range.start..range.end]);
        match serde_json::from_str(&blank) {
            Ok(value) => Some(value),
            Err(e) => {
                // `serde_json` counts columns in bytes, up to the last byte that it read.
                let line_start =
                    blank.split_inclusive('\n').take(e.line().saturating_sub(1)).map(str::len).sum::<usize>();
                let offset = (line_start + e.column().saturating_sub(1)).min(blank.len());
                let message = e.to_string();
                let message = message.rsplit_once(" at line ").map_or(message.as_str(), |(text, _)| text);
                let start = self.text.floor_char_boundary(range.start + offset);
                self.add_finding(start, format!("{place}: {message}"));
                None
            }
        }
    }

    fn read_text(&mut self, object: &Object<'t>, name: &str) -> Option<&'t str> {
        let Some(prop) = object.get(name) else {
            self.add_finding(object.range.start, format!("{name}: missing"));
            return None;
        };
        let range = prop.value.range();
        let Value::StringLit(_) = &prop.value else {
            self.add_finding(range.start, format!("{name}: expected a text in quotes"));
            return None;
        };
        // Valid ids and kinds contain no escapes, so text with one is refused when it is checked as an id or a kind.
        Some(&self.text[range.start + 1..range.end - 1])
    }

    fn push_change(&mut self, change: Change, start: usize, value: Option<&Object<'t>>, expected: Option<Revision>) {
        let (section, id) = object_id(&change);
        let root = format!("{section}.{id}");
        let mut places = BTreeMap::from([(root.clone(), start)]);
        if let Some(value) = value {
            collect_places(&root, &value.properties, &mut places);
        }
        places.entry(section.to_owned()).or_insert(start);
        self.changes.push(LocatedChange { change, expected, places });
    }
}

fn collect_places(root: &str, properties: &[ObjectProp<'_>], places: &mut BTreeMap<String, usize>) {
    for prop in properties {
        let place = format!("{root}.{}", prop.name.as_str());
        match &prop.value {
            Value::Object(inner) => collect_places(&place, &inner.properties, places),
            Value::Array(list) => {
                for (i, element) in list.elements.iter().enumerate() {
                    places.insert(format!("{place}[{i}]"), element.range().start);
                }
            }
            _ => {}
        }
        places.insert(place, prop.range.start);
    }
}

/// Replaces comments and trailing commas with spaces, so that offsets don't change.
fn blank_comments(text: &str) -> String {
    let mut bytes = text.as_bytes().to_vec();
    let blank = |bytes: &mut [u8]| bytes.iter_mut().filter(|b| **b != b'\n').for_each(|b| *b = b' ');
    let mut last_comma = None;
    let mut at = 0;
    while at < bytes.len() {
        let rest = &text.as_bytes()[at..];
        let length = match rest {
            [b'"', ..] => string_literal_len(rest),
            [b'/', b'/', ..] => rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len()),
            [b'/', b'*', ..] => rest.windows(2).skip(2).position(|w| w == b"*/").map_or(rest.len(), |i| i + 4),
            _ => 1,
        };
        match rest {
            [b'/', b'/' | b'*', ..] => blank(&mut bytes[at..at + length]),
            [b',', ..] => last_comma = Some(at),
            [b'}' | b']', ..] => {
                if let Some(comma) = last_comma.take() {
                    bytes[comma] = b' ';
                }
            }
            [b, ..] if !b.is_ascii_whitespace() => last_comma = None,
            _ => {}
        }
        at += length;
    }
    // Only whole characters were replaced, so the text is still UTF-8.
    String::from_utf8(bytes).unwrap_or_default()
}

/// Length in bytes of the string literal at the start of `rest`, with its quotes.
fn string_literal_len(rest: &[u8]) -> usize {
    let mut escaped = false;
    for (i, b) in rest.iter().enumerate().skip(1) {
        match b {
            _ if escaped => escaped = false,
            b'\\' => escaped = true,
            b'"' => return i + 1,
            _ => {}
        }
    }
    rest.len()
}
