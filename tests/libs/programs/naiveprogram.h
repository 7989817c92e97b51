#pragma once

#include <contracts/servicekind.h>
#include <journal/record.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ProgramsTest {

/// A call that a program makes; a function of the program's id and the call's number.
struct ScriptedCall
{
    Contracts::ServiceKind kind = Contracts::ServiceKind::Model;
    bool isIdempotent = true;
    std::string input;
};

struct Exchange
{
    std::string input;
    std::string output;
};

ScriptedCall scriptedCall(const Base::ProgramId &program, Base::CallNumber number);

/// The output that every backend server gives; depends on all that came before.
std::string answer(const std::vector<Exchange> &history, const std::string &input);

/// Most tokens that an engine can make of the exchanges and the input.
Base::Tokens promptTokens(const std::vector<Exchange> &history, const std::string &input);

/// What a single process without failures makes of the script, given only how many calls ended
/// and which of them ended in an error.
std::map<Base::CallNumber, std::string> runNaively(const Base::ProgramId &program,
                                                   std::uint32_t callCount,
                                                   const std::set<Base::CallNumber> &errors);

/// What the journal says of a program, read without any regard to order or repeats.
struct JournalView
{
    Base::Tokens budget;
    Base::Tokens charged;
    Base::Tokens liveChildren;
    std::map<Base::CallNumber, std::string> outputs;
    std::set<Base::CallNumber> errors;
    bool isCreated = false;
    bool isEnded = false;

    std::uint32_t callCount() const;
};

JournalView viewOf(const std::vector<Journal::Record> &journal, const Base::ProgramId &program);

} // namespace ProgramsTest
