//! A small JSON reader and writer, so that the stand-ins need no dependency.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Obj(rows) => rows.iter().find(|(k, _)| k == key).map_or(NULL, |(_, v)| v),
            _ => NULL,
        }
    }
    pub fn num(&self) -> u64 {
        if let Json::Num(n) = self { n.max(0.0) as u64 } else { 0 }
    }
    pub fn text(&self) -> &str {
        if let Json::Str(s) = self { s } else { "" }
    }
    pub fn rows(&self) -> &[Json] {
        if let Json::Arr(a) = self { a } else { &[] }
    }
    pub fn is_null(&self) -> bool {
        *self == Json::Null
    }
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut p = Parser { s: text, at: 0 };
        let value = p.value()?;
        p.space();
        (p.at == p.s.len()).then_some(value)
    }
    pub fn write(&self) -> String {
        let mut out = String::new();
        self.put(&mut out);
        out
    }
    fn put(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            Json::Num(n) if n.fract() == 0.0 && n.abs() < 9e15 => write!(out, "{}", *n as i64).unwrap(),
            Json::Num(n) => write!(out, "{n}").unwrap(),
            Json::Str(s) => quote(s, out),
            Json::Arr(a) => {
                out.push('[');
                for (i, v) in a.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    v.put(out);
                }
                out.push(']');
            }
            Json::Obj(rows) => {
                out.push('{');
                for (i, (k, v)) in rows.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    quote(k, out);
                    out.push(':');
                    v.put(out);
                }
                out.push('}');
            }
        }
    }
}

fn quote(s: &str, out: &mut String) {
    out.push('"');
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 32 => write!(out, "\\u{:04x}", c as u32).unwrap(),
            c => out.push(c),
        }
    }
    out.push('"');
}

/// Builds an object.
pub fn obj(rows: &[(&str, Json)]) -> Json {
    Json::Obj(rows.iter().map(|(k, v)| ((*k).to_owned(), v.clone())).collect())
}
pub fn n(v: u64) -> Json {
    Json::Num(v as f64)
}
pub fn s(v: &str) -> Json {
    Json::Str(v.to_owned())
}

struct Parser<'a> {
    s: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.s.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }
    fn eat(&mut self, c: u8) -> bool {
        self.space();
        let is = self.s.get(self.at) == Some(&c);
        self.at += usize::from(is);
        is
    }
    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.s[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.s.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                if self.eat(b']') {
                    return Some(Json::Arr(rows));
                }
                loop {
                    rows.push(self.value()?);
                    if self.eat(b']') {
                        return Some(Json::Arr(rows));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                if self.eat(b'}') {
                    return Some(Json::Obj(rows));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    rows.push((key, self.value()?));
                    if self.eat(b'}') {
                        return Some(Json::Obj(rows));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            _ => {
                let from = self.at;
                while self.s.get(self.at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.s[from..self.at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        if self.s.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let c = *self.s.get(self.at)?;
            self.at += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let c = *self.s.get(self.at)?;
                    self.at += 1;
                    match c {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.s.get(self.at..self.at + 4)?).ok()?;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            self.at += 4;
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        c => out.push(c),
                    }
                }
                c => out.push(c),
            }
        }
    }
}
