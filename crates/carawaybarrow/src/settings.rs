//! Settings of the entry process of the command `serve`, in JSON with comments. Those of the command `node` are in
//! [`carawaybarrow_platform::settings`].

use std::net::SocketAddr;
use std::path::Path;

use carawaybarrow_core::connections::ConnectionLimits;
use carawaybarrow_core::finding::Findings;
use carawaybarrow_core::ids::{DataCentreId, EntryId, OperatorId};
use carawaybarrow_core::keys::KeyHash;
use carawaybarrow_core::units::Millis;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;

/// Bounds and default of the number of job shards.
const JOB_SHARDS: (u64, u64, u64) = (1, 1024, 16);

/// Bounds and default of the largest accepted request body, in bytes.
const BODY_BYTES: (u64, u64, u64) = (1024, 1_000_000, 1_000_000);

/// Bounds and default of the number of connections of callers. The default leaves half of 4,096 descriptors to entries,
/// the store and VMs.
const MAX_CONNECTIONS: (u64, u64, u64) = (32, 1_000_000, 2_048);

/// Bounds and default of the memory for requests of callers, in MB.
const REQUEST_MEMORY_MB: (u64, u64, u64) = (2, 65_536, 64);

/// Bounds and default of the outage limit; the default covers an outage of an hour with a margin.
const OUTAGE_LIMIT: (Millis, Millis, Millis) =
    (Millis::from_secs(10), Millis::from_secs(6 * 3600), Millis::from_secs(75 * 60));

/// Bounds and default of the retention of the answers of ended durable jobs. A shard holds 500 jobs, so a longer
/// retention than the default is seldom reached.
const ANSWER_RETENTION: (Millis, Millis, Millis) = (Millis(0), Millis::from_secs(24 * 3600), Millis::from_secs(600));

/// Bounds and default of the time between failing readiness at a stop and the end of listening.
const DRAIN_DELAY: (Millis, Millis, Millis) = (Millis(0), Millis::from_secs(60), Millis::from_secs(2));

/// Finding for a text that is not an address.
const EXPECTED_ADDRESS: &str = "expected an address such as 10.0.0.1:8081";

/// JSON with comments and trailing commas, without the parser's other extensions.
pub(crate) const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_extended_string_escapes: false,
    allow_non_finite_numbers: false,
};

/// An operator and the hash of the operator's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator, recorded with each change.
    pub name: OperatorId,
    /// SHA-256 of the key.
    pub key_sha256: KeyHash,
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the entry; at most one process runs under a name.
    pub entry: EntryId,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Peer addresses of other entries, from which the configuration is read at the start, in case the store is down.
    pub seeds: Vec<SocketAddr>,
    /// Operators and their keys.
    pub operators: Vec<Operator>,
    /// Number of job shards; the same at all entries.
    pub job_shards: u16,
    /// Largest accepted request body in bytes.
    pub body_bytes: u64,
    /// Maximum number of open connections of callers.
    pub max_connections: u64,
    /// Maximum memory of all requests that are being received or served, in MB.
    pub request_memory_mb: u64,
    /// How long keyed work continues while no entry reaches the store.
    pub outage_limit: Millis,
    /// How long the answer of a durable job is kept after its end; less if its shard is crowded.
    pub answer_retention: Millis,
    /// Time between a failing readiness check and the end of listening.
    pub drain_delay: Millis,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file, each with its line and column.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            let mut findings = Findings::new();
            findings.add(path.display().to_string(), e.to_string());
            findings
        })?;
        Self::parse(&text)
    }

    /// Limits for the connections of callers.
    #[must_use]
    pub fn connection_limits(&self) -> ConnectionLimits {
        let to_usize = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
        ConnectionLimits {
            connections: to_usize(self.max_connections),
            request_bytes: to_usize(self.request_memory_mb << 20),
        }
    }

    /// Reads settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text, each with its line and column.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &PARSE_OPTIONS);
        let value = match parsed {
            Ok(parsed) => parsed.value,
            Err(e) => {
                findings.add(format!("{}:{}", e.line_display(), e.column_display()), e.kind().to_string());
                return Err(findings);
            }
        };
        let Some(Value::Object(root)) = value else {
            findings.add("1:1", "the settings are one object in braces");
            return Err(findings);
        };
        let mut reader = Reader { text, object: &root, findings: &mut findings, known: Vec::new() };
        let settings = read_settings(&mut reader);
        reader.report_unknown();
        match settings {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }
}

