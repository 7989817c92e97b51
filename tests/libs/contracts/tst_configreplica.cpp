#include "fakestore.h"

#include <contracts/configeditor.h>
#include <contracts/configurationcodec.h>

#include <criterion/criterion.h>

using namespace Contracts;
using namespace ContractsTest;
using namespace std::chrono_literals;

namespace {

const Base::IncarnationId peer("vm2.1");
const Base::IncarnationId otherPeer("vm3.1");

ConfigurationDocument documentOf(std::uint64_t version)
{
    ConfigurationDocument document;
    document.version = Base::ConfigVersion(version);
    return document;
}

ConfigPush pushOf(std::uint64_t version)
{
    return {Base::ConfigVersion(version), encode(documentOf(version))};
}

ConfigResponse responseOf(std::uint64_t version)
{
    return {Base::ConfigVersion(version), encode(documentOf(version))};
}

template<typename Action, typename Actions>
std::vector<Action> pick(const Actions &actions)
{
    std::vector<Action> picked;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<Action>(&action)) {
            picked.push_back(*match);
        }
    }
    return picked;
}

/// A replica whose first read of the store is pending.
struct StartedReplica
{
    StartedReplica()
        : replica(ConfigReplicaSettings())
    {
        replica.start({peer, otherPeer}, now);
        read = pick<SendStoreRequest>(replica.takeActions()).at(0).request.id;
    }

    void replyToRead(const Platform::StoreOutcome &outcome)
    {
        replica.storeReplied({read, outcome}, now);
    }

    Base::Instant now{1000s};
    ConfigReplica replica;
    Platform::StoreRequestId read;
};

Platform::ObjectFound foundOf(std::uint64_t version)
{
    return {{ConfigReplica::objectKey(),
             Platform::ObjectVersion(version),
             encode(documentOf(version)),
             Base::WriteId("w")}};
}

/// An editor and a store whose replies can be lost individually.
struct EditorFixture
{
    EditorFixture()
        : editor({Base::IncarnationId("vm1.1")})
    {}

    void submitTeam(const std::string &name, std::optional<Base::ConfigVersion> expected = {})
    {
        Team team;
        team.id = Base::TeamId(name);
        editor.submit({Base::RequestId(1), AddTeam{team}, expected}, now);
    }

    /// Runs the pending request; optionally its reply is lost.
    void step(bool isLost = false)
    {
        collect();
        const Platform::StoreRequest request = requests.back();
        requests.clear();
        const Platform::StoreOutcome outcome = store.run(request.operation);
        if (!isLost) {
            editor.storeReplied({request.id, outcome}, now);
        }
        collect();
    }

    void collect()
    {
        for (const ConfigEditorAction &action : editor.takeActions()) {
            if (const auto *send = std::get_if<SendStoreRequest>(&action)) {
                requests.push_back(send->request);
                continue;
            }
            actions.push_back(action);
        }
    }

    void passTime(Base::Duration duration)
    {
        now += duration;
        editor.tick(now);
        collect();
    }

    Base::Instant now{1000s};
    ConfigEditor editor;
    FakeStore store;
    std::vector<Platform::StoreRequest> requests;
    std::vector<ConfigEditorAction> actions;
};

void writeByAnother(FakeStore &store, std::uint64_t version)
{
    store.run(Platform::PutObject{ConfigReplica::objectKey(),
                                  Platform::ObjectVersion(version - 1),
                                  encode(documentOf(version)),
                                  Base::WriteId("other")});
}

} // namespace

Test(configreplica, activatesVersionsFromTheStoreAndNeverReverts)
{
    StartedReplica f;
    f.replyToRead(foundOf(5));
    cr_assert(f.replica.isReady());
    f.replica.messageReceived(peer, pushOf(4), f.now);
    f.replica.watchEventReceived(foundOf(3).object);
    cr_assert_eq(f.replica.version(), Base::ConfigVersion(5));
    f.replica.messageReceived(peer, pushOf(6), f.now);
    cr_assert_eq(f.replica.version(), Base::ConfigVersion(6));
    cr_assert_eq(pick<ConfigurationActivated>(f.replica.takeActions()).size(), 2U);
}

Test(configreplica, unconfirmedVersionIsNotFreshAfterFiveSeconds)
{
    StartedReplica f;
    f.replyToRead(foundOf(5));
    cr_assert(f.replica.isFresh(f.now + 4999ms));
    cr_assert_not(f.replica.isFresh(f.now + 5s));
    f.replica.peerVersionReceived(peer, Base::ConfigVersion(5), f.now + 4s);
    cr_assert(f.replica.isFresh(f.now + 8s), "a peer's heartbeat confirms the version");
}

Test(configreplica, partitionedDaemonsDoNotConfirmEachOther)
{
    ConfigReplicaSettings settings;
    settings.confirmingPeers = 2;
    ConfigReplica replica(settings);
    const Base::Instant now(1000s);
    replica.start({peer, otherPeer}, now);
    const auto read = pick<SendStoreRequest>(replica.takeActions()).at(0).request.id;
    replica.storeReplied({read, foundOf(5)}, now);
    replica.peerVersionReceived(peer, Base::ConfigVersion(5), now + 4s);
    cr_assert_not(replica.isFresh(now + 6s));
    replica.peerVersionReceived(otherPeer, Base::ConfigVersion(5), now + 6s);
    cr_assert(replica.isFresh(now + 8s));
    cr_assert_not(replica.isFresh(now + 9s), "the first peer's agreement is too old");
}

