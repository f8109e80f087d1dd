//! State that a controller keeps about jobs, machines, partitions and quotas, and the rules that apply to it. This
//! module sends no requests and answers none.

pub mod assignment_pages;
pub mod bin_packing;
pub mod completed_tasks;
pub mod delegations;
pub mod election;
pub mod finished_jobs;
pub mod fleet;
pub mod headroom;
pub mod holder;
pub mod holder_quota;
pub mod job_view;
pub mod jobs;
pub mod lasting;
pub mod long_polls;
pub mod machine;
pub mod partition_map_reader;
pub mod placement;
pub mod quota;
pub mod remote_partitions;
pub mod stats;
pub mod unproven_machines;
pub mod write_buffer;
