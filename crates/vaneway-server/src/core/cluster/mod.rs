//! What the boxes of a deployment tell each other.
//!
//! - [`marks`] and [`datagram`]: leaving marks between entry boxes that their settings list;
//! - [`wire`]: the messages between entry and control boxes;
//! - [`reconnect`]: connections to other boxes that are opened again whenever they break;
//! - [`follow`]: how an entry box follows the control boxes, over `control_link`;
//! - [`advertised_control_boxes`]: which control boxes it follows;
//! - [`configuration_source`]: which of them it asks for a configuration;
//! - [`publishers`]: which of them tell it what the others use;
//! - [`work_at_endpoints`]: what it tells and learns of the work at endpoints.

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
