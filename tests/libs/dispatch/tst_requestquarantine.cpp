#include <base/random.h>
#include <dispatch/requestquarantine.h>

#include <criterion/criterion.h>

#include <set>

using namespace Dispatch;

namespace {

const Base::TeamId team("club");

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

ServerInstance server(std::uint64_t number)
{
    return {Base::ServerId("engine-" + std::to_string(number)), 1700};
}

CrashReport report(const RequestFingerprints &request,
                   std::uint64_t serverNumber,
                   CrashStage stage,
                   std::int64_t millisecondsAtServer = 50)
{
    return {request, server(serverNumber), stage, std::chrono::milliseconds(millisecondsAtServer)};
}

const RequestFingerprints chat = fingerprintsOf(team, "/chat", "a");
const RequestFingerprints otherChat = fingerprintsOf(team, "/chat", "b");

} // namespace

Test(requestquarantine, aRequestThatReturnsAfterEachCrashIsQuarantined)
{
    RequestQuarantine quarantine;
    cr_assert(quarantine.crashed(report(chat, 1, CrashStage::Begun), at(1000)).empty());
    cr_assert(!quarantine.isQuarantined(chat, at(1000)));
    cr_assert_eq(quarantine.crashed(report(chat, 2, CrashStage::Begun), at(1200)).size(), 2U);
    cr_assert(quarantine.isQuarantined(chat, at(1200)));
    cr_assert(!quarantine.isQuarantined(otherChat, at(1200)), "the path may be contradicted yet");
    cr_assert(quarantine.isQuarantined(otherChat, at(1300)));
    const auto elsewhere = fingerprintsOf(Base::TeamId("other"), "/chat", "a");
    cr_assert(!quarantine.isQuarantined(elsewhere, at(1300)), "another team's request");
    cr_assert(!quarantine.isQuarantined(fingerprintsOf(team, "/draft", "a"), at(1300)));
}

Test(requestquarantine, requestsThatWaitedNeedMoreEvidence)
{
    RequestQuarantine quarantine;
    for (std::uint64_t crash = 1; crash <= 5; ++crash) {
        const auto stage = crash % 2 == 0 ? CrashStage::Waiting : CrashStage::Producing;
        const Base::Instant time = at(static_cast<std::int64_t>(1000 * crash));
        cr_assert(quarantine.crashed(report(chat, crash, stage), time).empty());
    }
    cr_assert_eq(quarantine.crashed(report(chat, 6, CrashStage::Waiting), at(6000)).size(), 2U);
}

/// Guards against a team that is refused because a rack failed under its requests.
Test(requestquarantine, serversThatCrashAtOnceAreOneCrash)
{
    RequestQuarantine quarantine;
    for (std::uint64_t number = 0; number < 20; ++number) {
        const auto request = fingerprintsOf(team, "/chat", std::to_string(number));
        const Base::Instant time = at(1000 + static_cast<std::int64_t>(number));
        cr_assert(quarantine.crashed(report(request, number, CrashStage::Begun), time).empty());
    }
    cr_assert_eq(quarantine.digest(), 0U);
}

Test(requestquarantine, oneServerIsOneCrash)
{
    RequestQuarantine quarantine;
    for (int repetition = 0; repetition < 10; ++repetition) {
        const Base::Instant time = at(1000 * (repetition + 1));
        cr_assert(quarantine.crashed(report(chat, 1, CrashStage::Begun), time).empty());
    }
}

/// Guards against a path of many requests that is refused because one of them crashes servers.
Test(requestquarantine, aResponseContradictsTheQuarantine)
{
    RequestQuarantine keeper;
    RequestQuarantine witness;
    keeper.crashed(report(chat, 1, CrashStage::Begun), at(1000));
    witness.completed(otherChat, at(1100));
    const auto statements = keeper.crashed(report(chat, 2, CrashStage::Begun), at(1200));
    cr_assert_eq(statements.size(), 2U);
    for (const QuarantineStatement &statement : statements) {
        const auto newer = witness.contradiction(statement, at(1201));
        cr_assert_eq(newer.has_value(), statement.request.scope == RequestScope::Path);
        if (newer) {
            cr_assert(keeper.apply(*newer, at(1202)));
        }
    }
    cr_assert(keeper.isQuarantined(chat, at(1400)), "the request itself");
    cr_assert(!keeper.isQuarantined(otherChat, at(1400)), "the path");
}

Test(requestquarantine, aResponseEndsTheSuspicionAndTheQuarantine)
{
    RequestQuarantine quarantine;
    quarantine.crashed(report(chat, 1, CrashStage::Begun), at(1000));
    quarantine.completed(chat, at(1100));
    cr_assert(quarantine.crashed(report(chat, 2, CrashStage::Begun), at(1200)).empty());
    cr_assert_eq(quarantine.crashed(report(chat, 3, CrashStage::Begun), at(1400)).size(), 2U);
    cr_assert_eq(quarantine.completed(chat, at(1500)).size(), 2U, "a request in flight");
    cr_assert(!quarantine.isQuarantined(chat, at(1700)));
}

