#include "fakestore.h"

#include <base/random.h>
#include <base/visitor.h>
#include <contracts/configeditor.h>
#include <contracts/configurationcodec.h>

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <set>

using namespace Contracts;
using namespace ContractsTest;
using namespace std::chrono_literals;

namespace {

constexpr int scheduleCount = 300;
constexpr int daemonCount = 4;
constexpr Base::Duration tickInterval = 50ms;
constexpr Base::Duration faultyTime = 40s;
constexpr Base::Duration quietTime = 10s;
// A version stays fresh for 5 s after a confirmation by a peer that was itself confirmed up to
// 5 s earlier; messages take up to 1.5 s.
constexpr Base::Duration longestStaleTime = 12s;

struct Daemon
{
    explicit Daemon(const Base::IncarnationId &incarnation)
        : id(incarnation)
        , replica(ConfigReplicaSettings())
        , editor({incarnation})
    {}

    Base::IncarnationId id;
    ConfigReplica replica;
    ConfigEditor editor;
    Base::ConfigVersion seen;
};

/// Simulates daemons, a store and a network that loses and delays messages, from one seed.
class RaceSchedule
{
public:
    explicit RaceSchedule(std::uint64_t seed)
        : random_(seed)
    {
        std::vector<Base::IncarnationId> ids;
        ids.reserve(daemonCount);
        for (int i = 0; i < daemonCount; ++i) {
            ids.emplace_back("vm" + std::to_string(i) + ".1");
        }
        for (const Base::IncarnationId &id : ids) {
            daemons_.emplace_back(id);
        }
        for (Daemon &daemon : daemons_) {
            daemon.replica.start(ids, now_);
        }
    }

    std::string run()
    {
        const Base::Instant faultsEnd = now_ + faultyTime;
        const Base::Instant end = faultsEnd + quietTime;
        while (now_ < end && failure_.empty()) {
            isFaulty_ = now_ < faultsEnd;
            step();
        }
        if (failure_.empty()) {
            checkEnd();
        }
        return failure_;
    }

private:
    using Event = std::function<void()>;

    void step()
    {
        now_ += tickInterval;
        changeFaults();
        while (!events_.empty() && events_.begin()->first <= now_) {
            const Event event = events_.begin()->second;
            events_.erase(events_.begin());
            event();
            drainAll();
        }
        for (size_t i = 0; i < daemons_.size(); ++i) {
            tick(i);
        }
        drainAll();
        checkVersions();
    }

    void changeFaults()
    {
        if (random_.chance(0.005)) {
            isStoreDown_ = !isStoreDown_;
        }
        if (isStoreDown_) {
            storeUpSince_ = now_;
        }
        if (random_.chance(0.003)) {
            isolated_ = random_.below(2 * daemonCount);
        }
        if (!isFaulty_) {
            isStoreDown_ = false;
            isolated_ = daemonCount;
        }
    }

    void tick(size_t i)
    {
        Daemon &daemon = daemons_[i];
        daemon.replica.tick(now_);
        daemon.editor.tick(now_);
        if (random_.chance(0.1)) {
            heartbeat(i);
        }
        if (isFaulty_ && random_.chance(0.02)) {
            Team team;
            const std::uint64_t request = ++lastRequest_;
            team.id = Base::TeamId("team" + std::to_string(request));
            daemon.editor.submit({Base::RequestId(request), AddTeam{team}, std::nullopt}, now_);
        }
    }

    void heartbeat(size_t from)
    {
        const Base::ConfigVersion version = daemons_[from].replica.version();
        for (size_t to = 0; to < daemons_.size(); ++to) {
            send(from, to, [this, from, to, version]() {
                daemons_[to].replica.peerVersionReceived(daemons_[from].id, version, now_);
            });
        }
    }

    bool isIsolated(size_t i) const { return i == isolated_; }

