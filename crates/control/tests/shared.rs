//! The ordered map with copy-on-write clones, compared with `BTreeMap`.

use std::{collections::BTreeMap, ops::Bound};

use bronzespoke_control::shared::Map;
use proptest::{prelude::*, test_runner::RngSeed};

#[derive(Debug, Clone)]
enum Step {
    Insert(u16, u32),
    Remove(u16),
    Change(u16, u32),
    PopFirst,
    Clone,
    Range(u16, u16),
    Encode,
}

fn step(keys: u16) -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..keys, any::<u32>()).prop_map(|(key, value)| Step::Insert(key, value)),
        3 => (0..keys).prop_map(Step::Remove),
        2 => (0..keys, any::<u32>()).prop_map(|(key, value)| Step::Change(key, value)),
        1 => Just(Step::PopFirst),
        1 => Just(Step::Clone),
        1 => (0..keys, 0..keys).prop_map(|(low, high)| Step::Range(low.min(high), low.max(high))),
        1 => Just(Step::Encode),
    ]
}

fn same(map: &Map<u16, u32>, model: &BTreeMap<u16, u32>) -> Result<(), TestCaseError> {
    prop_assert_eq!(map.verify(), Ok(()));
    prop_assert!(map.iter().eq(model.iter()));
    prop_assert_eq!(map.len(), model.len());
    prop_assert_eq!(map.first_key_value(), model.first_key_value());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against entries that are lost or misplaced when leaves are split, merged or shared, and against a change
    /// that is visible in an earlier clone.
    #[test]
    fn the_map_behaves_like_a_btree_map_and_its_clones_do_not_change(
        steps in prop_oneof![
            proptest::collection::vec(step(200), 1..400),
            proptest::collection::vec(step(5_000), 1_000..3_000),
        ],
    ) {
        let (mut map, mut model) = (Map::default(), BTreeMap::new());
        let mut clones: Vec<(Map<u16, u32>, BTreeMap<u16, u32>)> = Vec::new();
        for step in steps {
            match step {
                Step::Insert(key, value) => prop_assert_eq!(map.insert(key, value), model.insert(key, value)),
                Step::Remove(key) => prop_assert_eq!(map.remove(&key), model.remove(&key)),
                Step::Change(key, value) => {
                    prop_assert_eq!(map.contains_key(&key), model.contains_key(&key));
                    if let (Some(value_mut), Some(model_mut)) = (map.get_mut(&key), model.get_mut(&key)) {
                        (*value_mut, *model_mut) = (value, value);
                    }
                    prop_assert_eq!(map.get(&key), model.get(&key));
                }
                Step::PopFirst => prop_assert_eq!(map.pop_first(), model.pop_first()),
                Step::Clone if clones.len() < 4 => clones.push((map.clone(), model.clone())),
                Step::Clone => {}
                Step::Range(low, high) => {
                    prop_assert!(map.range(low..high).eq(model.range(low..high)));
                    prop_assert!(map.range(low..=high).eq(model.range(low..=high)));
                    prop_assert!(map.range(..high).eq(model.range(..high)));
                    let above = (Bound::Excluded(low), Bound::Unbounded);
                    prop_assert!(map.range(above).eq(model.range(above)));
                }
                Step::Encode => {
                    let bytes = postcard::to_stdvec(&map).unwrap();
                    prop_assert_eq!(&bytes, &postcard::to_stdvec(&model).unwrap());
                    let decoded: Map<u16, u32> = postcard::from_bytes(&bytes).unwrap();
                    same(&decoded, &model)?;
                }
            }
        }
        same(&map, &model)?;
        for (clone, model) in &clones {
            same(clone, model)?;
        }
    }
}

/// Guards against leaves that stay small after many removals, which would make a clone as expensive as before them.
#[test]
fn removals_leave_no_small_leaves() {
    let mut map = Map::default();
    for key in 0..20_000_u32 {
        map.insert(key, key);
    }
    let full = map.memory();
    for key in (0..20_000).filter(|key| key % 100 != 0) {
        map.remove(&key);
    }
    map.verify().unwrap();
    assert_eq!(map.len(), 200);
    assert!(map.memory() < full / 10, "{} of {full} bytes", map.memory());
}
