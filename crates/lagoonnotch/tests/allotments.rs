//! Comparison of allotments with a naive model, and of the capacity index with a linear scan.

use std::collections::BTreeMap;

use lagoonnotch::limit::LimitRecord;
use lagoonnotch::model::{ResourceSize, ShardName, UpstreamName};
use lagoonnotch::placement::{CapacityIndex, naive_best_fit};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    }
}

fn shard(index: usize) -> ShardName {
    ShardName::from(format!("shard-{index}"))
}

fn size(amount: u64) -> ResourceSize {
    ResourceSize::new(amount, amount, 0)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against allotments that together exceed the limit, or that are smaller than possible.
    /// The naive model allots units one by one.
    #[test]
    fn allotments_match_the_naive_model(
        limit in 0..100_u64,
        moves in vec((0..4_usize, 0..60_u64, any::<bool>()), 0..40),
    ) {
        let mut record = LimitRecord::default();
        record.set_limit(size(limit), 1);
        let mut naive = [0_u64; 4];
        for (index, amount, grows) in moves {
            if grows {
                record.grow(&shard(index), &size(amount));
                for _ in 0..amount {
                    if naive.iter().sum::<u64>() < limit {
                        naive[index] += 1;
                    }
                }
            } else {
                record.shrink(&shard(index), &size(amount));
                while naive[index] > amount {
                    naive[index] -= 1;
                }
            }
            prop_assert!(record.allotted().fits(&size(limit)));
            for (index, amount) in naive.iter().enumerate() {
                prop_assert_eq!(record.allotment(&shard(index)), size(*amount));
            }
        }
    }

    /// Guards against shards that together keep more than a lowered limit, since each computes its
    /// own scaled allotment.
    #[test]
    fn lowered_allotments_fit_the_lowered_limit(
        amounts in vec(0..1000_u64, 1..6),
        lowered in 0..3000_u64,
    ) {
        let mut record = LimitRecord::default();
        record.set_limit(size(10_000), 1);
        for (index, amount) in amounts.iter().enumerate() {
            record.grow(&shard(index), &size(*amount));
        }
        record.set_limit(size(lowered), 2);

        let kept = (0..amounts.len()).map(|index| record.scaled_allotment(&shard(index)));

        let sum = kept.fold(ResourceSize::ZERO, |sum, kept| sum + kept);
        prop_assert!(sum.fits(&size(lowered)));
    }

    /// Guards against an index that misses an upstream with enough capacity, or that selects one
    /// with another number of free accelerators than a linear scan does.
    #[test]
    fn index_finds_what_the_scan_finds(
        free in vec((0..16_u64, 0..16_u64, 0..3_u64), 1..60),
        wanted in (0..16_u64, 0..16_u64, 0..3_u64),
    ) {
        let free: BTreeMap<UpstreamName, ResourceSize> = free.into_iter().enumerate().map(|(index, free)| {
            (UpstreamName::from(format!("{index:03}")), ResourceSize::new(free.0 * 1000, free.1 * 1024, free.2))
        }).collect();
        let mut index = CapacityIndex::default();
        for (name, free) in &free {
            index.set(name, *free);
        }
        let wanted = ResourceSize::new(wanted.0 * 1000, wanted.1 * 1024, wanted.2);

        let found = index.best_fit(&wanted);
        let naive = naive_best_fit(free.iter(), &wanted);

        prop_assert_eq!(found.is_some(), naive.is_some());
        if let (Some(found), Some(naive)) = (found, naive) {
            prop_assert!(wanted.fits(&free[&found]));
            prop_assert_eq!(free[&found].accelerators, free[&naive].accelerators);
        }
    }
}