    void send(size_t from, size_t to, Event event)
    {
        const bool isLost
            = isIsolated(from) || isIsolated(to) || (isFaulty_ && random_.chance(0.2));
        if (from != to && !isLost) {
            later(random_.below(isFaulty_ ? 1'500 : 20), std::move(event));
        }
    }

    void later(std::uint64_t milliseconds, Event event)
    {
        events_.emplace(now_ + std::chrono::milliseconds(milliseconds), std::move(event));
    }

    void drainAll()
    {
        for (size_t i = 0; i < daemons_.size(); ++i) {
            drain(i);
        }
    }

    void drain(size_t i)
    {
        for (const ConfigReplicaAction &action : daemons_[i].replica.takeActions()) {
            if (const auto *request = std::get_if<SendStoreRequest>(&action)) {
                sendToStore(i, request->request, false);
            } else if (const auto *message = std::get_if<SendToPeer>(&action)) {
                sendMessage(i, message->peer, message->message);
            } else if (std::holds_alternative<ConfigurationRejected>(action)) {
                failure_ = "a document was rejected";
            }
        }
        for (const ConfigEditorAction &action : daemons_[i].editor.takeActions()) {
            drainEditor(i, action);
        }
    }

    void drainEditor(size_t i, const ConfigEditorAction &action)
    {
        std::visit(
            Base::Visitor{
                [&](const SendStoreRequest &request) { sendToStore(i, request.request, true); },
                [&](const EditAccepted &accepted) {
                    accepted_.insert(accepted.request.value());
                    daemons_[i].replica.editAccepted(*accepted.document, now_);
                },
                [&](const EditConflict &conflict) { refused_.insert(conflict.request.value()); },
                [&](const EditFailed &failed) {
                    if (failed.error.ran == Base::Ran::NotRun) {
                        refused_.insert(failed.request.value());
                    }
                },
                [&](const PushToPeers &push) {
                    for (const Daemon &daemon : daemons_) {
                        sendMessage(i, daemon.id, push.push);
                    }
                },
                [&](const EditInvalid &) { failure_ = "an edit was invalid"; }},
            action);
    }

    void sendMessage(size_t from, const Base::IncarnationId &peer, const ConfigMessage &message)
    {
        for (size_t to = 0; to < daemons_.size(); ++to) {
            if (daemons_[to].id == peer) {
                send(from, to, [this, from, to, message]() {
                    daemons_[to].replica.messageReceived(daemons_[from].id, message, now_);
                });
            }
        }
    }

    /// The request or its reply may be lost or delayed.
    void sendToStore(size_t i, const Platform::StoreRequest &request, bool isEditor)
    {
        if (isIsolated(i) || isStoreDown_ || (isFaulty_ && random_.chance(0.1))) {
            return;
        }
        later(random_.below(isFaulty_ ? 800 : 10), [this, i, request, isEditor]() {
            const Platform::StoreOutcome outcome = store_.run(request.operation);
            recordWriteTimes();
            if (isIsolated(i) || (isFaulty_ && random_.chance(0.2))) {
                return;
            }
            later(random_.below(isFaulty_ ? 800 : 10), [this, i, request, outcome, isEditor]() {
                const Platform::StoreReply reply{request.id, outcome};
                if (isEditor) {
                    daemons_[i].editor.storeReplied(reply, now_);
                } else {
                    daemons_[i].replica.storeReplied(reply, now_);
                }
            });
        });
    }

    void recordWriteTimes()
    {
        while (writtenAt_.size() < store_.writes.size()) {
            writtenAt_.push_back(now_);
        }
    }

    void checkVersions()
    {
        for (Daemon &daemon : daemons_) {
            const Base::ConfigVersion version = daemon.replica.version();
            if (version < daemon.seen) {
                failure_ = "the version decreased at " + daemon.id.text();
            }
            daemon.seen = version;
            // While the store is unavailable, the daemons keep the last version that they know.
            const bool isStoreUp = now_ - storeUpSince_ > longestStaleTime;
            const bool wasReplaced = isStoreUp && version.value() < writtenAt_.size()
                                     && now_ - writtenAt_[version.value()] > longestStaleTime;
            if (wasReplaced && daemon.replica.isFresh(now_)) {
                failure_ = "an outdated version counts as fresh at " + daemon.id.text();
            }
        }
    }

    void checkEnd()
    {
        const ConfigurationDocument last = store_.writes.empty()
                                               ? ConfigurationDocument()
                                               : decode(store_.writes.back().body).document;
        for (const Daemon &daemon : daemons_) {
            if (*daemon.replica.document() != last) {
                failure_ = "a daemon does not have the last version at the end";
            }
        }
        for (const std::uint64_t request : accepted_) {
            if (!last.findTeam(Base::TeamId("team" + std::to_string(request)))) {
                failure_ = "an accepted change was lost";
            }
        }
        for (const std::uint64_t request : refused_) {
            if (last.findTeam(Base::TeamId("team" + std::to_string(request)))) {
                failure_ = "a refused change took effect";
            }
        }
    }

    Base::Random random_;
    Base::Instant now_{1000s};
    std::vector<Daemon> daemons_;
    FakeStore store_;
    std::multimap<Base::Instant, Event> events_;
    /// Element n is the time when version n + 1 was written.
    std::vector<Base::Instant> writtenAt_;
    std::set<std::uint64_t> accepted_;
    std::set<std::uint64_t> refused_;
    std::uint64_t lastRequest_ = 0;
    size_t isolated_ = daemonCount;
    Base::Instant storeUpSince_;
    bool isStoreDown_ = false;
    bool isFaulty_ = true;
    std::string failure_;
};

} // namespace

Test(configraces, acceptedEditsReachAllDaemonsAndAreNeverReverted)
{
    for (int seed = 1; seed <= scheduleCount; ++seed) {
        RaceSchedule schedule(static_cast<std::uint64_t>(seed));
        const std::string failure = schedule.run();
        cr_assert(failure.empty(), "seed %d: %s", seed, failure.c_str());
    }
}
