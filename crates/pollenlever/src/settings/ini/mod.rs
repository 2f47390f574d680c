//! INI parsing with line numbers. All faults of a file are collected and reported together.

mod document;
mod entry;
mod expected;
mod fault;
mod faults;
mod section;
mod section_reader;
pub mod values;

pub use document::Document;
pub use entry::Entry;
pub use expected::Expected;
pub use fault::Fault;
pub use faults::Faults;
pub use section::Section;
pub use section_reader::SectionReader;
