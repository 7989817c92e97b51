#pragma once

#include "record.h"

#include <journal/journal_types.h>

/// Conversion of records of one program to and from the generated types; internal to the codec.
namespace Journal {

Format::ProgramCreated toFormat(const ProgramCreated &created);
Format::CallIntent toFormat(const CallIntent &intent);
Format::CallResult toFormat(const CallResult &turn);
Format::ProgramEnded toFormat(const ProgramEnded &ended);
Format::ChildReserved toFormat(const ChildReserved &child);
Format::ChildSettled toFormat(const ChildSettled &child);
Format::ProgramState toFormat(const ProgramState &state);

ProgramCreated fromFormat(Format::ProgramCreated &&created);
CallIntent fromFormat(Format::CallIntent &&intent);
CallResult fromFormat(Format::CallResult &&turn);
ProgramEnded fromFormat(Format::ProgramEnded &&ended);
ChildReserved fromFormat(Format::ChildReserved &&child);
ChildSettled fromFormat(Format::ChildSettled &&child);
ProgramState fromFormat(Format::ProgramState &&state);

} // namespace Journal
