//! The catalog of machine types: read from the cloud, and stored in the key-value store for restarts during an outage
//! of the cloud.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::key_value::{Change, CompareAndSwap};

use crate::capacity::{shortfalls, Shortfall};
use crate::constants::timers::{CATALOG_INTERVAL_MS, CATALOG_RETRY_DELAY_MS};
use crate::fleet::CloudRequest;
use crate::time::{PeriodicTimer, Time};

use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// Key of the stored catalog.
const CATALOG_KEY: &str = "t/catalog";

/// The catalog, and the state of reading and storing it.
#[derive(Default)]
pub(super) struct CatalogState {
    /// Catalog in use; `None` until the first is read.
    pub current: Option<Catalog>,
    /// Catalog in the key-value store, or one that is too large to store; `None` if unknown.
    pub stored: Option<Catalog>,
    read_timer: PeriodicTimer,
    /// Whether the shortfalls of the settings have been logged.
    has_logged_shortfalls: bool,
}

impl Controller {
    /// Reads the catalog from the cloud when due, and also from the key-value store while none is in use.
    pub(super) fn refresh_catalog(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.catalog.read_timer.is_due(now) {
            return;
        }
        if self.catalog.current.is_none() {
            let request = KvRequest::Get(CATALOG_KEY.to_owned());
            call_store(actions, KvPurpose::ReadCatalog, request);
        }
        self.catalog.read_timer.mark_sent(now, CATALOG_INTERVAL_MS);
        actions.push(Action::CallCloud(CloudRequest::ReadCatalog));
    }

    /// Writes the catalog in use to the key-value store, unless one is known to be stored.
    pub(super) fn store_catalog(&mut self, actions: &mut Vec<Action>) {
        let (Some(catalog), None) = (&self.catalog.current, &self.catalog.stored) else {
            return;
        };
        let write = CompareAndSwap {
            expected: self.membership.epoch_condition().into_iter().collect(),
            changes: vec![Change::Put {
                key: CATALOG_KEY.to_owned(),
                value: serde_json::json!(catalog),
                lease_id: None,
            }],
        };
        let purpose = KvPurpose::StoreCatalog(catalog.clone());
        call_store(actions, purpose, KvRequest::CompareAndSwap(write));
    }

    /// Processes the catalog from the cloud; `None` after a failed request.
    pub(super) fn process_cloud_catalog(&mut self, now: Time, catalog: Option<Catalog>) {
        let Some(catalog) = catalog else {
            self.catalog
                .read_timer
                .schedule_next(now, CATALOG_RETRY_DELAY_MS);
            return;
        };
        self.catalog.read_timer.is_in_flight = false;
        self.warn_of_shortfalls(&catalog);
        self.catalog.current = Some(catalog);
    }

    /// Processes the response to the read of the stored catalog. It is ignored if one is already in use, since the
    /// cloud's is newer.
    pub(super) fn process_stored_catalog(&mut self, response: KvResponse) {
        if let (KvResponse::Found(pair), None) = (response, &self.catalog.current) {
            self.catalog.current = serde_json::from_value(pair.value).ok();
            self.catalog.stored.clone_from(&self.catalog.current);
        }
    }

    /// Processes the response to the write of the catalog.
    pub(super) fn process_catalog_write_response(
        &mut self,
        catalog: Catalog,
        response: &KvResponse,
    ) {
        // A catalog that exceeds the value limit is not stored, and the write is not repeated.
        if let KvResponse::Committed(_) | KvResponse::TooLarge = response {
            self.catalog.stored = Some(catalog);
        }
    }

    /// Logs once which limits in the settings are too low for the fleet that the guaranteed quotas require.
    fn warn_of_shortfalls(&mut self, catalog: &Catalog) {
        if std::mem::replace(&mut self.catalog.has_logged_shortfalls, true) {
            return;
        }
        for shortfall in shortfalls(&self.settings, catalog) {
            match shortfall {
                Shortfall::Connections {
                    machines,
                    sockets_needed,
                } => tracing::warn!(
                    machines,
                    sockets_needed,
                    sockets = self.settings.facts.limits.sockets,
                    "fewer sockets than guaranteed machines; with a single controller, workers share connections"
                ),
                Shortfall::KeyValueWrites {
                    machines,
                    write_rps_needed,
                } => tracing::warn!(
                    machines,
                    write_rps_needed,
                    write_rps = self.settings.facts.key_value_store.changes_per_s,
                    "write limit too low to record launches on all guaranteed machines within the worker lease"
                ),
            }
        }
    }
}
