#pragma once

#include <admission/rateborrowertable.h>
#include <admission/ratelendertable.h>
#include <base/random.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>

/// Simulates daemons with lenders and borrowers in virtual time, over a network with faults.
class RateFleet
{
public:
    struct Network
    {
        Base::Duration delay = std::chrono::microseconds(1500);
        double lossChance = 0;
        double duplicateChance = 0;
        /// Probability that a message is delayed by up to `longestDelay`.
        double slowChance = 0;
        Base::Duration longestDelay = std::chrono::milliseconds(400);
    };

    RateFleet(std::size_t daemons, Network network, std::uint64_t seed);

    void addTeam(const Base::TeamId &team, Admission::RateLimit limit, std::size_t owner);
    /// Schedules a call; its outcome is recorded.
    void call(const Base::TeamId &team, std::size_t daemon, Base::Instant at);
    /// Pauses the daemon from `at` on for the duration; events of that time are handled afterwards.
    void pause(std::size_t daemon, Base::Instant at, Base::Duration duration);
    /// The daemon loses its state and restarts as a new incarnation.
    void restart(std::size_t daemon, Base::Instant at);
    /// Another daemon takes over the team; the old owner keeps its lease until it expires.
    void replaceOwner(const Base::TeamId &team, std::size_t owner, Base::Instant at);
    void run(Base::Instant until);

    const std::vector<Base::Instant> &admitted(const Base::TeamId &team) { return admitted_[team]; }
    std::size_t refused(const Base::TeamId &team) const;
    std::size_t refusedBetween(const Base::TeamId &team,
                               Base::Instant from,
                               Base::Instant to) const;
    std::size_t messages() const { return messages_; }
    std::size_t pendingCalls() const { return callAt_.size(); }

    /// Maximum excess over burst + rate * w in any window of length w; at most 0 if there is none.
    static double excess(const std::vector<Base::Instant> &times, Admission::RateLimit limit);

    static Base::Instant at(double seconds);

private:
    struct Daemon
    {
        Base::IncarnationId id;
        std::unique_ptr<Admission::RateBorrowerTable> borrowers;
        std::unique_ptr<Admission::RateLenderTable> lenders;
        Base::Instant pausedUntil;
        std::optional<Base::Instant> timer;
        int starts = 0;
    };
    struct Team
    {
        Admission::RateLimit limit;
        std::size_t owner = 0;
        Base::Epoch epoch;
        Base::Instant leaseUntil;
    };
    struct Event
    {
        Base::Instant at;
        std::uint64_t order = 0;
        std::size_t daemon = 0;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void start(Daemon &daemon);
    void schedule(Base::Instant at, std::size_t daemon, std::function<void()> run);
    void send(std::size_t to, const std::function<void()> &deliver);
    void drain(std::size_t daemon);
    void perform(std::size_t daemon, const Admission::BorrowerAction &action);
    void renew(const Base::TeamId &team, std::size_t owner, Base::Epoch epoch);

    Network network_;
    Base::Random random_;
    std::vector<Daemon> daemons_;
    std::map<Base::TeamId, Team> teams_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::uint64_t lastRequest_ = 0;
    std::size_t messages_ = 0;
    Base::Instant now_;
    std::map<Base::RequestId, Base::Instant> callAt_;
    std::map<Base::TeamId, std::vector<Base::Instant>> admitted_;
    std::map<Base::TeamId, std::vector<Base::Instant>> refusedCalls_;
};
