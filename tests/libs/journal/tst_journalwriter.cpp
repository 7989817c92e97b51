#include "machines.h"
#include "records.h"

#include <journal/codec.h>
#include <journal/witnessbuffer.h>

#include <criterion/criterion.h>

using namespace Journal;
using namespace JournalTest;
using std::chrono::milliseconds;

namespace {

const Base::IncarnationId owner("x.1");

std::vector<Platform::StoreRequest> requestsOf(const std::vector<WriterAction> &actions)
{
    std::vector<Platform::StoreRequest> requests;
    for (const WriterAction &action : actions) {
        if (const auto *send = std::get_if<SendStoreRequest>(&action)) {
            requests.push_back(send->request);
        }
    }
    return requests;
}

std::size_t bodySize(const Platform::StoreRequest &request)
{
    return std::get<Platform::PutObject>(request.operation).body.size();
}

} // namespace

Test(journalwriter, idleDaemonWritesNothing)
{
    JournalWriter writer(owner);
    writer.tick(Base::Instant(milliseconds(1000)));
    cr_assert(writer.takeActions().empty());
    cr_assert(!writer.nextWakeUp());
}

Test(journalwriter, singleRecordIsWrittenImmediatelyAndLaterOnesAreGrouped)
{
    JournalWriter writer(owner);
    const Base::Instant start{};
    cr_assert(writer.append(Ticket(1), {intent("p", 1)}, start));
    const auto first = requestsOf(writer.takeActions());
    cr_assert_eq(first.size(), 1U);
    cr_assert(writer.append(Ticket(2), {intent("q", 1)}, start + milliseconds(1)));
    cr_assert(writer.append(Ticket(3), {intent("r", 1)}, start + milliseconds(2)));
    cr_assert(writer.takeActions().empty(), "one write is in flight");
    writer.handle(Platform::StoreReply{first[0].id, Platform::ObjectWritten{}},
                  start + milliseconds(4));
    const auto actions = writer.takeActions();
    cr_assert_eq(firstOf<RecordsCommitted>(actions)->ticket.value(), 1U);
    cr_assert_eq(requestsOf(actions).size(), 1U, "both in one segment");
}

Test(journalwriter, writesStayWithinTheRateLimit)
{
    FakeStore store;
    JournalWriter writer(owner);
    std::size_t committed = 0;
    for (int ms = 0; ms < 4000; ++ms) {
        const Base::Instant now{milliseconds(ms)};
        cr_assert(writer.append(Ticket(ms + 1), {result("p", ms + 1)}, now));
        writer.tick(now);
        committed += countOf<RecordsCommitted>(runWithStore<WriterAction>(writer, store, now));
    }
    const WriterSettings settings;
    cr_assert_leq(store.writes(), settings.writeBurst + settings.writesPerSecond * 4 + 1);
    cr_assert_gt(committed, 3800U);
}

