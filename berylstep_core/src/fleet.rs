//! A fleet of self-registering upstream replicas and the desired state that routes requests to
//! them.

pub mod admission;
pub mod announced;
pub mod brittle;
pub mod budget;
pub mod byte_account;
pub mod capacity;
pub mod choice;
pub mod clock;
pub mod cold;
pub mod crashes;
pub mod departure;
pub mod desired;
pub mod document;
pub mod document_fetch;
pub mod engine;
pub mod evacuation;
pub mod events;
pub mod hedging;
pub mod limits;
pub mod list_pages;
pub mod losses;
pub mod origins;
pub mod pace;
pub mod position;
pub mod quarantine;
pub mod reach;
pub mod replica;
pub mod runs;
pub mod slots;
pub mod stop;
pub mod turns;
pub mod window;
