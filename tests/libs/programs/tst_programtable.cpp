#include "tablefixture.h"

#include <criterion/criterion.h>

using namespace Programs;
using namespace ProgramsTest;
using Base::ErrorCode;
using Base::Ran;
using Base::Step;

Test(programtable, numbersRunInOrder)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId second = f.submit(f.call(2, "b"));
    cr_assert_eq(f.count<StartDispatch>(), 0U, "an early call waits");
    f.submit(f.call(1, "a"));
    cr_assert_eq(f.last<StartDispatch>().number, Base::CallNumber(1));
    f.complete(DispatchId(1), "A");
    cr_assert_eq(f.count<StartDispatch>(), 1U, "the result is not committed yet");
    f.commitAll();
    cr_assert_eq(f.last<StartDispatch>().number, Base::CallNumber(2));
    cr_assert_eq(f.last<StartDispatch>().history->size(), 1U);
    f.complete(DispatchId(2), "B");
    f.commitAll();
    cr_assert(f.isDone(second));
    cr_assert_eq(f.description().history->at(1)->output(), "B");
}

Test(programtable, earlyNumbersAreParkedWithinBounds)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId parked = f.submit(f.call(3));
    const Base::RequestId far = f.submit(f.call(500));
    cr_assert_eq(f.errorOf(far).code, ErrorCode::NumberConflict);
    cr_assert(f.all<ReplyError>().size() == 1);
    f.passTime(2s);
    cr_assert_eq(f.errorOf(parked).code, ErrorCode::NumberConflict);
    cr_assert_eq(f.errorOf(parked).ran, Ran::NotRun);
    cr_assert_eq(f.errorOf(parked).step, Step::Order);
}

Test(programtable, doneIsReportedAfterTheCommitAndOutputBefore)
{
    TableFixture f;
    f.createProgram();
    SubmitCall call = f.call(1);
    call.isStream = true;
    const Base::RequestId request = f.submit(call);
    f.table->outputReceived(DispatchId(1), "so", Base::Tokens(1), f.now);
    f.collect();
    cr_assert_eq(f.last<ReplyOutput>().text, "so");
    f.complete(DispatchId(1), "soup");
    cr_assert_eq(f.last<ReplyOutput>().text, "up");
    cr_assert_not(f.isDone(request));
    f.commitAll();
    cr_assert(f.isDone(request));
}

Test(programtable, repeatedRequestAttachesOrGetsTheRecordedAnswer)
{
    TableFixture f;
    f.createProgram();
    SubmitCall stream = f.call(1);
    stream.isStream = true;
    const Base::RequestId first = f.submit(f.call(1));
    f.table->outputReceived(DispatchId(1), "so", Base::Tokens(1), f.now);
    const Base::RequestId second = f.submit(stream);
    cr_assert_eq(f.last<ReplyOutput>().text,
                 "so",
                 "a stream that joins late gets the answer from its start");
    f.complete(DispatchId(1), "soup");
    f.commitAll();
    cr_assert(f.isDone(first) && f.isDone(second));
    const Base::RequestId repeat = f.submit(f.call(1));
    cr_assert(f.isDone(repeat));
    cr_assert(f.last<ReplyDone>().isRepeat);
    cr_assert_eq(f.last<ReplyDone>().turn->output(), "soup");
    cr_assert_eq(f.count<StartDispatch>(), 1U);
}

Test(programtable, anotherBodyIsAConflict)
{
    TableFixture f;
    f.createProgram();
    f.submit(f.call(1, "a"));
    const Base::RequestId running = f.submit(f.call(1, "b"));
    f.complete(DispatchId(1), "A");
    f.commitAll();
    const Base::RequestId recorded = f.submit(f.call(1, "b"));
    cr_assert_eq(f.errorOf(running).code, ErrorCode::NumberConflict);
    cr_assert_eq(f.errorOf(recorded).code, ErrorCode::NumberConflict);
}

Test(programtable, programsOfOtherTeamsAreUnknown)
{
    TableFixture f;
    f.createProgram();
    SubmitCall foreign = f.call(1);
    foreign.team = Base::TeamId("other");
    SubmitCall unknown = f.call(1);
    unknown.program = Base::ProgramId("nowhere");
    const Base::RequestId a = f.submit(foreign);
    const Base::RequestId b = f.submit(unknown);
    cr_assert_eq(f.errorOf(a).code, ErrorCode::UnknownProgram);
    cr_assert(f.errorOf(a) == f.errorOf(b));
    cr_assert_eq(f.count<StartDispatch>(), 0U);
}

