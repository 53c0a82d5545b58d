//! The catalogue of machine types: read from the cloud, and kept in the key-value store for restarts during an
//! outage of the cloud.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::key_value::{Change, CompareAndSwap};

use crate::capacity::{shortfalls, Shortfall};
use crate::constants::timers::{CATALOG_INTERVAL_MS, CATALOG_RETRY_DELAY_MS};
use crate::fleet::CloudRequest;
use crate::time::{PeriodicTimer, Time};

use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// Key of the catalogue kept for restarts during an outage of the cloud.
const CATALOG_KEY: &str = "t/catalog";

/// The catalogue as this controller knows it.
#[derive(Default)]
pub(super) struct CatalogState {
    /// The one in use; none before it was read for the first time.
    pub current: Option<Catalog>,
    /// The catalogue as it is in the key-value store, where known.
    pub stored: Option<Catalog>,
    read_timer: PeriodicTimer,
    /// Settings that fall short of the fleet were logged.
    shortfalls_logged: bool,
}

impl Controller {
    /// Reads the catalogue of the cloud, and until there is one also that of the key-value store.
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

    /// Writes the catalogue in use to the key-value store, if nothing is known to be there.
    pub(super) fn store_catalog(&mut self, actions: &mut Vec<Action>) {
        let (Some(catalog), None) = (&self.catalog.current, &self.catalog.stored) else {
            return;
        };
        let write = CompareAndSwap {
            expected: self.membership.epoch_unchanged().into_iter().collect(),
            changes: vec![Change::Put {
                key: CATALOG_KEY.to_owned(),
                value: serde_json::json!(catalog),
                lease_id: None,
            }],
        };
        let purpose = KvPurpose::StoreCatalog(catalog.clone());
        call_store(actions, purpose, KvRequest::CompareAndSwap(write));
    }

    /// The cloud returned its catalogue, or did not.
    pub(super) fn cloud_catalog_answered(&mut self, now: Time, catalog: Option<Catalog>) {
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

    /// The stored catalogue was read, or not. One from the cloud is newer.
    pub(super) fn stored_catalog_answered(&mut self, response: KvResponse) {
        if let (KvResponse::Found(pair), None) = (response, &self.catalog.current) {
            self.catalog.current = serde_json::from_value(pair.value).ok();
            self.catalog.stored.clone_from(&self.catalog.current);
        }
    }

    /// The catalogue was written, or not.
    pub(super) fn catalog_write_answered(&mut self, catalog: Catalog, response: &KvResponse) {
        // One that is larger than a value may be is done without.
        if let KvResponse::Committed(_) | KvResponse::TooLarge = response {
            self.catalog.stored = Some(catalog);
        }
    }

    /// Logs once which settings fall short of the fleet that the guarantees imply.
    fn warn_of_shortfalls(&mut self, catalog: &Catalog) {
        if std::mem::replace(&mut self.catalog.shortfalls_logged, true) {
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
                    "fewer sockets than guaranteed machines: workers of a single controller share connections"
                ),
                Shortfall::KeyValueWrites {
                    machines,
                    write_rps_needed,
                } => tracing::warn!(
                    machines,
                    write_rps_needed,
                    write_rps = self.settings.facts.key_value_store.changes_per_s,
                    "write rate too low: recording launches on all guaranteed machines exceeds the worker lease"
                ),
            }
        }
    }
}