fn read_settings(reader: &mut Reader<'_, '_>) -> Option<Settings> {
    // Every field is read before the first missing one ends the function, so that all problems are reported.
    let entry = reader.read_text("entry", true);
    let data_centre = reader.read_text("data_centre", true);
    let callers = reader.read_address("callers");
    let peers = reader.read_address("peers");
    let store = reader.read_address("store");
    let vm_list = reader.read_address("vm_list");
    let seeds = reader.read_list("seeds");
    let operators = read_operators(reader);
    let job_shards = reader.read_number("job_shards", JOB_SHARDS);
    let body_bytes = reader.read_number("body_bytes", BODY_BYTES);
    let max_connections = reader.read_number("max_connections", MAX_CONNECTIONS);
    let request_memory_mb = reader.read_number("request_memory_mb", REQUEST_MEMORY_MB);
    let outage_limit = reader.read_duration("outage_limit", OUTAGE_LIMIT);
    let answer_retention = reader.read_duration("answer_retention", ANSWER_RETENTION);
    let drain_delay = reader.read_duration("drain_delay", DRAIN_DELAY);
    check_addresses(reader, [("callers", callers), ("peers", peers), ("store", store), ("vm_list", vm_list)]);
    Some(Settings {
        entry: entry?,
        data_centre: data_centre?,
        callers: callers?,
        peers: peers?,
        store: store?,
        vm_list: vm_list?,
        seeds,
        operators,
        job_shards: u16::try_from(job_shards?).ok()?,
        body_bytes: body_bytes?,
        max_connections: max_connections?,
        request_memory_mb: request_memory_mb?,
        outage_limit: outage_limit?,
        answer_retention: answer_retention?,
        drain_delay: drain_delay?,
    })
}