Test(programtable, intentIsCommittedBeforeTheDispatch)
{
    TableFixture f;
    f.createProgram();
    f.submit(f.toolCall(1));
    cr_assert_eq(f.count<StartDispatch>(), 0U);
    cr_assert(std::holds_alternative<Journal::CallIntent>(f.pending.at(0).records.at(0).body));
    f.commitAll();
    cr_assert_eq(f.count<StartDispatch>(), 1U);
}

Test(programtable, refusedIntentIsNotRunAndLeavesTheNumberFree)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId refused = f.submit(f.toolCall(1));
    f.refuseAll();
    cr_assert_eq(f.errorOf(refused).ran, Ran::NotRun);
    cr_assert_eq(f.errorOf(refused).step, Step::Journal);
    cr_assert_eq(f.errorOf(refused).peer, "platform");
    f.submit(f.toolCall(1));
    f.commitAll();
    cr_assert_eq(f.count<StartDispatch>(), 1U);
}

Test(programtable, openIntentMayHaveRunAndIsNeverResent)
{
    TableFixture f;
    f.createProgram();
    f.submit(f.toolCall(1));
    f.commitAll();
    f.restart();
    const Base::RequestId repeat = f.submit(f.toolCall(1));
    cr_assert_eq(f.count<ReplyError>(),
                 0U,
                 "results of the recovery are committed before callers are answered");
    f.commitAll();
    cr_assert_eq(f.errorOf(repeat).ran, Ran::MayHaveRun);
    cr_assert_eq(f.errorOf(repeat).step, Step::Recover);
    cr_assert_eq(f.errorOf(f.submit(f.toolCall(1))).ran, Ran::MayHaveRun);
    cr_assert_eq(f.count<StartDispatch>(), 1U);
    f.submit(f.call(2));
    cr_assert_eq(f.last<StartDispatch>().number, Base::CallNumber(2));
}

