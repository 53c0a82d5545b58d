//! Message types of worksshunt, for the service and its clients.
//!
//! There is one module per interface. The network package encodes and decodes the messages; the core decides on them.
//! The Rust names are standard terms. The names of the protocol appear only in serde attributes, in the paths of
//! clients and routes, and in this table:
//!
//! | interface | protocol | Rust |
//! | --- | --- | --- |
//! | users ([`user`]) | `/v2/runs` | [`JobSpec`](user::JobSpec), [`JobStatus`](user::JobStatus) |
//! | | `/v2/runs/{id}/withdraw` | cancel |
//! | | `Ref` | `id` |
//! | | `Carril` | `class` |
//! | | `Cuadrilla` | `team` |
//! | | `Oficio` | `kind` |
//! | | `standing` | [`JobKind::Service`](user::JobKind::Service) |
//! | | `Turno` | `priority` |
//! | | `Piezas` | `task_count` |
//! | | `Cores` | `cpus` |
//! | | `Gpus` | `gpus` |
//! | | `RamGb` | `memory_gb` |
//! | | `Molde` | `image` |
//! | | `SizeGb` | `image_gb` |
//! | | `Modelos` | `machine_types` |
//! | | `Patio` | `zone` |
//! | | `SamePlace` | `needs_single_zone` |
//! | | `Spread` | `needs_zone_spread` |
//! | | `Prestados` | `allows_spot` |
//! | | `CalculoS` | `estimated_runtime_s` |
//! | | `RespaldoS` | `checkpoint_interval_s` |
//! | | `GuardadoS` | `checkpoint_duration_s` |
//! | | `EntregaS` | `deadline_s` |
//! | | `Estado` | `state` |
//! | | `done` | `done_tasks` |
//! | | `running` | `running_tasks` |
//! | | `aborted` | [`JobState::Cancelled`](user::JobState::Cancelled) |
//! | workers ([`worker`]) | `/checkin` | [`Heartbeat`](worker::Heartbeat), [`HeartbeatResponse`](worker::HeartbeatResponse) |
//! | | `/orders` | [`CommandBatch`](worker::CommandBatch) |
//! | | `Estiba` | `machine` |
//! | | `Addr` | `command_address` |
//! | | `Modelo` | `machine_type` |
//! | | `Patio` | `zone` |
//! | | `Prestados` | `is_spot` |
//! | | `Jornada` | `incarnation` |
//! | | `Folio` | `sequence` |
//! | | `Vara` | `fencing_token` |
//! | | `AvisoS` | `reclaim_notice_s` |
//! | | `Piezas` | `tasks` |
//! | | `Pieza` | `task` |
//! | | `Intento` | `attempt` |
//! | | `Estado` | `state` |
//! | | `Motivo` | `exit_reason` |
//! | | `full` | [`ExitReason::InsufficientResources`](worker::ExitReason::InsufficientResources) |
//! | | `no_such` | [`ExitReason::Unknown`](worker::ExitReason::Unknown) |
//! | | `Saved` | `is_checkpoint_saved` |
//! | | `Ordenes` | `commands` |
//! | | `Orden` | the variant of [`Command`](worker::Command) |
//! | | `GraciaS` | `grace_s` |
//! | | `Capataz` | `controller` |
//! | key-value store ([`key_value`]), the protocol's state service | `/holds` | [`LeaseRequest`](key_value::LeaseRequest), [`Lease`](key_value::Lease) |
//! | | `/kv` | [`KeyValue`](key_value::KeyValue), [`Listing`](key_value::Listing) |
//! | | `/txn` | [`CompareAndSwap`](key_value::CompareAndSwap) |
//! | | `/follow` | watch, [`WatchResponse`](key_value::WatchResponse) |
//! | | `Starts`, `Since`, `Most`, `WaitMs` | prefix, key or revision to continue after, items of a page, time to wait |
//! | | `TtlMs` | `ttl_ms` |
//! | | `Permiso` | `id` of a `Lease`, `lease_id` of a `Put` |
//! | | `K` | `key` |
//! | | `V` | `value` |
//! | | `Sello` | `version` |
//! | | `Corte` | `revision` |
//! | | `Pairs` | `pairs` |
//! | | `More` | `has_more` |
//! | | `If` | `expected` |
//! | | `Then` | `changes` |
//! | | `Set` | `key` of a `Put` |
//! | | `Remove` | `key` of a `Delete` |
//! | | `Events` | `events` |
//! | | `failed` | `failed_keys` |
//! | cloud ([`cloud`]) | `/catalog` | [`Catalog`](cloud::Catalog) |
//! | | `/machines` | [`ProvisionRequest`](cloud::ProvisionRequest), [`MachineList`](cloud::MachineList) |
//! | | `/machines/return` | release, [`MachineIds`](cloud::MachineIds) |
//! | | `Since`, `Most` | name to continue after, items of a page |
//! | | `Modelos` | `machine_types` |
//! | | `Name` | `name` |
//! | | `Cores` | `cpus` |
//! | | `Gpus` | `gpus` |
//! | | `RamGb` | `memory_gb` |
//! | | `Rate` | `on_demand_price` |
//! | | `LowPrice` | `spot_price` |
//! | | `ReadyS` | `boot_s` |
//! | | `PullGbPerS` | `image_pull_gb_per_s` |
//! | | `Patios` | `zones` |
//! | | `Pedido` | `request_name` |
//! | | `Modelo` | `machine_type` |
//! | | `Patio` | `zone` |
//! | | `Prestados` | `is_spot` |
//! | | `Number` | `machine_count` |
//! | | `Estibas` | `machines` of a list, `ids` of [`MachineIds`](cloud::MachineIds) |
//! | | `Ref` | `id` |
//! | | `Estado` | `state` |
//! | | `AgeS` | `age_s` |
//! | | `More` | `has_more` |
//! | settings ([`settings`]) | `site` | `zone` |
//! | | `known` | `peers` |
//! | | `state` | `key_value_store` |
//! | | `times` | `deadline_factor` |
//! | | `cpus` | `guaranteed_cpus` |
//! | | `cpus_max` | `max_cpus` |
//! | | `gpus` | `guaranteed_gpus` |
//! | | `gpus_max` | `max_gpus` |
//! | | `report_s` | `heartbeat_interval_s` |
//! | | `rps` | `requests_per_s` |
//! | | `write_rps` | `changes_per_s` |
//! | | `value_kb` | `max_value_kib` |
//! | | `txn_ops` | `max_transaction_changes` |
//! | | `next` | `announced` |
//! | | `mem_mb` | `memory_mb` |
//!
//! All other settings have the same name in the settings file. Messages between controllers ([`peer`]) are encoded
//! without names.

pub mod cloud;
pub mod ids;
pub mod key_value;
pub mod peer;
pub mod settings;
pub mod user;
pub mod worker;

pub use ids::{
    AttemptId, ControllerName, Epoch, FencingToken, Incarnation, JobId, MachineId, Revision,
    TaskId, TeamName,
};
