//! Scheduling turns of work that can wait, and delays before boxes reconnect.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use vaneway_server::core::cluster::reconnect::reconnect_delay;
use vaneway_server::util::turns::Turns;

use crate::support::block_on;

/// Names of the tasks that ran, in order.
type Ran = Rc<RefCell<Vec<String>>>;

async fn take_turn(turns: Turns, ran: Ran, name: String, urgent_after: Option<&'static str>) {
    turns.next().await;
    ran.borrow_mut().push(name.clone());
    if urgent_after == Some(name.as_str()) {
        let ran = Rc::clone(&ran);
        compio::runtime::spawn(async move { ran.borrow_mut().push("urgent".to_owned()) }).detach();
    }
}

/// Guards against urgent tasks that wait until every task that waits for a turn has run.
#[test]
fn turns_are_given_in_order_and_urgent_work_runs_before_the_next() {
    let ran = Ran::default();
    let task_log = Rc::clone(&ran);
    block_on(async move {
        let turns = Turns::spawn();
        let waiting = (0..5).map(|i| {
            let task = take_turn(turns.clone(), Rc::clone(&task_log), i.to_string(), Some("1"));
            compio::runtime::spawn(task)
        });
        let waiting: Vec<_> = waiting.collect();
        join_all(waiting).await;
        assert_eq!(turns.waiting(), 0);
    });
    assert_eq!(*ran.borrow(), ["0", "1", "urgent", "2", "3", "4"]);
}

/// Guards against a connection that closes while it waits for a turn and blocks the others.
#[test]
fn turn_of_one_that_no_longer_waits_goes_to_the_next() {
    let ran = Ran::default();
    let task_log = Rc::clone(&ran);
    block_on(async move {
        let turns = Turns::spawn();
        let mut abandoned = Box::pin(turns.next());
        assert!(futures_util::poll!(abandoned.as_mut()).is_pending());
        drop(abandoned);
        take_turn(turns, task_log, "next".to_owned(), None).await;
    });
    assert_eq!(*ran.borrow(), ["next"]);
}

/// Guards against a slow first reconnect, against delays that do not grow or exceed their bound,
/// and against boxes that reconnect in lockstep.
#[test]
fn reconnect_delays_grow_with_short_lived_connections_and_differ_between_boxes() {
    let delays = |draw| {
        [0, 1, 2, 3, 4, 5, 40].map(|short_lived| reconnect_delay(short_lived, draw).as_millis())
    };
    assert_eq!(delays(0.5), [75, 75, 150, 300, 600, 1_200, 1_200]);
    assert_eq!(delays(0.0), [37, 37, 75, 150, 300, 600, 600]);
    assert_eq!(reconnect_delay(0, 1.0), Duration::from_micros(112_500));
}