Test(programtable, recoveryUnderAWithdrawnKeySettlesCallsBeforeItEndsPrograms)
{
    TableFixture f;
    f.createProgram(1'000);
    CreateProgram child = f.creation(400);
    child.parent = Base::ProgramId("p");
    f.table->create(child, f.now);
    f.commitAll();
    SubmitCall call = f.toolCall(1);
    call.program = Base::ProgramId("p.1");
    f.submit(call);
    f.commitAll();
    f.table->partitionLost(Base::PartitionId(0), f.now);
    f.table->keyWithdrawn(Base::KeyId("key"), f.now);
    f.table->partitionAcquired(Base::PartitionId(0), Base::Epoch(2), f.now);
    f.table->recover(Base::PartitionId(0), f.journal, {}, f.now);
    f.commitAll();
    cr_assert_eq(f.table->size(), 0U);
    const auto &found = std::get<Journal::CallResult>(f.journal.at(f.journal.size() - 4).body);
    cr_assert_eq(found.error->ran, Ran::MayHaveRun);
}

Test(programtable, uncertainIntentCountsAsCommitted)
{
    TableFixture f;
    f.createProgram();
    f.submit(f.toolCall(1));
    f.restart(f.pending.at(0).records);
    f.commitAll();
    cr_assert_eq(f.errorOf(f.submit(f.toolCall(1))).ran, Ran::MayHaveRun);
    // A second takeover finds it in the journal alone.
    f.restart();
    cr_assert_eq(f.errorOf(f.submit(f.toolCall(1))).ran, Ran::MayHaveRun);
    cr_assert_eq(f.count<StartDispatch>(), 0U);
}

Test(programtable, idempotentCallRunsAgainAfterItsOwnerWasLost)
{
    TableFixture f;
    f.createProgram();
    f.submit(f.call(1));
    f.restart();
    const Base::RequestId repeat = f.submit(f.call(1));
    f.complete(f.last<StartDispatch>().dispatch, "soup");
    f.commitAll();
    cr_assert(f.isDone(repeat));
}

Test(programtable, outputLimitIsClampedAndTheRestReturned)
{
    TableFixture f;
    f.createProgram(200);
    SubmitCall call = f.call(1, std::string(50, 'x'));
    call.maxOutputTokens = Base::Tokens(1'000);
    f.submit(call);
    const Base::Tokens limit = f.last<StartDispatch>().outputLimit;
    cr_assert(limit > Base::Tokens(50) && limit <= Base::Tokens(150));
    cr_assert_eq(f.description().budgetLeft, Base::Tokens(0));
    f.complete(DispatchId(1), "soup");
    f.commitAll();
    cr_assert_eq(f.description().spent, Base::Tokens(15));
    cr_assert_eq(f.description().budgetLeft, Base::Tokens(185));
    const Base::RequestId large = f.submit(f.call(2, std::string(500, 'x')));
    cr_assert_eq(f.errorOf(large).code, ErrorCode::OverBudget);
    cr_assert_eq(f.errorOf(large).ran, Ran::NotRun);
}

Test(programtable, childrenSpendTheParentsBudget)
{
    TableFixture f;
    f.createProgram(1'000);
    CreateProgram child = f.creation(400);
    child.parent = Base::ProgramId("p");
    f.table->create(child, f.now);
    cr_assert_eq(f.description().budgetLeft, Base::Tokens(600), "reserved before the commit");
    f.commitAll();
    cr_assert_eq(f.last<ReplyCreated>().program, Base::ProgramId("p.1"));
    CreateProgram large = f.creation(700);
    large.parent = Base::ProgramId("p");
    f.table->create(large, f.now);
    f.collect();
    cr_assert_eq(f.errorOf(large.request).code, ErrorCode::OverBudget);
    SubmitCall call = f.call(1);
    call.program = Base::ProgramId("p.1");
    f.submit(call);
    f.complete(DispatchId(1), "soup");
    f.commitAll();
    f.endProgram("p.1");
    f.commitAll();
    f.restart();
    cr_assert_eq(f.description().budgetLeft, Base::Tokens(985));
}

Test(programtable, endingAParentEndsItsChildren)
{
    TableFixture f;
    f.createProgram(1'000);
    CreateProgram child = f.creation(400);
    child.parent = Base::ProgramId("p");
    f.table->create(child, f.now);
    f.commitAll();
    f.endProgram("p");
    f.commitAll();
    cr_assert_eq(f.table->size(), 0U);
    cr_assert_eq(f.count<ReleaseEngineMemory>(), 2U);
    cr_assert_eq(f.last<ReplyEnded>().program, Base::ProgramId("p"));
    const Base::RequestId late = f.submit(f.call(1));
    cr_assert_eq(f.errorOf(late).code, ErrorCode::ProgramEnded);
    cr_assert_eq(f.errorOf(late).ran, Ran::NotRun);
}

Test(programtable, callerGoneCancelsTheStreamAndARepeatRunsAgain)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId first = f.submit(f.call(1));
    f.table->callerGone(first, f.now);
    f.collect();
    cr_assert_eq(f.last<CancelDispatch>().dispatch, DispatchId(1));
    const Base::RequestId repeat = f.submit(f.call(1));
    f.fail(DispatchId(1), Ran::MayHaveRun);
    f.commitAll();
    cr_assert_eq(f.count<StartDispatch>(), 2U);
    f.complete(DispatchId(2), "soup");
    f.commitAll();
    cr_assert(f.isDone(repeat));
    cr_assert(f.description().spent > Base::Tokens(15), "the cancelled run is charged too");
}

Test(programtable, cancelledCallThatCannotRunAgainUnblocksTheNext)
{
    TableFixture f;
    f.createProgram(100);
    f.table->callerGone(f.submit(f.call(1, std::string(40, 'x'))), f.now);
    const Base::RequestId repeat = f.submit(f.call(1, std::string(40, 'x')));
    f.submit(f.toolCall(2));
    f.fail(DispatchId(1), Ran::MayHaveRun);
    f.commitAll();
    cr_assert_eq(f.errorOf(repeat).code, ErrorCode::OverBudget);
    cr_assert_eq(
        f.errorOf(repeat).ran, Ran::MayHaveRun, "its first run may have reached the server");
    cr_assert_eq(f.last<StartDispatch>().number, Base::CallNumber(2));
}

Test(programtable, callerGoneLeavesANonIdempotentCallRunning)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId first = f.submit(f.toolCall(1));
    f.commitAll();
    f.table->callerGone(first, f.now);
    f.collect();
    cr_assert_eq(f.count<CancelDispatch>(), 0U);
    f.complete(DispatchId(1), "ordered");
    f.commitAll();
    cr_assert(f.isDone(f.submit(f.toolCall(1))));
}

Test(programtable, hangingToolEndsInMayHaveRun)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId request = f.submit(f.toolCall(1));
    f.commitAll();
    f.passTime(10min);
    f.commitAll();
    cr_assert_eq(f.errorOf(request).ran, Ran::MayHaveRun);
    cr_assert_eq(f.errorOf(request).code, ErrorCode::Timeout);
    f.complete(DispatchId(1), "late");
    cr_assert(f.pending.empty(), "the late answer is dropped");
    cr_assert_eq(f.errorOf(f.submit(f.toolCall(1))).ran, Ran::MayHaveRun);
}

Test(programtable, toolThatWasNotReachedMayRunAgain)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId request = f.submit(f.toolCall(1));
    f.commitAll();
    f.fail(DispatchId(1), Ran::NotRun);
    f.commitAll();
    cr_assert_eq(f.errorOf(request).ran, Ran::NotRun);
    f.restart();
    cr_assert(f.pending.empty(), "no open intent is left");
    f.submit(f.toolCall(1));
    f.commitAll();
    cr_assert_eq(f.count<StartDispatch>(), 2U);
}

