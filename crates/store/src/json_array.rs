//! Splits JSON arrays whose elements may be malformed, so that one of them does not hide the others.

/// The number of unbalanced elements that are searched to their end, each possibly through the rest of the page.
const UNBALANCED_SCANS_MAX: usize = 64;

/// Splits the content of a JSON array of objects into the texts of its elements, of which some may be malformed.
///
/// An element whose strings, braces or brackets are unbalanced ends where an object with one of `first_keys` starts.
#[must_use]
pub fn split_array<'a>(array: &'a str, first_keys: &[&str]) -> Vec<&'a str> {
    let mut elements = Vec::new();
    let mut rest = array;
    let mut scans_left = UNBALANCED_SCANS_MAX;
    while let Some(end) = element_end(rest, first_keys, &mut scans_left) {
        elements.push(&rest[..end]);
        rest = &rest[end + 1..];
    }
    elements.push(rest);
    elements
}

/// Returns the offset of the comma that ends the first element of an array; `None` if it is the last one.
///
/// In well-formed JSON, an object never follows a comma directly inside another object, nor does `,{"` occur in a
/// string; in an array it may. An element whose strings, braces or brackets are unbalanced thus ends where what may be
/// the next one starts, while a balanced one may hold others like it.
fn element_end(text: &str, first_keys: &[&str], scans_left: &mut usize) -> Option<usize> {
    let mut nesting = Nesting::default();
    let mut next_start = None;
    for (at, byte) in text.bytes().enumerate() {
        if byte == b',' && nesting.is_closed() {
            return Some(at);
        }
        if byte == b',' && is_element_start(&text[at + 1..], first_keys) {
            next_start = next_start.or(Some(at));
            if !nesting.is_in_array() || *scans_left == 0 {
                break;
            }
        }
        nesting.advance(byte);
    }
    if nesting.is_closed() {
        return None;
    }
    *scans_left = scans_left.saturating_sub(1);
    next_start
}

/// The strings, braces and brackets that are open at a byte of an element.
#[derive(Default)]
struct Nesting {
    open: Vec<u8>,
    braces: usize,
    is_in_string: bool,
    is_escaped: bool,
}

impl Nesting {
    fn is_closed(&self) -> bool {
        self.open.is_empty() && !self.is_in_string
    }

    fn is_in_array(&self) -> bool {
        !self.is_in_string && self.open.last() == Some(&b'[')
    }

    fn advance(&mut self, byte: u8) {
        if self.is_in_string {
            self.is_in_string = byte != b'"' || self.is_escaped;
            self.is_escaped = byte == b'\\' && !self.is_escaped;
            return;
        }
        match byte {
            b'"' => self.is_in_string = true,
            b'[' => self.open.push(byte),
            b'{' => {
                self.open.push(byte);
                self.braces += 1;
            }
            b']' if self.open.last() == Some(&b'[') => drop(self.open.pop()),
            // It also ends the brackets that are open inside of its object.
            b'}' if self.braces > 0 => {
                self.braces -= 1;
                while self.open.pop() == Some(b'[') {}
            }
            _ => {}
        }
    }
}

/// Returns whether a text starts like an object with one of these first keys.
fn is_element_start(text: &str, first_keys: &[&str]) -> bool {
    let Some(quoted) = text.trim_start().strip_prefix('{') else {
        return false;
    };
    let Some(key) = quoted.trim_start().strip_prefix('"') else {
        return false;
    };
    let after = first_keys
        .iter()
        .find_map(|k| key.strip_prefix(k)?.strip_prefix('"'));
    after.is_some_and(|rest| rest.trim_start().starts_with(':'))
}