Test(journalwriter, segmentsStayBelowTheLimitAndKeepEveryRecord)
{
    FakeStore store;
    WriterSettings settings;
    settings.writeBurst = 100;
    JournalWriter writer(owner, settings);
    std::vector<Record> records;
    for (std::uint32_t i = 1; i <= 30; ++i) {
        records.push_back(result("p", i, 100'000));
    }
    const Base::Instant now{};
    cr_assert(writer.append(Ticket(1), records, now));
    std::vector<Record> stored;
    auto actions = writer.takeActions();
    while (!actions.empty()) {
        for (const Platform::StoreRequest &request : requestsOf(actions)) {
            cr_assert_leq(bodySize(request), static_cast<std::size_t>(maxObjectBytes));
            writer.handle({request.id, store.apply(request.operation)}, now);
        }
        for (const WriterAction &action : actions) {
            if (const auto *segment = std::get_if<SegmentStored>(&action)) {
                stored.insert(stored.end(), segment->records.begin(), segment->records.end());
            }
        }
        actions = writer.takeActions();
    }
    cr_assert(stored == records);
    cr_assert_eq(writer.queuedBytes().value(), 0);
}

Test(journalwriter, refusesTooLargeRecordsAndAppendsToAFullQueue)
{
    WriterSettings settings;
    settings.maxQueuedBytes = Base::Bytes(2'000'000);
    JournalWriter writer(owner, settings);
    const Base::Instant now{};
    const auto tooLarge = writer.append(Ticket(1), {result("p", 1, 960'000)}, now);
    cr_assert(tooLarge.error().code == Base::ErrorCode::TooLarge);
    cr_assert(writer.append(Ticket(2), {result("p", 1, 900'000)}, now));
    cr_assert(writer.append(Ticket(3), {result("p", 2, 900'000)}, now));
    const auto full = writer.append(Ticket(4), {result("p", 3, 900'000)}, now);
    cr_assert(full.error().code == Base::ErrorCode::Unavailable);
    cr_assert(full.error().ran == Base::Ran::NotRun);
}

Test(journalwriter, onlyUnsentAppendsCanBeCancelled)
{
    FakeStore store;
    JournalWriter writer(owner);
    const Base::Instant now{};
    cr_assert(writer.append(Ticket(1), {intent("p", 1)}, now));
    cr_assert(writer.append(Ticket(2), {intent("q", 1)}, now));
    cr_assert(!writer.cancel(Ticket(1)));
    cr_assert(writer.cancel(Ticket(2)));
    const auto actions = runWithStore<WriterAction>(writer, store, now);
    cr_assert_eq(countOf<RecordsCommitted>(actions), 1U);
    cr_assert_eq(writer.queuedBytes().value(), 0);
}

Test(journalwriter, laterSegmentCommitsNothingWhenTheEarlierOneIsSealed)
{
    JournalWriter writer(owner);
    const Base::Instant start{};
    cr_assert(writer.append(Ticket(1), {intent("p", 1)}, start));
    cr_assert(writer.append(Ticket(2), {intent("q", 1)}, start));
    writer.tick(start + milliseconds(30));
    const auto requests = requestsOf(writer.takeActions());
    cr_assert_eq(requests.size(), 2U, "two creates in flight");
    const Base::Instant now = start + milliseconds(40);
    writer.handle(Platform::StoreReply{requests[1].id, Platform::ObjectWritten{}}, now);
    cr_assert_eq(countOf<RecordsCommitted>(writer.takeActions()), 0U);
    writer.handle(Platform::StoreReply{requests[0].id, Platform::VersionConflict{}}, now);
    const auto read = requestsOf(writer.takeActions());
    Segment seal{Base::IncarnationId("y.1"), Base::SegmentNumber(1), Base::WriteId("s"), {}};
    seal.entries.push_back({owner, EntrySequence(1), {}, SealMark{seal.writer}});
    const Platform::StoredObject object{
        segmentKey(owner, seal.number), Platform::ObjectVersion(1), encode(seal), seal.writeId};
    writer.handle(Platform::StoreReply{read[0].id, Platform::ObjectFound{object}}, now);
    const auto actions = writer.takeActions();
    const auto *fenced = firstOf<Fenced>(actions);
    cr_assert(fenced && fenced->by == seal.writer);
    const std::vector<Ticket> both{Ticket(1), Ticket(2)};
    cr_assert(fenced->uncommitted == both);
    cr_assert_eq(countOf<RecordsCommitted>(actions), 0U);
    cr_assert(!writer.append(Ticket(3), {intent("r", 1)}, now));
}

Test(journalwriter, outageCommitsAtBothWitnessesAndDrainsInOrder)
{
    FakeStore store;
    JournalWriter writer(owner);
    WitnessBuffer a(Base::IncarnationId("a.1"), Base::Bytes(1 << 20));
    WitnessBuffer b(Base::IncarnationId("b.1"), Base::Bytes(1 << 20));
    const WitnessSet both{Base::IncarnationId("a.1"), Base::IncarnationId("b.1")};
    Base::Instant now{};
    writer.setWitnesses(both, now);
    cr_assert(firstOf<WitnessesReady>(writer.takeActions()));
    writer.witnessesConfirmed(both, now);
    runWithStore<WriterAction>(writer, store, now);
    cr_assert_eq(store.writes(), 1U, "one segment completes the change of witnesses");

    cr_assert(writer.append(Ticket(1), {created("p")}, now));
    now += milliseconds(400);
    writer.tick(now);
    cr_assert(writer.path(now) == CommitPath::Witnesses);
    cr_assert(writer.append(Ticket(2), {intent("p", 1)}, now));
    std::vector<Platform::StoreRequest> unanswered;
    std::vector<std::uint64_t> committed;
    std::size_t acknowledgements = 0;
    for (auto actions = writer.takeActions(); !actions.empty(); actions = writer.takeActions()) {
        for (const WriterAction &action : actions) {
            if (const auto *send = std::get_if<SendMessage>(&action)) {
                const auto &message = std::get<WitnessAppend>(send->message);
                const bool isFirst = message.witness.text() == "a.1";
                writer.handle((isFirst ? a : b).append(message), now);
                ++acknowledgements;
                cr_assert(acknowledgements > 1 || !firstOf<RecordsCommitted>(actions));
            } else if (const auto *done = std::get_if<RecordsCommitted>(&action)) {
                committed.push_back(done->ticket.value());
            } else if (const auto *request = std::get_if<SendStoreRequest>(&action)) {
                unanswered.push_back(request->request);
            }
        }
    }
    const std::vector<std::uint64_t> expected{1, 2};
    cr_assert(committed == expected);
    cr_assert_eq(store.writes(), 1U);
    cr_assert_gt(a.heldBytes().value(), 0);

    for (const Platform::StoreRequest &request : unanswered) {
        writer.handle({request.id, store.apply(request.operation)}, now);
    }
    auto rest = runWithStore<WriterAction>(writer, store, now);
    cr_assert(firstOf<OutageEnded>(rest));
    cr_assert_eq(writer.queuedBytes().value(), 0);
    for (const WriterAction &action : rest) {
        if (const auto *send = std::get_if<SendMessage>(&action)) {
            a.append(std::get<WitnessAppend>(send->message));
        }
    }
    cr_assert_eq(a.heldBytes().value(), 0, "the witness drops stored entries");
}

Test(journalwriter, fullWitnessStopsCommitsAtWitnesses)
{
    FakeStore store;
    JournalWriter writer(owner);
    WitnessBuffer buffer(Base::IncarnationId("a.1"), Base::Bytes(1000));
    const WitnessSet one{Base::IncarnationId("a.1")};
    Base::Instant now{};
    writer.setWitnesses(one, now);
    writer.witnessesConfirmed(one, now);
    runWithStore<WriterAction>(writer, store, now);
    cr_assert(writer.append(Ticket(1), {result("p", 1, 2000)}, now));
    now += milliseconds(400);
    cr_assert(writer.path(now) == CommitPath::Store);
    for (int i = 0; i < 5; ++i) {
        writer.tick(now);
        for (const WriterAction &action : writer.takeActions()) {
            if (const auto *send = std::get_if<SendMessage>(&action)) {
                writer.handle(buffer.append(std::get<WitnessAppend>(send->message)), now);
            }
            cr_assert(!std::holds_alternative<RecordsCommitted>(action));
        }
        now += milliseconds(150);
    }
    cr_assert(writer.path(now) == CommitPath::None);
}

// A successor that reads the new lease may seal only the new witness, so it must hold all committed
// entries before the lease names it.
Test(journalwriter, newWitnessesAreReadyOnceTheyHoldCommittedEntries)
{
    FakeStore store;
    JournalWriter writer(owner);
    std::map<Base::IncarnationId, WitnessBuffer> buffers;
    for (const char *id : {"a.1", "b.1", "c.1"}) {
        const Base::IncarnationId witness(id);
        buffers.emplace(witness, WitnessBuffer(witness, Base::Bytes(1 << 20)));
    }
    const auto exchange = [&](Base::Instant at) {
        std::vector<WriterAction> all;
        for (auto actions = writer.takeActions(); !actions.empty();
             actions = writer.takeActions()) {
            for (WriterAction &action : actions) {
                if (const auto *send = std::get_if<SendMessage>(&action)) {
                    const auto &message = std::get<WitnessAppend>(send->message);
                    writer.handle(buffers.at(send->to).append(message), at);
                }
                all.push_back(std::move(action));
            }
        }
        return all;
    };
    const WitnessSet old{Base::IncarnationId("a.1"), Base::IncarnationId("b.1")};
    const WitnessSet next{Base::IncarnationId("b.1"), Base::IncarnationId("c.1")};
    Base::Instant now{};
    writer.setWitnesses(old, now);
    writer.witnessesConfirmed(old, now);
    runWithStore<WriterAction>(writer, store, now);
    cr_assert(writer.append(Ticket(1), {intent("p", 1)}, now));
    now += milliseconds(400);
    writer.tick(now);
    cr_assert(firstOf<RecordsCommitted>(exchange(now)));

    writer.setWitnesses(next, now);
    auto actions = writer.takeActions();
    cr_assert(!firstOf<WitnessesReady>(actions), "c.1 does not hold ticket 1 yet");
    for (const WriterAction &action : actions) {
        const auto &send = std::get<SendMessage>(action);
        cr_assert_eq(send.to.text(), "c.1");
        writer.handle(buffers.at(send.to).append(std::get<WitnessAppend>(send.message)), now);
    }
    cr_assert(firstOf<WitnessesReady>(writer.takeActions())->witnesses == next);

    cr_assert(writer.append(Ticket(2), {intent("q", 1)}, now));
    actions = writer.takeActions();
    cr_assert_eq(countOf<SendMessage>(actions), 3U, "old and new witnesses together");
}