Test(programtable, withdrawnKeyStopsCallsAndEndsPrograms)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId running = f.submit(f.call(1));
    const Base::RequestId parked = f.submit(f.call(2));
    f.table->keyWithdrawn(Base::KeyId("key"), f.now);
    f.collect();
    cr_assert_eq(f.errorOf(running).ran, Ran::MayHaveRun);
    cr_assert_eq(f.errorOf(parked).ran, Ran::NotRun);
    cr_assert_eq(f.errorOf(parked).code, ErrorCode::Unauthorized);
    cr_assert_eq(f.count<CancelDispatch>(), 1U);
    f.passTime(5s);
    f.commitAll();
    cr_assert_eq(f.last<ReleaseEngineMemory>().program, Base::ProgramId("p"));
    cr_assert_eq(f.table->size(), 0U);
}

Test(programtable, withdrawnKeyStopsACallBeforeItsDispatch)
{
    TableFixture f;
    f.createProgram();
    SubmitCall call = f.toolCall(1);
    call.key = Base::KeyId("second");
    const Base::RequestId request = f.submit(call);
    f.table->keyWithdrawn(Base::KeyId("second"), f.now);
    f.commitAll();
    cr_assert_eq(f.count<StartDispatch>(), 0U);
    cr_assert_eq(f.errorOf(request).ran, Ran::NotRun);
    cr_assert(f.table->isLive(Base::ProgramId("p")));
}

Test(programtable, callOfAWithdrawnKeyContinuesUnderAnotherCallersKey)
{
    TableFixture f;
    f.createProgram();
    SubmitCall call = f.toolCall(1);
    call.key = Base::KeyId("second");
    f.submit(call);
    const Base::RequestId other = f.submit(f.toolCall(1));
    f.table->keyWithdrawn(Base::KeyId("second"), f.now);
    f.table->callerGone(other, f.now);
    f.commitAll();
    cr_assert_eq(f.last<StartDispatch>().key, Base::KeyId("key"));
}

Test(programtable, deadlineAndIdleTimeoutEndPrograms)
{
    TableFixture f;
    CreateProgram create = f.creation(1'000);
    create.deadline = f.now + 60s;
    f.table->create(create, f.now);
    f.commitAll();
    f.passTime(60s);
    f.commitAll();
    cr_assert_eq(f.description().endReason, Journal::EndReason::DeadlinePassed);
    TableFixture idle;
    idle.createProgram();
    idle.passTime(30min);
    idle.commitAll();
    cr_assert_eq(idle.description().endReason, Journal::EndReason::Expired);
    cr_assert_eq(idle.count<ReleaseEngineMemory>(), 1U);
}

Test(programtable, refusedCallsDoNotKeepAProgramAlive)
{
    TableFixture f;
    f.createProgram(10);
    for (int minute = 0; minute < 30; ++minute) {
        f.submit(f.call(1, std::string(500, 'x')));
        f.passTime(59s);
        f.submit(f.call(2));
        f.passTime(1s);
    }
    f.commitAll();
    cr_assert_eq(f.description().endReason, Journal::EndReason::Expired);
}

Test(programtable, lastCallReleasesEngineMemory)
{
    TableFixture f;
    f.createProgram(100'000, 1);
    f.submit(f.call(1));
    f.complete(DispatchId(1), "soup");
    f.commitAll();
    cr_assert_eq(f.count<ReleaseEngineMemory>(), 1U);
    cr_assert_eq(f.errorOf(f.submit(f.call(2))).code, ErrorCode::OverBudget);
    cr_assert(f.isDone(f.submit(f.call(1))), "the recorded answer stays");
}

Test(programtable, refusedResultIsRepeatedUntilItCommits)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId request = f.submit(f.toolCall(1));
    f.commitAll();
    f.complete(DispatchId(1), "ordered");
    f.refuseAll();
    cr_assert_not(f.isDone(request));
    f.passTime(30s);
    cr_assert_eq(f.errorOf(request).ran,
                 Ran::Ran,
                 "the caller learns after the commit timeout that the call ran");
    f.commitAll();
    cr_assert(f.isDone(f.submit(f.toolCall(1))));
    cr_assert_eq(f.count<StartDispatch>(), 1U);
}

Test(programtable, fencedOwnerReportsWhetherCallsRan)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId intending = f.submit(f.toolCall(1));
    const Base::RequestId parked = f.submit(f.call(2));
    f.table->fenced(f.now);
    f.collect();
    cr_assert_eq(f.errorOf(intending).ran, Ran::NotRun);
    cr_assert_eq(f.errorOf(parked).ran, Ran::NotRun);
    f.table->committed(f.pending.at(0).ticket, f.now);
    f.collect();
    cr_assert_eq(f.count<StartDispatch>(), 0U, "no call starts after the fencing");
    cr_assert_eq(f.errorOf(f.submit(f.call(1))).step, Step::Route);
}

