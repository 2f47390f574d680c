//! A relay that delays or cuts links.
