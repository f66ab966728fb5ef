//! How many replicas of each kind a service needs in each availability zone.
