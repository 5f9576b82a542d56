//! HTTP/1.1 requests as a server reads them from clients that are not trusted: within limits of size, and with memory that
//! a budget grants.

use async_std::io::{Read, ReadExt, Write, WriteExt};
use http_types::headers::{CONNECTION, EXPECT};
use http_types::{Method, Url, Version};
use snafu::Snafu;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 128;

/// Smallest buffer for received bytes. Most requests fit into it.
const MIN_BUFFER_BYTES: usize = 2 * 1024;

/// Largest buffer for received bytes of a body, which are moved to the body as they arrive.
const MAX_BODY_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum length of the line with the size of a chunk, including its extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// End of a line, and of the lines of a head.
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a request can't be read.
#[derive(Debug, Snafu)]
pub(crate) enum RequestError {
    /// The client has closed the connection, or its path is lost.
    #[snafu(display("the connection failed: {source}"), context(false))]
    Io { source: std::io::Error },
    /// The connection ended within a request.
    #[snafu(display("the connection ended before the request was complete"))]
    Ended,
    /// The request is not valid HTTP/1.1.
    #[snafu(display("the request is not valid HTTP/1.1"))]
    Malformed,
    /// The head, or the empty lines before it, is longer than the limit.
    #[snafu(display("the head of the request is too long"))]
    LongHead,
    /// The body is longer than the limit.
    #[snafu(display("the body of the request is too long"))]
    LongBody,
    /// The budget grants no more memory.
    #[snafu(display("there is no memory for the request"))]
    NoMemory,
}

/// Grants memory for the request of a connection.
pub(crate) trait Memory {
    /// Returns whether so many further bytes may be used.
    fn reserve(&self, bytes: usize) -> bool;
}

/// How the end of a body shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
}

/// Head of a request.
#[derive(Debug)]
pub(crate) struct Head {
    /// Request without its body.
    pub(crate) req: http_types::Request,
    /// Whether the client wants the connection to be closed after the response.
    pub(crate) closes: bool,
    framing: Framing,
    expects_continue: bool,
}

/// Reads the requests of a connection.
pub(crate) struct RequestReader<'a, S, M> {
    stream: S,
    memory: &'a M,
    /// Bytes that were received.
    buf: Vec<u8>,
    /// Number of bytes of `buf` that were used.
    used: usize,
}

impl<'a, S: Read + Write + Unpin, M: Memory> RequestReader<'a, S, M> {
    pub(crate) const fn new(stream: S, memory: &'a M) -> Self {
        Self { stream, memory, buf: Vec::new(), used: 0 }
    }

    /// Whether bytes of the next request have arrived.
    pub(crate) const fn has_more(&self) -> bool {
        self.used < self.buf.len()
    }

    /// Ends a request, and frees the buffer unless it holds bytes of the next one.
    pub(crate) fn finish_request(&mut self) {
        if self.has_more() {
            self.buf.drain(..self.used);
        } else {
            self.buf = Vec::new();
        }
        self.used = 0;
    }

    /// Reserves the memory of bytes that arrived with the request before.
    pub(crate) fn begin_request(&self) -> Result<(), RequestError> {
        self.reserve(self.buf.capacity())
    }

    fn reserve(&self, bytes: usize) -> Result<(), RequestError> {
        if self.memory.reserve(bytes) { Ok(()) } else { NoMemorySnafu.fail() }
    }

    fn unused(&self) -> &[u8] {
        &self.buf[self.used..]
    }

    /// Receives more bytes, at most as many as fit into a buffer of `limit` bytes.
    async fn fill(&mut self, limit: usize) -> Result<(), RequestError> {
        if self.used > 0 {
            self.buf.drain(..self.used);
            self.used = 0;
        }
        let len = self.buf.len();
        if len == self.buf.capacity() {
            let capacity = (len * 2).min(limit).max(MIN_BUFFER_BYTES).max(len + 1);
            self.reserve(capacity - len)?;
            self.buf.reserve_exact(capacity - len);
        }
        let capacity = self.buf.capacity();
        self.buf.resize(capacity, 0);
        let read = self.stream.read(&mut self.buf[len..]).await;
        self.buf.truncate(len + read.as_ref().copied().unwrap_or(0));
        if read? == 0 { EndedSnafu.fail() } else { Ok(()) }
    }