/// Checks that other processes can be reached at the addresses, and that no two servers have the same one.
fn check_addresses(reader: &mut Reader<'_, '_>, addresses: [(&'static str, Option<SocketAddr>); 4]) {
    for (i, (name, address)) in addresses.iter().enumerate() {
        let Some(address) = address else { continue };
        let is_own = matches!(*name, "callers" | "peers");
        if !is_own && address.port() == 0 {
            reader.add(name, "port 0 can't be reached");
            continue;
        }
        // Callers connect through the balancer, but peers use the address in the member list.
        if *name != "callers" && address.ip().is_unspecified() {
            let message = if is_own { "other entries can't reach" } else { "nothing can be reached at" };
            reader.add(name, &format!("{message} {}; use the address of the VM", address.ip()));
        }
        let is_same = |other: &&(&str, Option<SocketAddr>)| other.1 == Some(*address) && address.port() != 0;
        if let Some((other, _)) = addresses[..i].iter().find(is_same) {
            reader.add(name, &format!("{other} and {name} need different addresses"));
        }
    }
}

fn read_operators(reader: &mut Reader<'_, '_>) -> Vec<Operator> {
    let no_operators = "at least one operator is needed, or nobody can change the configuration";
    let Some(prop) = reader.find("operators") else {
        reader.add("operators", no_operators);
        return Vec::new();
    };
    let Value::Array(array) = &prop.value else {
        reader.add_at(prop.value.range().start, "operators: expected a list of objects");
        return Vec::new();
    };
    if array.elements.is_empty() {
        reader.add("operators", no_operators);
    }
    let mut operators: Vec<Operator> = Vec::new();
    for element in &array.elements {
        let Value::Object(object) = element else {
            reader.add_at(element.range().start, "operators: expected an object with name and key_sha256");
            continue;
        };
        let mut inner = Reader { text: reader.text, object, findings: &mut *reader.findings, known: Vec::new() };
        let name = inner.read_text("name", true);
        let key_sha256 = inner.read_hash("key_sha256");
        inner.report_unknown();
        if let (Some(name), Some(key_sha256)) = (name, key_sha256) {
            let start = object.range.start;
            if operators.iter().any(|o| o.name == name) {
                reader.add_at(start, &format!("operators: {name} is listed twice"));
            } else if let Some(other) = operators.iter().find(|o| o.key_sha256 == key_sha256) {
                // With one key for two names, change records could not attribute a change to one operator.
                reader.add_at(start, &format!("operators: {} has the same key", other.name));
            }
            operators.push(Operator { name, key_sha256 });
        }
    }
    operators
}

/// Reads the fields of one object, and collects findings.
struct Reader<'a, 'f> {
    text: &'a str,
    object: &'a Object<'a>,
    findings: &'f mut Findings,
    known: Vec<&'static str>,
}

impl<'a> Reader<'a, '_> {
    fn find(&mut self, name: &'static str) -> Option<&'a ObjectProp<'a>> {
        self.known.push(name);
        self.object.get(name)
    }

    /// Adds a problem at a field, or at the start of the object if the field is missing.
    fn add(&mut self, name: &'static str, message: &str) {
        let start = self.object.get(name).map_or(self.object.range.start, |p| p.range.start);
        self.add_at(start, &format!("{name}: {message}"));
    }

    fn add_at(&mut self, offset: usize, message: &str) {
        self.findings.add(find_line_column(self.text, offset), message);
    }

    fn read_text<T>(&mut self, name: &'static str, required: bool) -> Option<T>
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        let Some(prop) = self.find(name) else {
            if required {
                self.add(name, "missing");
            }
            return None;
        };
        let Value::StringLit(text) = &prop.value else {
            self.add(name, "expected a text in quotes");
            return None;
        };
        match text.value.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.add(name, &e.to_string());
                None
            }
        }
    }

    fn read_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let text = self.read_text::<String>(name, true)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.add(name, EXPECTED_ADDRESS);
        }
        address
    }

    fn read_hash(&mut self, name: &'static str) -> Option<KeyHash> {
        let text = self.read_text::<String>(name, true)?;
        match KeyHash::try_from(smol_str::SmolStr::new(text)) {
            Ok(hash) => Some(hash),
            Err(e) => {
                self.add(name, &e.to_string());
                None
            }
        }
    }

    fn read_list(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let Some(prop) = self.find(name) else { return Vec::new() };
        let Value::Array(array) = &prop.value else {
            self.add(name, "expected a list of addresses");
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for element in &array.elements {
            let parsed: Option<SocketAddr> = element.as_string_lit().and_then(|text| text.value.parse().ok());
            let message = match parsed {
                Some(address) if address.port() == 0 => "port 0 can't be reached",
                Some(address) => {
                    addresses.push(address);
                    continue;
                }
                None => EXPECTED_ADDRESS,
            };
            self.add_at(element.range().start, &format!("{name}: {message}"));
        }
        addresses
    }

    fn read_number(&mut self, name: &'static str, (min, max, default): (u64, u64, u64)) -> Option<u64> {
        let Some(prop) = self.find(name) else { return Some(default) };
        let number = prop.value.as_number_lit().and_then(|n| n.value.parse().ok());
        let in_range = number.filter(|n| (min..=max).contains(n));
        if in_range.is_none() {
            self.add(name, &format!("expected a whole number from {min} to {max}"));
        }
        in_range
    }

    fn read_duration(&mut self, name: &'static str, (min, max, default): (Millis, Millis, Millis)) -> Option<Millis> {
        if self.object.get(name).is_none() {
            self.known.push(name);
            return Some(default);
        }
        let value = self.read_text::<Millis>(name, false)?;
        if !(min..=max).contains(&value) {
            self.add(name, &format!("expected a duration from {min} to {max}"));
            return None;
        }
        Some(value)
    }

    fn report_unknown(&mut self) {
        let mut seen = Vec::new();
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            if !self.known.contains(&name) {
                self.add_at(prop.range.start, &format!("{name}: unknown field"));
            } else if seen.contains(&name) {
                self.add_at(prop.range.start, &format!("{name}: given twice"));
            }
            seen.push(name);
        }
    }
}

/// Line and column, counted from 1, of a byte offset.
#[must_use]
pub fn find_line_column(text: &str, offset: usize) -> String {
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    format!("{line}:{column}")
}
