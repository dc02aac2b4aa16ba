//! Client of the cloud platform's list of boxes and of its reclaim notices.
//!
//! Notices arrive by long polling: the platform holds a request until there is a notice. The list
//! only confirms notices and shows new instances. Since it lags, it can't revert the state of an
//! instance that a notice marked as leaving.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use vaneway_marks::Instance;
use vaneway_route::EndpointEvent;
use vaneway_route::EndpointId;

use crate::core::cluster::marks;
use crate::core::entry::Entry;
use crate::core::settings::Platform;
use crate::util::clock;
use crate::util::logline::Line;

/// Pause before retrying after the platform failed to answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time allowed for an answer, in addition to the long-poll wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer of the platform, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

#[derive(Debug, Deserialize)]
struct BoxList {
    boxes: Vec<ListedBox>,
}

#[derive(Debug, Deserialize)]
struct ListedBox {
    #[serde(rename = "box")]
    name: String,
    instance: String,
    state: BoxState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum BoxState {
    Live,
    Leaving,
    Gone,
}

#[derive(Debug, Deserialize)]
struct NoticeList {
    next: u64,
    notices: Vec<Notice>,
}

#[derive(Debug, Deserialize)]
struct Notice {
    #[serde(rename = "box")]
    name: String,
    instance: String,
    gone_in_ms: u64,
}

/// Polls the list of boxes until dropped.
pub async fn follow_list(entry: Rc<Entry>) {
    let Some(platform) = entry.settings.platform.clone() else { return };
    loop {
        match fetch::<BoxList>(&entry, &platform, "/v1/boxes", ANSWER_TIMEOUT).await {
            Some(list) => apply_list(&entry, &list),
            None => log::debug!("event=platform_list_unavailable"),
        }
        entry.timers.sleep(platform.list_interval).await;
    }
}

/// Polls for notices until dropped.
pub async fn follow_notices(entry: Rc<Entry>) {
    let Some(platform) = entry.settings.platform.clone() else { return };
    let mut after = 0;
    loop {
        let wait = platform.notice_poll_timeout;
        let path = format!("/v1/notices?after={after}&wait_ms={}", wait.as_millis());
        match fetch::<NoticeList>(&entry, &platform, &path, wait + ANSWER_TIMEOUT).await {
            Some(list) => {
                // A platform that was restarted numbers its notices from the beginning.
                after = list.next;
                apply_notices(&entry, &list.notices);
            }
            None => entry.timers.sleep(RETRY_DELAY).await,
        }
    }
}

fn apply_notices(entry: &Rc<Entry>, notices: &[Notice]) {
    for notice in notices {
        Line::new("notice")
            .with("box", &notice.name)
            .with("instance", &notice.instance)
            .with("gone_in_ms", notice.gone_in_ms)
            .info();
        let gone_at = clock::now() + Duration::from_millis(notice.gone_in_ms);
        let instance =
            Instance { box_name: notice.name.clone(), instance: notice.instance.clone() };
        entry.mark_leaving(&instance, gone_at);
        marks::publish(entry, &instance, gone_at);
    }
}

fn apply_list(entry: &Entry, list: &BoxList) {
    for listed in &list.boxes {
        for endpoint in entry.endpoints_on(&listed.name) {
            apply_listed(entry, listed, *endpoint);
        }
    }
}

fn apply_listed(entry: &Entry, listed: &ListedBox, endpoint: EndpointId) {
    let event = match listed.state {
        BoxState::Live => None,
        BoxState::Leaving => Some(EndpointEvent::Notice),
        BoxState::Gone => Some(EndpointEvent::Removed),
    };
    entry.update_pool(|pool, now, out| {
        let current = pool.set_instance(now, endpoint, &listed.instance, out);
        if let Some(event) = event.filter(|_| current) {
            pool.handle(now, endpoint, event, out);
        }
    });
}

/// Fetches one JSON answer from the platform; none if it failed or did not arrive in time.
async fn fetch<T: DeserializeOwned>(
    entry: &Entry,
    platform: &Platform,
    path: &str,
    timeout: Duration,
) -> Option<T> {
    let until = clock::now() + timeout;
    let req = Request::builder().uri(path).body(Full::default()).expect("the path is valid");
    let (connections, limit) = (&entry.connections, MAX_ANSWER_BYTES);
    let exchange = connections.exchange(&entry.timers, platform.address, req, limit, until).await;
    let (_, body) = exchange.ok().filter(|(status, _)| status.is_success())?;
    match serde_json::from_slice(&body) {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::warn!("event=platform_answer_unreadable path={path:?} error={error:?}");
            None
        }
    }
}