    /// Reads the head of a request. Empty lines before it are skipped and count towards the limit.
    pub(crate) async fn read_head(&mut self, limit: usize) -> Result<Head, RequestError> {
        let mut skipped = 0;
        let mut searched = 0;
        loop {
            while self.unused().starts_with(LINE_END) {
                self.used += LINE_END.len();
                skipped += LINE_END.len();
                searched = 0;
            }
            // The end may have begun at the end of the bytes that were searched before.
            let from = usize::saturating_sub(searched, HEAD_END.len() - 1);
            let unused = self.unused();
            let end = unused[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
            let len = end.map_or(unused.len(), |at| from + at + HEAD_END.len());
            if skipped + len > limit {
                return LongHeadSnafu.fail();
            }
            if end.is_some() {
                let head = parse_head(&unused[..len]);
                self.used += len;
                return head;
            }
            searched = unused.len();
            self.fill(limit).await?;
        }
    }

    /// Reads the body of a request, which has at most `limit` bytes.
    pub(crate) async fn read_body(
        &mut self,
        head: &Head,
        limit: usize,
        trailer_limit: usize,
    ) -> Result<Vec<u8>, RequestError> {
        if matches!(head.framing, Framing::Length(len) if len > limit) {
            return LongBodySnafu.fail();
        }
        if head.expects_continue {
            self.stream.write_all(CONTINUE).await?;
        }
        let mut body = Vec::new();
        match head.framing {
            Framing::Length(len) => self.read_bytes(&mut body, len, limit).await?,
            Framing::Chunked => {
                loop {
                    let size = self.read_chunk_size().await?;
                    if size > limit - body.len() {
                        return LongBodySnafu.fail();
                    }
                    if size == 0 {
                        break;
                    }
                    self.read_bytes(&mut body, size, limit).await?;
                    if !self.read_line_end().await? {
                        return MalformedSnafu.fail();
                    }
                }
                self.skip_trailer(trailer_limit).await?;
            }
        }
        Ok(body)
    }

    /// Appends the next `count` bytes to a body of at most `limit` bytes, whose memory grows as they arrive.
    async fn read_bytes(&mut self, body: &mut Vec<u8>, count: usize, limit: usize) -> Result<(), RequestError> {
        let len = body.len() + count;
        while body.len() < len {
            if !self.has_more() {
                self.fill(MAX_BODY_BUFFER_BYTES).await?;
            }
            let available = self.unused().len().min(len - body.len());
            let needed = body.len() + available;
            if needed > body.capacity() {
                let capacity = needed.max(body.capacity() * 2).min(limit);
                self.reserve(capacity - body.capacity())?;
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&self.buf[self.used..self.used + available]);
            self.used += available;
        }
        Ok(())
    }

    async fn read_chunk_size(&mut self) -> Result<usize, RequestError> {
        loop {
            match httparse::parse_chunk_size(self.unused()) {
                Ok(httparse::Status::Complete((start, size))) => {
                    self.used += start;
                    return usize::try_from(size).ok().map_or_else(|| LongBodySnafu.fail(), Ok);
                }
                Ok(httparse::Status::Partial) if self.unused().len() < MAX_CHUNK_LINE_BYTES => {
                    self.fill(MAX_BODY_BUFFER_BYTES).await?;
                }
                _ => return MalformedSnafu.fail(),
            }
        }
    }

    async fn read_line_end(&mut self) -> Result<bool, RequestError> {
        while self.unused().len() < LINE_END.len() {
            self.fill(MAX_BODY_BUFFER_BYTES).await?;
        }
        let is_line_end = self.unused().starts_with(LINE_END);
        self.used += LINE_END.len();
        Ok(is_line_end)
    }

    /// Skips the headers after a chunked body, which no caller of this project uses.
    async fn skip_trailer(&mut self, limit: usize) -> Result<(), RequestError> {
        let mut skipped = 0;
        loop {
            let unused = self.unused();
            let end = unused.windows(LINE_END.len()).position(|window| window == LINE_END);
            skipped += end.map_or(0, |at| at + LINE_END.len());
            if skipped.max(unused.len() * usize::from(end.is_none())) > limit {
                return LongHeadSnafu.fail();
            }
            match end {
                Some(at) => {
                    self.used += at + LINE_END.len();
                    if at == 0 {
                        return Ok(());
                    }
                }
                None => self.fill(limit).await?,
            }
        }
    }
}

fn parse_head(buf: &[u8]) -> Result<Head, RequestError> {
    try_parse_head(buf).ok_or(RequestError::Malformed)
}

/// Parses a whole head; `None` if it is malformed.
fn try_parse_head(buf: &[u8]) -> Option<Head> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    if !parsed.parse(buf).ok()?.is_complete() || parsed.version != Some(1) {
        return None;
    }
    let method: Method = parsed.method?.parse().ok()?;
    let path = parsed.path?;
    let host = parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case("host"))?;
    let url = if path.starts_with('/') {
        Url::parse(&format!("http://{}{path}", std::str::from_utf8(host.value).ok()?)).ok()?
    } else {
        Url::parse(path).ok()?
    };
    let mut req = http_types::Request::new(method, url);
    req.set_version(Some(Version::Http1_1));
    let mut length = None;
    let mut is_chunked = false;
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).ok().filter(|value| value.is_ascii());
        let frames = |name: &str| header.name.eq_ignore_ascii_case(name);
        let Some(value) = value else {
            if frames("content-length") || frames("transfer-encoding") {
                return None;
            }
            // Such values are opaque (RFC 9110, section 5.5), and none that a server of this project uses is.
            continue;
        };
        if frames("content-length") {
            let len: usize = value.parse().ok()?;
            // Two lengths, or a length of a chunked body, let two servers see different requests.
            if length.is_some_and(|known| known != len) {
                return None;
            }
            length = Some(len);
        } else if frames("transfer-encoding") {
            if is_chunked || !value.trim().eq_ignore_ascii_case("chunked") {
                return None;
            }
            is_chunked = true;
        }
        req.append_header(header.name, value);
    }
    let framing = match (length, is_chunked) {
        (Some(_), true) => return None,
        (None, true) => Framing::Chunked,
        (len, false) => Framing::Length(len.unwrap_or(0)),
    };
    let has_token = |name, token: &str| {
        let values = req.header(name).map(|values| values.as_str().to_ascii_lowercase()).unwrap_or_default();
        values.split(',').any(|value| value.trim() == token)
    };
    let (closes, expects_continue) = (has_token(CONNECTION, "close"), has_token(EXPECT, "100-continue"));
    Some(Head { req, closes, framing, expects_continue })
}