Test(programtable, leavingPartitionFinishesRunningCallsAndAcceptsNoNewOnes)
{
    TableFixture f;
    f.createProgram();
    const Base::RequestId running = f.submit(f.call(1));
    f.table->partitionLeaving(Base::PartitionId(0), f.now);
    const Base::RequestId refused = f.submit(f.call(2));
    cr_assert_eq(f.errorOf(refused).ran, Ran::NotRun);
    cr_assert(f.table->isBusy(Base::PartitionId(0)));
    f.complete(DispatchId(1), "soup");
    f.commitAll();
    cr_assert(f.isDone(running));
    cr_assert_not(f.table->isBusy(Base::PartitionId(0)));
}

Test(programtable, sizesAreBounded)
{
    TableFixture f(ProgramLimitsBuilder()
                       .partitionCount(1)
                       .callSizes(Base::Bytes(100), Base::Bytes(1'000))
                       .histories(Base::Bytes(800), Base::Bytes(600))
                       .build());
    f.createProgram();
    const Base::RequestId large = f.submit(f.toolCall(1, std::string(101, 'x')));
    cr_assert_eq(f.errorOf(large).code, ErrorCode::TooLarge);
    const Base::RequestId first = f.submit(f.toolCall(1));
    f.commitAll();
    f.complete(DispatchId(1), std::string(1'001, 'x'));
    f.commitAll();
    cr_assert_eq(f.errorOf(first).ran, Ran::Ran, "an answer too large to record has run");
    f.submit(f.toolCall(2));
    f.commitAll();
    f.complete(DispatchId(2), std::string(600, 'x'));
    f.commitAll();
    cr_assert_eq(f.errorOf(f.submit(f.toolCall(3))).code, ErrorCode::TooLarge);
    CreateProgram create = f.creation(10);
    create.program = Base::ProgramId("q");
    f.table->create(create, f.now);
    f.collect();
    cr_assert_eq(f.errorOf(create.request).code, ErrorCode::Unavailable);
    f.endProgram("p");
    f.commitAll();
    create = f.creation(10);
    create.program = Base::ProgramId("q");
    f.table->create(create, f.now);
    f.commitAll();
    cr_assert(f.table->isLive(Base::ProgramId("q")), "ended programs free capacity");
}

Test(programtable, snapshotAndReplayGiveTheSameState)
{
    TableFixture f;
    f.createProgram();
    for (std::uint32_t n = 1; n <= 3; ++n) {
        f.submit(f.call(n));
        f.complete(f.last<StartDispatch>().dispatch, "output " + std::to_string(n));
        f.commitAll();
    }
    const ReplyDescription before = f.description();
    ProgramTable restored(TableFixture::defaultLimits());
    restored.partitionAcquired(Base::PartitionId(0), Base::Epoch(2), f.now);
    restored.restore(*f.table->snapshot(Base::ProgramId("p")), f.now);
    // Records that the snapshot already contains have no effect.
    restored.recover(Base::PartitionId(0), f.journal, {}, f.now);
    const ProgramSnapshot after = *restored.snapshot(Base::ProgramId("p"));
    cr_assert_eq(after.charged, before.spent);
    cr_assert_eq(after.history->size(), 3U);
    cr_assert_eq(after.history->at(2)->output(), "output 3");
    cr_assert(restored.memory(Base::ProgramId("p")) < Base::Bytes(4'096));
}
