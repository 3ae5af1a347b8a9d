//! Tests of the mirror of the register that followers are served from.

use std::collections::BTreeMap;

use gs_follow::Mirror;
use gs_types::prelude::*;
use proptest::prelude::*;

fn named(name: &str, value: u32) -> (String, u32) {
    (name.to_owned(), value)
}

/// Returns a revision of the store after it was restored.
fn restored(number: u64) -> Revision {
    Revision::new(StoreEra(1), number)
}

#[test]
fn a_list_removes_objects_that_it_does_not_contain() {
    let mut m = Mirror::default();
    m.apply_list(5, vec![named("a", 1), named("b", 1)]);
    m.apply_list(9, vec![named("b", 1), named("c", 1)]);
    let since = m.changes_since(5).expect("known");
    assert_eq!(since, [("a".into(), None), ("c".into(), Some(1))]);
}

/// A follower must not apply older contents than it knows, as a peer that lags behind may send.
#[test]
fn an_out_of_date_list_or_change_is_ignored() {
    let mut m = Mirror::default();
    m.apply_list(9, vec![named("a", 2)]);
    m.apply_list(5, vec![named("a", 1)]);
    m.apply_changes(8, vec![("a".into(), None)]);
    assert_eq!(m.revision(), Revision::from(9));
    assert_eq!(m.changes_since(0), None);
    assert_eq!(m.live().collect::<Vec<_>>(), [(&"a".to_owned(), &2)]);
}

/// A follower must not miss what changed before the first list of the peer that it follows.
#[test]
fn changes_before_the_first_list_are_unknown() {
    let mut m = Mirror::default();
    assert_eq!(m.changes_since(0), None);
    m.apply_list(5, vec![named("a", 1)]);
    assert_eq!(m.changes_since(4), None);
    assert_eq!(m.changes_since(5), Some(Vec::new()));
}

/// A store that was restored from an older copy gives smaller revisions, which are newer all the same.
#[test]
fn a_list_of_a_later_era_replaces_all_contents_at_any_revision() {
    let mut m = Mirror::default();
    m.apply_list(370, vec![named("a", 21), named("b", 1)]);
    assert!(m.apply_list(restored(366), vec![named("a", 21)]));
    assert!(m.apply_changes(restored(367), vec![("a".into(), Some(25))]));
    assert_eq!(m.live().collect::<Vec<_>>(), [(&"a".to_owned(), &25)]);
    assert_eq!(
        m.changes_since(restored(366)),
        Some(vec![("a".into(), Some(25))])
    );
}

/// A follower of before a restore must list anew, also if the store has given its revision out again.
#[test]
fn changes_since_a_revision_of_an_earlier_era_are_unknown() {
    let mut m = Mirror::default();
    m.apply_list(370, vec![named("a", 21)]);
    m.apply_list(restored(366), vec![named("a", 18)]);
    m.apply_changes(restored(371), vec![("a".into(), Some(25))]);
    assert_eq!(m.changes_since(370), None);
    assert_eq!(m.changes_since(365), None);
}

/// An answer of the store from before a restore must not win over one from after it, however late it arrives.
#[test]
fn lists_and_changes_of_an_earlier_era_are_ignored() {
    let mut m = Mirror::default();
    m.apply_list(restored(366), vec![named("a", 21)]);
    assert!(!m.apply_list(370, vec![named("a", 18)]));
    assert!(!m.apply_changes(371, vec![("a".into(), None)]));
    assert_eq!(m.live().collect::<Vec<_>>(), [(&"a".to_owned(), &21)]);
}

/// Changes of another era follow contents that the mirror does not have.
#[test]
fn changes_of_a_later_era_need_a_list_first() {
    let mut m = Mirror::default();
    m.apply_list(370, vec![named("a", 21)]);
    assert!(!m.apply_changes(restored(380), vec![("b".into(), Some(1))]));
    assert_eq!(m.revision(), Revision::from(370));
}

/// A peer that has not listed the era of its follower knows less than that.
#[test]
fn a_follower_in_a_later_era_receives_nothing() {
    let mut m = Mirror::default();
    m.apply_list(370, vec![named("a", 21)]);
    assert_eq!(m.changes_since(restored(366)), Some(Vec::new()));
}

/// Memory must not grow with every server that was ever registered.
#[test]
fn removed_objects_are_compacted_once_they_are_many() {
    let mut m = Mirror::default();
    m.apply_list(1, Vec::new());
    for n in 0..20_000_u64 {
        m.apply_changes(2 * n + 2, vec![(format!("s{n}"), Some(1_u32))]);
        m.apply_changes(2 * n + 3, vec![(format!("s{n}"), None)]);
    }
    assert_eq!(m.changes_since(1), None);
    let known = m.changes_since(39_000).expect("recent");
    assert!(known.len() <= 4096, "{}", known.len());
}

/// A history of the register: a series of sets and removals.
fn history() -> impl Strategy<Value = Vec<(u8, Option<u32>)>> {
    let change = (0_u8..6, proptest::option::of(0_u32..3));
    proptest::collection::vec(change, 1..60)
}

proptest! {
    /// A follower must end with the same objects as the register, from whichever revision it starts and however
    /// the changes are split into batches.
    #[test]
    fn a_follower_ends_with_the_objects_of_the_register(
        history in history(),
        cuts in proptest::collection::vec(any::<bool>(), 60),
        listed in 0_usize..60,
        from in 0_usize..60,
    ) {
        let mut register: Vec<BTreeMap<String, u32>> = vec![BTreeMap::new()];
        for (key, value) in &history {
            let mut next = register.last().cloned().unwrap_or_default();
            let name = format!("o{key}");
            match value {
                Some(v) => next.insert(name, *v),
                None => next.remove(&name),
            };
            register.push(next);
        }
        let end = history.len();
        let listed = listed.min(end);
        let from = from.clamp(listed, end);
        let mut m = Mirror::default();
        m.apply_list(listed as u64, register[listed].clone().into_iter().collect());
        let mut batch = Vec::new();
        for (n, (key, value)) in history.iter().enumerate().skip(listed) {
            batch.push((format!("o{key}"), *value));
            if cuts[n] || n + 1 == end {
                m.apply_changes(n as u64 + 1, std::mem::take(&mut batch));
            }
        }
        let mut follower = register[from].clone();
        for (name, value) in m.changes_since(from as u64).expect("known") {
            match value {
                Some(v) => follower.insert(name, v),
                None => follower.remove(&name),
            };
        }
        prop_assert_eq!(&follower, &register[end]);
    }
}
