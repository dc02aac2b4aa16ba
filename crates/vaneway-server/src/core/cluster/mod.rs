//! Communication between the boxes of a deployment.
//!
//! - [`marks`] and [`datagram`]: marks of leaving instances, between entry boxes that are listed in
//!   their settings;
//! - [`wire`]: the messages between entry and control boxes;
//! - [`reconnect`]: connections to other boxes that are reopened whenever they break;
//! - [`follow`]: an entry box's communication with the control boxes, over `control_link`;
//! - [`advertised_control_boxes`]: to which control boxes it connects;
//! - [`configuration_source`]: from which of them it requests a configuration;
//! - [`publishers`]: which of them send it the usage of the other entry boxes;
//! - [`work_at_endpoints`]: its reports and updates of the load at endpoints.

pub mod advertised_control_boxes;
pub mod configuration_source;
mod control_link;
pub mod datagram;
pub mod follow;
pub mod marks;
pub mod publishers;
pub mod reconnect;
pub mod wire;
pub mod work_at_endpoints;
