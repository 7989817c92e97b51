#include "tablefixture.h"

#include <base/partition.h>
#include <base/random.h>

#include <criterion/criterion.h>

using namespace Programs;

namespace ProgramsTest {

namespace {

const Base::TeamId team("team");
const Base::KeyId key("key");

} // namespace

ProgramLimits TableFixture::defaultLimits()
{
    return ProgramLimitsBuilder().partitionCount(1).build();
}

TableFixture::TableFixture(const ProgramLimits &limits)
    : limits_(limits)
{
    restart();
}

void TableFixture::restart(std::vector<Journal::Record> uncertain)
{
    const Base::PartitionId partition(0);
    pending.clear();
    table = std::make_unique<ProgramTable>(limits_);
    table->partitionAcquired(partition, Base::Epoch(1), now);
    table->recover(partition, journal, uncertain, now);
    collect();
}

CreateProgram TableFixture::creation(std::int64_t budget)
{
    CreateProgram create;
    create.request = Base::RequestId(++lastRequest_);
    create.program = Base::ProgramId("p");
    create.team = team;
    create.key = key;
    create.budget = Base::Tokens(budget);
    return create;
}

void TableFixture::createProgram(std::int64_t budget, std::uint32_t maxCalls)
{
    CreateProgram create = creation(budget);
    create.maxCalls = maxCalls;
    table->create(create, now);
    commitAll();
}

SubmitCall TableFixture::call(std::uint32_t number, const std::string &input)
{
    SubmitCall call;
    call.request = Base::RequestId(++lastRequest_);
    call.program = Base::ProgramId("p");
    call.team = team;
    call.key = key;
    call.number = Base::CallNumber(number);
    call.bodyHash = Base::BodyHash(Base::hash64(input));
    call.service = Base::ServiceId("planner");
    call.isIdempotent = true;
    call.input = input;
    return call;
}

SubmitCall TableFixture::toolCall(std::uint32_t number, const std::string &input)
{
    SubmitCall tool = call(number, input);
    tool.service = Base::ServiceId("orders");
    tool.kind = Contracts::ServiceKind::Plain;
    tool.isIdempotent = false;
    return tool;
}

Base::RequestId TableFixture::submit(SubmitCall call)
{
    const Base::RequestId request = call.request;
    table->submit(std::move(call), now);
    collect();
    return request;
}

void TableFixture::endProgram(const std::string &program)
{
    table->end({Base::RequestId(++lastRequest_), Base::ProgramId(program), team}, now);
    collect();
}

void TableFixture::complete(DispatchId dispatch, const std::string &output)
{
    table->dispatchFinished(
        dispatch, DispatchCompleted{output, Base::Tokens(10), Base::Tokens(5)}, now);
    collect();
}

void TableFixture::fail(DispatchId dispatch, Base::Ran ran)
{
    DispatchFailed failure;
    failure.error.code = Base::ErrorCode::BackendFailed;
    failure.error.step = Base::Step::Backend;
    failure.error.peer = "server";
    failure.error.ran = ran;
    table->dispatchFinished(dispatch, failure, now);
    collect();
}

void TableFixture::passTime(Base::Duration duration)
{
    now += duration;
    table->tick(now);
    collect();
}

void TableFixture::collect()
{
    for (ProgramAction &action : table->takeActions()) {
        if (const auto *append = std::get_if<AppendRecords>(&action)) {
            pending.push_back(*append);
        }
        log.push_back(std::move(action));
    }
}

void TableFixture::commitAll()
{
    collect();
    while (!pending.empty()) {
        for (const AppendRecords &append : std::exchange(pending, {})) {
            journal.insert(journal.end(), append.records.begin(), append.records.end());
            table->committed(append.ticket, now);
        }
        collect();
    }
}

void TableFixture::refuseAll()
{
    Base::Error error;
    error.code = Base::ErrorCode::Unavailable;
    error.step = Base::Step::Journal;
    error.peer = "platform";
    for (const AppendRecords &append : std::exchange(pending, {})) {
        table->appendRefused(append.ticket, error, now);
    }
    collect();
}

Base::Error TableFixture::errorOf(Base::RequestId request) const
{
    for (const ReplyError &reply : all<ReplyError>()) {
        if (reply.request == request) {
            return reply.error;
        }
    }
    cr_assert_fail("request %lu got no error", static_cast<unsigned long>(request.value()));
    return {};
}

bool TableFixture::isDone(Base::RequestId request) const
{
    const std::vector<ReplyDone> replies = all<ReplyDone>();
    return std::ranges::any_of(
        replies, [request](const ReplyDone &reply) { return reply.request == request; });
}

ReplyDescription TableFixture::description(const std::string &program)
{
    table->describe({Base::RequestId(++lastRequest_), Base::ProgramId(program), team}, now);
    collect();
    return last<ReplyDescription>();
}

} // namespace ProgramsTest
