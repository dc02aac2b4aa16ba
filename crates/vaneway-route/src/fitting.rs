//! Counts the endpoints that could respond to a request, for logs.

use std::time::Instant;

use crate::Endpoint;
use crate::Pool;
use crate::Query;

/// Numbers of the endpoints that fit a [`Query`]; each counts only endpoints of the one before it,
/// except for `exited`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FittingCounts {
    /// Those that this box has ever known.
    pub known: usize,
    /// Those that are neither leaving nor gone.
    pub staying: usize,
    /// Of these, those whose process counts as exited.
    pub exited: usize,
    /// Those that are neither suspended nor have requested a back-off that isn't over.
    pub available: usize,
    /// Those of whose advertised limits this box has a share left.
    pub within_limit: usize,
    /// Those at which this box may open one more request.
    pub with_room: usize,
}

impl Pool {
    /// The numbers of endpoints that could respond to a query, in each respect.
    pub fn count_fitting(&self, now: Instant, query: &Query<'_>) -> FittingCounts {
        let fitting = || self.endpoints().iter().filter(|endpoint| query.fits(endpoint));
        let staying = || self.usable(query.service).map(|id| self.get(id));
        let staying = || staying().filter(|endpoint| query.fits(endpoint));
        let available = || fitting().filter(|endpoint| endpoint.takes_work(now));
        let is_within_limit = |endpoint: &&Endpoint| endpoint.is_within_limit(now, query.sender);
        let within_limit = || available().filter(is_within_limit);
        let has_room =
            |endpoint: &&Endpoint| endpoint.has_room() && endpoint.has_place_for(now, query.sender);
        FittingCounts {
            known: fitting().count(),
            staying: staying().count(),
            exited: staying().filter(|endpoint| endpoint.has_exited(now)).count(),
            available: available().count(),
            within_limit: within_limit().count(),
            with_room: within_limit().filter(has_room).count(),
        }
    }
}
