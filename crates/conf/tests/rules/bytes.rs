//! Bytes from outside: patches and records that are garbled.

use std::sync::Arc;
use std::time::Instant;

use gs_conf::ConfigManager;
use gs_conf::ConfigManagerOptions;
use gs_conf::Event;
use gs_conf::Message;
use gs_conf::Patch;
use gs_conf::ReadResult;
use gs_conf::Record;
use gs_conf::check_config;
use gs_conf::check_patch;
use gs_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;

use crate::samples::config;

fn fixed() -> ProptestConfig {
    let cases = std::env::var("GS_FUZZ_CASES").ok();
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(300),
        ..ProptestConfig::default()
    }
}

/// Text like a patch's, with bytes struck out, doubled or changed.
fn garbled() -> impl Strategy<Value = Vec<u8>> {
    let whole = r#"{"id":"p-1","against":7,"changes":[{"put-front":{"name":"a","lookups":[
        {"name":"q","group":"g","scope":"scatter","promise":"urgent","deadline":"250ms",
        "page":20,"enough_at":null}]}},{"remove-lookup":{"front":"a","lookup":"q"}}]}"#;
    let edits = prop::collection::vec((0..whole.len(), any::<u8>(), 0..3_u8), 0..6);
    edits.prop_map(move |edits| {
        let mut bytes = whole.as_bytes().to_vec();
        for (at, byte, kind) in edits {
            let at = at % bytes.len().max(1);
            match kind {
                0 => bytes[at] = byte,
                1 => bytes.insert(at, byte),
                _ => bytes.truncate(at),
            }
            if bytes.is_empty() {
                break;
            }
        }
        bytes
    })
}

proptest! {
    #![proptest_config(fixed())]

    /// Whatever parses is checked without a panic, and whatever is checked keeps the rules.
    #[test]
    fn no_bytes_of_a_patch_cause_a_panic(bytes in garbled()) {
        let patch = serde_json::from_slice::<Patch>(&bytes).ok();
        let checked = patch.and_then(|p| check_patch(&config(), &p, None).ok());
        if let Some((next, _)) = checked {
            prop_assert_eq!(check_config(&next, None).errors, vec![]);
        }
    }

    #[test]
    fn no_bytes_of_a_record_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Record::parse(&String::from_utf8_lossy(&bytes));
    }

    /// A peer or the platform shows garbage with a high version: what is held stays.
    #[test]
    fn a_garbled_record_replaces_nothing(bytes in garbled(), from_peer in any::<bool>()) {
        let now = Instant::now();
        let options = ConfigManagerOptions::builder()
            .vm("vm-1".parse().expect("a name"))
            .incarnation(Incarnation(1))
            .seed(1)
            .build();
        let mut book = ConfigManager::new(options).expect("the chart fits");
        let mut out = Vec::new();
        let content: Arc<str> = serde_json::to_string(&config()).expect("JSON").into();
        book.on(now, Event::Read(ReadResult::Found { object: 1, content }), &mut out);
        let content: Arc<str> = String::from_utf8_lossy(&bytes).into();
        let event = match from_peer {
            true => Event::Message(
                "vm-2".parse().expect("a name"),
                Message::Newest { object: 9, content },
            ),
            false => Event::Read(ReadResult::Found { object: 9, content }),
        };
        book.on(now, event, &mut out);
        prop_assert_eq!(book.config().map(|c| c.version), Some(ConfVersion(7)));
        prop_assert_eq!(book.summary().object, 1);
    }
}
