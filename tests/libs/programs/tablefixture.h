#pragma once

#include <programs/programtable.h>

#include <string>

namespace ProgramsTest {

using namespace std::chrono_literals;

/// A table with one partition, a journal that commits on demand, and helpers to call the table.
class TableFixture
{
public:
    explicit TableFixture(const Programs::ProgramLimits &limits = defaultLimits());

    static Programs::ProgramLimits defaultLimits();

    /// Creates and commits program "p" of team "team" with key "key".
    void createProgram(std::int64_t budget = 100'000, std::uint32_t maxCalls = 0);
    Programs::CreateProgram creation(std::int64_t budget);
    Programs::SubmitCall call(std::uint32_t number, const std::string &input = "input");
    Programs::SubmitCall toolCall(std::uint32_t number, const std::string &input = "order");
    /// Submits and returns the request's id.
    Base::RequestId submit(Programs::SubmitCall call);
    void endProgram(const std::string &program);
    void complete(Programs::DispatchId dispatch, const std::string &output);
    void fail(Programs::DispatchId dispatch, Base::Ran ran);
    void passTime(Base::Duration duration);

    /// Moves actions to the log and appends to the pending list.
    void collect();
    /// Commits all pending appends, including those that result from commits.
    void commitAll();
    void refuseAll();
    /// Replaces the table by a new one that recovers from the committed records.
    void restart(std::vector<Journal::Record> uncertain = {});

    template<typename Action>
    std::vector<Action> all() const;
    template<typename Action>
    Action last() const;
    template<typename Action>
    size_t count() const
    {
        return all<Action>().size();
    }
    /// The error of the request; fails the test if there is none.
    Base::Error errorOf(Base::RequestId request) const;
    bool isDone(Base::RequestId request) const;
    Programs::ReplyDescription description(const std::string &program = "p");

    std::unique_ptr<Programs::ProgramTable> table;
    Base::Instant now{1000s};
    std::vector<Programs::ProgramAction> log;
    std::vector<Programs::AppendRecords> pending;
    std::vector<Journal::Record> journal;

private:
    Programs::ProgramLimits limits_;
    std::uint64_t lastRequest_ = 0;
};

template<typename Action>
std::vector<Action> TableFixture::all() const
{
    std::vector<Action> found;
    for (const Programs::ProgramAction &action : log) {
        if (const auto *match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

template<typename Action>
Action TableFixture::last() const
{
    const std::vector<Action> found = all<Action>();
    return found.empty() ? Action{} : found.back();
}

} // namespace ProgramsTest
