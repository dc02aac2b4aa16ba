//! Weighted max-min shares of organisations, and the division of a share among ranks.

use std::collections::BTreeMap;

use vaneway_route::Claim;
use vaneway_route::FairShares;
use vaneway_route::MIN_RANK_SHARE;
use vaneway_route::RankDemand;
use vaneway_route::Standing;

fn shares(claims: &[(&str, f64, f64)]) -> FairShares {
    let claim = |(name, demand, weight): &(&str, f64, f64)| {
        ((*name).to_owned(), Claim { demand: *demand, weight: *weight })
    };
    FairShares::new(claims.iter().map(claim).collect::<BTreeMap<_, _>>())
}

/// The fraction of an organisation's demand that is served at a ratio of room to demand.
fn share(shares: &FairShares, organisation: &str, ratio: f64) -> f64 {
    Standing::new(RankDemand::EQUAL, organisation, Some(shares)).share(ratio)
}

/// Equal in single precision.
#[track_caller]
fn assert_close(a: f64, b: f64) {
    assert!((a - b).abs() <= 1e-6 * b.abs().max(1.0), "{a} and {b}");
}

#[test]
fn organisation_that_demands_less_than_its_share_is_served_in_full() {
    let shares = shares(&[("large", 60.0, 1.0), ("small", 4.0, 1.0)]);
    assert_close(share(&shares, "small", 0.5), 1.0);
    assert_close(share(&shares, "large", 0.5), 28.0 / 60.0);
}

#[test]
fn organisations_that_demand_more_than_their_shares_are_served_by_weight() {
    let shares = shares(&[("a", 80.0, 1.0), ("b", 80.0, 3.0)]);
    assert_close(share(&shares, "a", 0.25), 10.0 / 80.0);
    assert_close(share(&shares, "b", 0.25), 30.0 / 80.0);
}

/// Guards against room that nobody gets: at every ratio, the shares add up to the room.
#[test]
fn shares_add_up_to_the_room() {
    let claims = [("a", 10.0, 1.0), ("b", 300.0, 2.0), ("c", 45.0, 0.5), ("d", 0.0, 1.0)];
    let shares = shares(&claims);
    let demand: f64 = claims.iter().map(|(_, demand, _)| demand).sum();
    for step in 0..=16 {
        let ratio = f64::from(step) / 16.0;
        let served = claims.iter().map(|(name, demand, _)| share(&shares, name, ratio) * demand);
        assert_close(served.sum::<f64>(), ratio * demand);
    }
}

#[test]
fn organisation_without_demand_so_far_is_served_in_full() {
    let shares = shares(&[("a", 80.0, 1.0), ("b", 80.0, 1.0), ("new", 0.0, 1.0)]);
    assert_close(share(&shares, "new", 0.25), 1.0);
}

#[test]
fn organisation_without_weight_or_claim_is_served_as_all_are_without_shares() {
    let shares = shares(&[("a", 80.0, 1.0), ("b", 80.0, 1.0), ("weightless", 10.0, 0.0)]);
    assert_close(share(&shares, "unknown", 0.25), 0.25);
    assert_close(share(&shares, "weightless", 0.25), 0.25);
}

#[test]
fn ranks_of_a_share_are_served_in_order_down_to_the_floor() {
    let urgent = RankDemand { more_urgent: 0.0, same: 0.3 };
    let lax = RankDemand { more_urgent: 0.3, same: 0.7 };
    for step in 0..=16 {
        let ratio = f64::from(step) / 16.0;
        let admission = |ranks| Standing::new(ranks, "", None).admission(ratio);
        let (urgent, lax) = (admission(urgent), admission(lax));
        assert_close(0.3 * urgent + 0.7 * lax, ratio);
        assert!(urgent >= lax - 1e-6, "{urgent} of the urgent, {lax} of the others at {ratio}");
        assert!(lax >= ratio * MIN_RANK_SHARE - 1e-6, "{lax} at {ratio}");
    }
}
