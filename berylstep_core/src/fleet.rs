//! A fleet of self-registering upstream replicas and the desired state that routes requests to
//! them.

pub mod brittle;
pub mod budget;
pub mod capacity;
pub mod choice;
pub mod clock;
pub mod crashes;
pub mod departure;
pub mod desired;
pub mod engine;
pub mod events;
pub mod limits;
pub mod losses;
pub mod origins;
pub mod position;
pub mod quarantine;
pub mod reach;
pub mod replica;
pub mod runs;
pub mod slots;
pub mod turns;
pub mod window;
