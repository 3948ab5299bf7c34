//! HTTP form.
