#pragma once

#include "codec.h"

#include <journal/journal_types.h>

/// Conversion between the journal's types and the generated ones; internal to the codec.
namespace Journal {

Format::Record toFormat(const Record &record);
Format::PartitionState toFormat(const PartitionState &partition);

/// Returns nothing if this version does not know the kind of the record.
std::optional<Record> fromFormat(Format::Record &&record);
PartitionState fromFormat(Format::PartitionState &&partition);

} // namespace Journal
