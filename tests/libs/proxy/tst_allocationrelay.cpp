#include <libs/loopback.h>
#include <proxy/steadyclock.h>
#include <proxy/turnadmission.h>

#include <criterion/criterion.h>

#include <memory>

using namespace Proxy;

namespace {

constexpr auto guardTime = std::chrono::seconds(10);

/// Round trip to the store; long enough for the writes of several daemons to overlap.
constexpr auto storeLatency = std::chrono::milliseconds(4);

/// A store with conditional writes that counts its calls.
class SharedStore
{
public:
    explicit SharedStore(asio::io_context &context)
        : context_(context)
    {}

    void write(const Programs::WriteGroup &write,
               const std::function<void(const Programs::GroupOutcome &)> &done)
    {
        ++calls;
        Programs::GroupConflict &object = objects_[write.group];
        Programs::GroupOutcome outcome = object;
        if (write.expected == object.version) {
            object = {object.version.next(), write.entries};
            outcome = Programs::GroupWritten{object.version};
        }
        auto timer = std::make_shared<asio::steady_timer>(context_, storeLatency);
        timer->async_wait([timer, done, outcome](const std::error_code &) { done(outcome); });
    }

    int calls = 0;

private:
    asio::io_context &context_;
    std::map<Programs::AllocationGroup, Programs::GroupConflict> objects_;
};

/// Daemons that share a store, which rejects the first of them.
class RelayFleet
{
public:
    explicit RelayFleet(std::size_t size)
        : store(context_)
        , notice_(context_)
    {
        std::vector<PeerAddress> addresses;
        for (std::size_t i = 0; i < size; ++i) {
            addresses.push_back(
                {Base::VmId("vm-" + std::to_string(i)), freeEndpoint<asio::ip::udp>()});
        }
        for (const PeerAddress &address : addresses) {
            daemons_.push_back(std::make_unique<Daemon>(*this, address, daemons_.empty()));
            daemons_.back()->peers.setDaemons(addresses);
        }
        sendNotices();
        context_.run_for(std::chrono::milliseconds(20)); // the first notices arrive
    }

    /// Reserves one turn of each of \a count programs that the first daemon coordinates; returns
    /// how many are admitted.
    std::size_t reserve(std::size_t count)
    {
        std::size_t admitted = 0;
        std::size_t answered = 0;
        for (const Base::ProgramId &program : programsOfFirst(count)) {
            RequestTraits turn;
            turn.program = program;
            turn.programBudget = Base::Tokens(1000);
            turn.maxOutput = Base::Tokens(100);
            daemons_.front()->turns.reserve(
                turn, std::chrono::seconds(60), [&](BudgetVerdict verdict) {
                    ++answered;
                    admitted += verdict == BudgetVerdict::Admitted ? 1 : 0;
                });
        }
        const auto end = std::chrono::steady_clock::now() + guardTime;
        while (answered < count) {
            cr_assert(std::chrono::steady_clock::now() < end, "not all turns are answered");
            context_.run_one_for(std::chrono::milliseconds(20));
        }
        return admitted;
    }

private:
    struct Daemon
    {
        Daemon(RelayFleet &fleet, const PeerAddress &address, bool isRejected)
            : peers(
                fleet.context_, address.vm, address.endpoint, log(), fleet.metrics_, 1, &steadyNow)
            , turns(
                  fleet.context_,
                  address.vm,
                  Base::IncarnationId(address.vm.text() + ".1"),
                  peers,
                  [&fleet, isRejected](const Programs::WriteGroup &write, const auto &done) {
                      if (isRejected) {
                          done(Programs::GroupUnanswered{});
                      } else {
                          fleet.store.write(write, done);
                      }
                  },
                  &steadyNow)
        {
            peers.start([this](const Base::VmId &sender, const PeerBody &body) {
                if (const auto *relay = std::get_if<AllocationRelayRequest>(&body)) {
                    turns.onAllocationRelay(sender, *relay);
                }
            });
        }

        PeerLink peers;
        TurnAdmission turns;
    };

    static Telemetry::Log &log()
    {
        static Telemetry::Log silent(
            {.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}});
        return silent;
    }

    std::vector<Base::ProgramId> programsOfFirst(std::size_t count)
    {
        const Programs::AllocationGroups groups({});
        const PeerRoster &roster = daemons_.front()->peers.roster();
        std::vector<Base::ProgramId> programs;
        for (int i = 0; programs.size() < count; ++i) {
            Base::ProgramId program("p" + std::to_string(i));
            const std::string key = "claims/" + std::to_string(groups.groupOf(program).value());
            if (roster.coordinatorFor(key, steadyNow()) == Base::VmId("vm-0")) {
                programs.push_back(std::move(program));
            }
        }
        return programs;
    }

    /// Keeps the first daemon from taking itself for isolated.
    void sendNotices()
    {
        daemons_.back()->peers.notify({Base::VmId("vm-0")});
        notice_.expires_after(std::chrono::milliseconds(50));
        notice_.async_wait([this](const std::error_code &error) {
            if (!error) {
                sendNotices();
            }
        });
    }

    asio::io_context context_;
    Telemetry::Metrics metrics_;

public:
    SharedStore store;

private:
    std::vector<std::unique_ptr<Daemon>> daemons_;
    asio::steady_timer notice_;
};

} // namespace

/// Guards against the storm of conflicting writes for coordinators that the store rejects: 28,504
/// calls in the first 8 s of scale-2 at 259 daemons.
Test(allocationrelay, allocationsOfARejectedCoordinatorDoNotConflict)
{
    constexpr std::size_t turns = 60;
    RelayFleet fleet(12);
    cr_assert_eq(fleet.reserve(turns), turns);
    cr_assert_leq(fleet.store.calls, static_cast<int>(turns), "one call for each turn at most");
}
