//! States, events, actions and compiled form of the chart `request.json`.

use std::sync::OnceLock;

use vaneway_chart::Chart;
use vaneway_chart::chart_names;

chart_names! {
    /// States of the chart `request.json`.
    pub enum RequestState {
        Accepted = "accepted",
        Choosing = "choosing",
        Waiting = "waiting",
        Transferring = "transferring",
        Running = "running",
        Complete = "complete",
        Failed = "failed",
        Abandoned = "abandoned",
    }
}

chart_names! {
    /// Events of the chart `request.json`.
    pub enum RequestEvent {
        Begin = "begin",
        Chosen = "chosen",
        ChosenMove = "chosen_move",
        Unavailable = "unavailable",
        Hopeless = "hopeless",
        Woken = "woken",
        Transferred = "transferred",
        Finished = "finished",
        Lost = "lost",
        LostForGood = "lost_for_good",
        Leaving = "leaving",
        Expired = "expired",
        CallerGone = "caller_gone",
    }
}

chart_names! {
    /// Actions of the chart `request.json`.
    pub enum RequestAction {
        Choose = "choose",
        Start = "start",
        Transfer = "transfer",
        Pause = "pause",
        Detach = "detach",
        Cancel = "cancel",
        Complete = "complete",
        Fail = "fail",
    }
}

/// The compiled chart `request.json`.
pub type RequestChart = Chart<RequestState, RequestEvent, RequestAction>;

/// The chart of a request, compiled once.
///
/// # Panics
///
/// If the embedded file does not pass its check, which a test rules out.
pub fn request_chart() -> &'static RequestChart {
    static CHART: OnceLock<RequestChart> = OnceLock::new();
    CHART.get_or_init(|| {
        Chart::compile(include_str!("../charts/request.json")).expect("embedded chart is checked")
    })
}
