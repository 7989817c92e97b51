#pragma once

#include <contracts/servicekind.h>
#include <journal/record.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ProgramsTest {

/// A call of a program, determined by the program's identifier and the call's number.
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

/// The output that all backend servers return; depends on the whole history.
std::string answer(const std::vector<Exchange> &history, const std::string &input);

/// Maximum number of prompt tokens for the exchanges and the input.
Base::Tokens promptTokens(const std::vector<Exchange> &history, const std::string &input);

/// The outputs of a single process without failures, given the number of ended calls and the ones
/// that ended in an error.
std::map<Base::CallNumber, std::string> runReference(const Base::ProgramId &program,
                                                     std::uint32_t callCount,
                                                     const std::set<Base::CallNumber> &errors);

/// State of a program in the journal, computed without regard to order and repeats of records.
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
