//! A fleet of upstreams that announce themselves, and the desired state that routes to them.

pub mod budget;
pub mod capacity;
pub mod choice;
pub mod clock;
pub mod departure;
pub mod desired;
pub mod events;
pub mod losses;
pub mod replica;
pub mod window;