Test(configreplica, knownNewerVersionIsFetchedAndStopsConfirmation)
{
    StartedReplica f;
    f.replyToRead(foundOf(5));
    f.replica.takeActions();
    f.replica.peerVersionReceived(peer, Base::ConfigVersion(6), f.now);
    const auto sent = pick<SendToPeer>(f.replica.takeActions());
    cr_assert(std::get<ConfigRequest>(sent.at(0).message).known == Base::ConfigVersion(5));
    f.replica.peerVersionReceived(otherPeer, Base::ConfigVersion(5), f.now + 4s);
    cr_assert_not(f.replica.isFresh(f.now + 6s),
                  "a peer with the same outdated version does not confirm it");
    f.replica.messageReceived(peer, responseOf(6), f.now + 6s);
    cr_assert_eq(f.replica.version(), Base::ConfigVersion(6));
    cr_assert(f.replica.isFresh(f.now + 6s));
}

Test(configreplica, startDuringAnOutageUsesTheHighestVersionOfPeers)
{
    StartedReplica f;
    f.replyToRead(Platform::StoreUnavailable{});
    cr_assert_eq(pick<SendToPeer>(f.replica.takeActions()).size(), 2U);
    f.replica.messageReceived(peer, responseOf(4), f.now);
    cr_assert_not(f.replica.isReady(), "another peer may know a newer version");
    f.replica.messageReceived(otherPeer, responseOf(6), f.now);
    f.replica.tick(f.now + 1s);
    cr_assert(f.replica.isReady());
    cr_assert_eq(f.replica.version(), Base::ConfigVersion(6));
}

Test(configreplica, unusableDocumentIsRejected)
{
    StartedReplica f;
    f.replyToRead(foundOf(5));
    f.replica.takeActions();
    f.replica.messageReceived(peer, ConfigPush{Base::ConfigVersion(6), "{}"}, f.now);
    cr_assert_eq(pick<ConfigurationRejected>(f.replica.takeActions()).at(0).peer, "vm2.1");
    cr_assert_eq(f.replica.version(), Base::ConfigVersion(5));
}

Test(configeditor, acceptedChangeIsInTheStoreAndPushed)
{
    EditorFixture f;
    f.submitTeam("lunch");
    f.step();
    cr_assert(f.actions.empty(), "nothing is accepted before the write");
    f.step();
    cr_assert_eq(pick<EditAccepted>(f.actions).at(0).document->version, Base::ConfigVersion(1));
    cr_assert_eq(decode(pick<PushToPeers>(f.actions).at(0).push.body).document.teams.size(), 1U);
}

Test(configeditor, lostReplyIsResolved)
{
    EditorFixture f;
    f.submitTeam("lunch");
    f.step();
    f.step(true);
    f.passTime(1s);
    f.passTime(200ms);
    f.step();
    cr_assert_eq(pick<EditAccepted>(f.actions).size(), 1U);
    cr_assert_eq(f.store.writes.size(), 1U);
}

Test(configeditor, lostReplyIsResolvedAfterLaterEdits)
{
    EditorFixture f;
    f.submitTeam("lunch");
    f.step();
    f.step(true);
    ConfigurationDocument later = decode(f.store.writes.at(0).body).document;
    later.version = later.version.next();
    f.store.run(Platform::PutObject{ConfigReplica::objectKey(),
                                    Platform::ObjectVersion(1),
                                    encode(later),
                                    Base::WriteId("other")});
    f.passTime(1s);
    f.passTime(200ms);
    f.step();
    cr_assert_eq(pick<EditAccepted>(f.actions).size(), 1U);
    cr_assert(pick<EditConflict>(f.actions).empty());
}

Test(configeditor, concurrentEditsCauseAConflict)
{
    EditorFixture f;
    f.submitTeam("lunch");
    f.step();
    writeByAnother(f.store, 1);
    f.step();
    f.step();
    const EditConflict conflict = pick<EditConflict>(f.actions).at(0);
    cr_assert_eq(conflict.expected, Base::ConfigVersion(0));
    cr_assert_eq(conflict.found, Base::ConfigVersion(1));
    f.submitTeam("dinner", Base::ConfigVersion(0));
    f.step();
    cr_assert_eq(pick<EditConflict>(f.actions).size(), 2U, "the expected version is outdated");
}

Test(configeditor, editTimeoutReportsWhetherTheEditMayHaveRun)
{
    EditorFixture f;
    f.submitTeam("lunch");
    f.collect();
    f.passTime(10s);
    cr_assert_eq(pick<EditFailed>(f.actions).at(0).error.ran, Base::Ran::NotRun);
    f.submitTeam("dinner");
    f.step();
    f.step(true);
    f.passTime(10s);
    cr_assert_eq(pick<EditFailed>(f.actions).at(1).error.ran, Base::Ran::MayHaveRun);
    cr_assert_eq(pick<EditFailed>(f.actions).at(1).error.peer, "platform");
}
