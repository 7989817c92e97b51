#include <dispatch/serverprocesses.h>

#include <criterion/criterion.h>

using namespace Dispatch;

namespace {

Base::Instant at(int seconds)
{
    return Base::Instant(std::chrono::seconds(seconds));
}

ListedServer listed(const char *id, std::uint64_t startedAt)
{
    ListedServer server;
    server.server.id = Base::ServerId(id);
    server.server.service = Base::ServiceId("s");
    server.startedAt = startedAt;
    return server;
}

const ServerInstance process{Base::ServerId("a"), 1};

ServerProcesses processes()
{
    ServerProcesses result{{}};
    result.serversChanged({listed("a", 1)}, at(0));
    return result;
}

} // namespace

/// Guards against a connection to another process that counts as one to the listed one.
Test(serverprocesses, aConnectionIsCertainIfTheProcessLivedAfterwards)
{
    ServerProcesses known = processes();
    cr_assert(known.certainty(process, at(5)) == ProcessCertainty::Probable);
    known.wasAlive(process, at(6));
    cr_assert(known.certainty(process, at(5)) == ProcessCertainty::Certain);
    cr_assert(known.certainty(process, at(7)) == ProcessCertainty::Probable);
    known.mayHaveEnded(process, EndSign::Failed, at(8));
    cr_assert(known.certainty(process, at(5)) == ProcessCertainty::Certain);
    cr_assert(known.certainty(process, at(7)) == ProcessCertainty::Probable, "opened before");
    cr_assert(known.certainty(process, at(9)) == ProcessCertainty::Doubtful);
    cr_assert(known.certainty({Base::ServerId("b"), 1}, at(9)) == ProcessCertainty::Probable);
}

/// Guards against sound servers that stay under suspicion, and against later signs that hide the
/// first one.
Test(serverprocesses, aProofOfLifeEndsTheDoubt)
{
    ServerProcesses known = processes();
    known.mayHaveEnded(process, EndSign::Failed, at(8));
    known.mayHaveEnded(process, EndSign::Failed, at(10));
    cr_assert(known.certainty(process, at(9)) == ProcessCertainty::Doubtful);
    cr_assert(known.hasDoubtful(Base::ServiceId("s")));
    cr_assert(!known.hasDoubtful(Base::ServiceId("t")));
    known.wasAlive(process, at(7));
    cr_assert(known.certainty(process, at(9)) == ProcessCertainty::Doubtful, "an old proof");
    known.wasAlive(process, at(8));
    cr_assert(known.certainty(process, at(9)) == ProcessCertainty::Probable);
    cr_assert_eq(known.doubtfulCount(), 1, "the later sign");
    known.wasAlive(process, at(10));
    cr_assert_eq(known.doubtfulCount(), 0);
}

/// Guards against sound servers that count as ended because they close idle connections.
Test(serverprocesses, anIdleConnectionThatWasClosedLeavesTheProcessUnsure)
{
    ServerProcesses known = processes();
    known.mayHaveEnded(process, EndSign::IdleClosed, at(8));
    cr_assert(known.certainty(process, at(7)) == ProcessCertainty::Probable);
    cr_assert(known.certainty(process, at(9)) == ProcessCertainty::Unsure);
    cr_assert(!known.hasDoubtful(Base::ServiceId("s")));
    known.mayHaveEnded(process, EndSign::Failed, at(10));
    cr_assert(known.certainty(process, at(9)) == ProcessCertainty::Unsure);
    cr_assert(known.certainty(process, at(11)) == ProcessCertainty::Doubtful);
    known.wasAlive(process, at(10));
    cr_assert(known.certainty(process, at(11)) == ProcessCertainty::Probable);
}

/// Guards against a response of an unlisted process that counts as a proof of the listed one.
Test(serverprocesses, onlyCertainConnectionsProveLife)
{
    ServerProcesses known = processes();
    known.responded(process, at(5), at(6));
    cr_assert(known.certainty(process, at(4)) == ProcessCertainty::Probable);
    known.wasAlive(process, at(5));
    known.responded(process, at(5), at(9));
    cr_assert(known.certainty(process, at(8)) == ProcessCertainty::Certain);
}

/// Guards against records of streams that outlast what is known of their processes.
Test(serverprocesses, processesAreRememberedAfterTheyHaveLeft)
{
    ServerProcesses known = processes();
    known.wasAlive(process, at(5));
    known.serversChanged({listed("a", 2)}, at(10));
    cr_assert(known.certainty(process, at(4)) == ProcessCertainty::Certain);
    cr_assert(known.certainty({Base::ServerId("a"), 2}, at(4)) == ProcessCertainty::Probable);
    known.serversChanged({}, at(70));
    cr_assert(known.certainty(process, at(4)) == ProcessCertainty::Probable);
}

/// Guards against a sign that is forgotten because an earlier one was refuted: the process was
/// alive between them, not after both.
Test(serverprocesses, aProofOfLifeLeavesLaterSigns)
{
    ServerProcesses known = processes();
    known.mayHaveEnded(process, EndSign::Failed, at(8));
    known.mayHaveEnded(process, EndSign::Failed, at(10));
    known.wasAlive(process, at(9));
    cr_expect(known.certainty(process, at(11)) == ProcessCertainty::Doubtful);
    cr_expect(known.hasDoubtful(Base::ServiceId("s")));
}

/// Guards against an entry that a late heartbeat of the process before brings back: a process whose
/// successor has been listed has ended.
Test(serverprocesses, aProcessIsNotAliveAfterItsSuccessorWasListed)
{
    ServerProcesses known = processes();
    known.serversChanged({listed("a", 2)}, at(6));
    known.serversChanged({listed("a", 1)}, at(11));
    known.wasAlive(process, at(7));
    cr_expect(known.certainty(process, at(5)) != ProcessCertainty::Certain);
}
