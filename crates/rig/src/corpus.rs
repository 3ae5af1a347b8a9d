//! The searched text and the documents of each snapshot.

use std::path::Path;
use std::sync::Arc;

use gs_types::prelude::*;

/// The maximum length of a document's text, in bytes.
const TEXT_MAX_BYTES: usize = 240;

/// A snapshot omits one out of this many documents.
const OMITTED_ONE_IN: u64 = 17;

/// The maximum size of a file, in bytes; larger ones are skipped.
const FILE_MAX_BYTES: u64 = 1 << 20;

/// One document: a paragraph of a text file.
#[derive(Clone, Debug)]
pub struct Doc {
    /// `path:paragraph`, unique.
    pub id: Arc<str>,
    /// The path of its file, which is the key of keyed lookups.
    pub book: Arc<str>,
    /// Its text.
    pub text: Arc<str>,
}

/// All documents, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Corpus {
    docs: Vec<Doc>,
}

impl Corpus {
    /// Reads the text files under a directory, except hidden files, hidden directories and `target`.
    ///
    /// # Errors
    ///
    /// If the directory or a file cannot be read, or if it contains no text.
    pub fn read(dir: &Path) -> Result<Self> {
        let mut docs = Vec::new();
        read_dir(dir, dir, &mut docs).map_err(|e| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("read the text to index")
                .with_hint("give a folder with text files")
        })?;
        if docs.is_empty() {
            return Err(Error::new(ErrorKind::NotFound, "the folder holds no text"));
        }
        Ok(Self::from_docs(docs))
    }

    /// Creates a corpus from documents, which it sorts by id.
    #[must_use]
    pub fn from_docs(mut docs: Vec<Doc>) -> Self {
        docs.sort_by(|a, b| a.id.cmp(&b.id));
        Self { docs }
    }

    /// Returns a small fixed text for tests: `docs` documents of a few words, ten in each file.
    #[must_use]
    pub fn sample(docs: usize) -> Self {
        const WORDS: [&str; 8] = [
            "larch", "salmon", "ledger", "spruce", "trout", "levy", "quota", "timber",
        ];
        let doc = |i: usize| {
            let word = |k: usize| WORDS[(i * (k + 3) + i / 7 + k * k) % WORDS.len()];
            Doc {
                id: format!("book-{}:{:03}", i / 10, i % 10).into(),
                book: format!("book-{}", i / 10).into(),
                text: format!("{} {} {} no {i}", word(0), word(1), word(2)).into(),
            }
        };
        Self::from_docs((0..docs).map(doc).collect())
    }

    /// Returns the documents.
    #[must_use]
    pub fn docs(&self) -> &[Doc] {
        &self.docs
    }

    /// Returns the documents of a snapshot. Each snapshot omits a different seventeenth, so that two
    /// snapshots give different pages and a page mixed from both is detected.
    pub fn in_snapshot(&self, snapshot: SnapshotId) -> impl Iterator<Item = &Doc> {
        self.docs
            .iter()
            .filter(move |d| !hash(&[&d.id, &snapshot.to_string()]).is_multiple_of(OMITTED_ONE_IN))
    }
}

fn hash(parts: &[&str]) -> u64 {
    Fingerprint::of(parts).0
}

fn read_dir(root: &Path, dir: &Path, docs: &mut Vec<Doc>) -> std::io::Result<()> {
    let mut entries: Vec<_> = std::fs::read_dir(dir)?.collect::<std::io::Result<_>>()?;
    entries.sort_by_key(std::fs::DirEntry::path);
    for entry in entries {
        let path = entry.path();
        let name = entry.file_name();
        let name = name.to_string_lossy();
        if name.starts_with('.') || name == "target" {
            continue;
        }
        let meta = entry.metadata()?;
        if meta.is_dir() {
            read_dir(root, &path, docs)?;
        } else if meta.is_file() && meta.len() <= FILE_MAX_BYTES {
            read_file(root, &path, docs)?;
        }
    }
    Ok(())
}

fn read_file(root: &Path, path: &Path, docs: &mut Vec<Doc>) -> std::io::Result<()> {
    // Files that are not UTF-8 are not text.
    let Ok(text) = String::from_utf8(std::fs::read(path)?) else {
        return Ok(());
    };
    let book: Arc<str> = path
        .strip_prefix(root)
        .unwrap_or(path)
        .to_string_lossy()
        .as_ref()
        .into();
    for (i, paragraph) in text.split("\n\n").enumerate() {
        let line = paragraph.split_whitespace().collect::<Vec<_>>().join(" ");
        if line.is_empty() {
            continue;
        }
        let end = line.floor_char_boundary(TEXT_MAX_BYTES);
        docs.push(Doc {
            id: format!("{book}:{i:05}").into(),
            book: book.clone(),
            text: line[..end].into(),
        });
    }
    Ok(())
}