Test(requestquarantine, aLateStatementRestoresNothing)
{
    RequestQuarantine quarantine;
    QuarantineStatement statement{chat.exact, true, at(1000), at(1200), std::chrono::minutes(1)};
    cr_assert(quarantine.apply(statement, at(1210)));
    QuarantineStatement release = statement;
    release.isQuarantined = false;
    release.validAt = at(1300);
    cr_assert(quarantine.apply(release, at(1310)));
    cr_assert(!quarantine.apply(statement, at(1320)));
    cr_assert(!quarantine.isQuarantined(chat, at(2000)));
}

Test(requestquarantine, theQuarantineEndsAndLastsLongerNextTime)
{
    RequestQuarantine quarantine;
    std::int64_t now = 1000;
    Base::Duration previous{};
    for (std::uint64_t round = 0; round < 4; ++round) {
        quarantine.crashed(report(chat, 10 * round, CrashStage::Begun), at(now));
        const auto statements
            = quarantine.crashed(report(chat, 10 * round + 1, CrashStage::Begun), at(now + 100));
        cr_assert_eq(statements.size(), 2U);
        const Base::Duration duration = statements[0].duration;
        cr_assert(round == 0 || duration == 2 * previous);
        previous = duration;
        cr_assert(quarantine.isQuarantined(otherChat, at(now + 300)));
        now += 100 + std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        cr_assert(!quarantine.isQuarantined(otherChat, at(now)));
        // The exact request stays longer; its bodies differ from round to round here.
        quarantine.apply({chat.exact, false, at(now), at(now), {}}, at(now));
    }
}

Test(requestquarantine, whatIsKeptIsBounded)
{
    QuarantineSettings settings;
    settings.maxSuspects = 50;
    settings.maxStatements = 20;
    RequestQuarantine quarantine(settings);
    for (int number = 0; number < 200; ++number) {
        const auto request = fingerprintsOf(team, "/" + std::to_string(number), "");
        const Base::Instant time = at(1000 + 10 * number);
        quarantine.crashed(report(request, 1, CrashStage::Begun, 1), time);
        quarantine.crashed(report(request, 2, CrashStage::Begun, 1), time + Base::Duration(2000));
    }
    cr_assert_leq(quarantine.statements().size(), 20U);
    const auto newest = fingerprintsOf(team, "/199", "");
    cr_assert(quarantine.isQuarantined(newest, at(3200)));
}

/// One request crashes each server that begins to run it, among others that return after a crash.
/// Of these, one in 500 may be refused: it had just begun on both servers, like the one that
/// crashed them.
Test(requestquarantine, schedulesRefuseTheRequestThatCrashesServersAndFewOthers)
{
    constexpr std::uint64_t serverCount = 9;
    constexpr std::uint64_t slots = 16;
    int longestSeries = 0;
    std::size_t soundRequests = 0;
    std::size_t refusedSoundRequests = 0;
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        Base::Random random(seed);
        RequestQuarantine quarantine;
        const auto deadly = fingerprintsOf(team, "/deadly", "");
        std::uint64_t nextServer = serverCount;
        int crashes = 0;
        std::int64_t now = 1000;
        std::vector<RequestFingerprints> returning;
        while (!quarantine.isQuarantined(deadly, at(now)) && crashes < 20) {
            // A server with some new requests and some that were on a crashed one before.
            std::vector<RequestFingerprints> running;
            while (running.size() < slots) {
                if (!returning.empty() && random.chance(0.3)) {
                    running.push_back(returning.back());
                    returning.pop_back();
                } else {
                    running.push_back(
                        fingerprintsOf(team, "/" + std::to_string(random.next()), "x"));
                }
            }
            const std::uint64_t crashed = nextServer++;
            ++crashes;
            quarantine.crashed(report(deadly, crashed, CrashStage::Begun), at(now));
            for (const RequestFingerprints &request : running) {
                const auto stage = random.chance(0.08)  ? CrashStage::Begun
                                   : random.chance(0.5) ? CrashStage::Waiting
                                                        : CrashStage::Producing;
                quarantine.crashed(report(request, crashed, stage), at(now));
                ++soundRequests;
                refusedSoundRequests += quarantine.isQuarantined(request, at(now + 200)) ? 1 : 0;
                if (random.chance(0.5)) {
                    quarantine.completed(request, at(now + 100));
                } else {
                    returning.push_back(request);
                }
            }
            now += 300;
        }
        longestSeries = std::max(longestSeries, crashes);
    }
    cr_assert_leq(longestSeries, 3, "%d crashes", longestSeries);
    cr_assert_leq(500 * refusedSoundRequests, soundRequests);
}
