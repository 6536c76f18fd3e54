//! Metrics and the report on service-level burn.
