//! INI files with line numbers, and checks that report every fault at once.

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
