#include "turnkeeper.h"

#include <turnhistory/turncodec.h>
#include <turnhistory/turnwrite.h>

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <set>

namespace TurnStore {

namespace {

using Telemetry::LogLevel;
using TurnHistory::Chain;
using TurnHistory::ChainOutcome;
using TurnHistory::ChainSearch;
using TurnHistory::LookupResult;
using TurnHistory::SearchState;
using TurnHistory::TurnId;

/// A request to a holder may have been executed after this time, but is not waited for.
constexpr Base::Duration callTimeout = std::chrono::milliseconds(600);

/// A write waits for up to two syncs of 5 ms; then one more holder is asked.
constexpr Base::Duration slowWrite = std::chrono::milliseconds(40);
constexpr Base::Duration slowRead = std::chrono::milliseconds(25);

constexpr Base::Duration slowBackoff = std::chrono::milliseconds(300);
constexpr Base::Duration firstBackoff = std::chrono::milliseconds(500);
constexpr Base::Duration longestBackoff = std::chrono::seconds(4);

/// Turns are refused before they run for this time after too few holders had room for one.
constexpr Base::Duration fullPeriod = std::chrono::seconds(5);

/// A lookup whose outcome is unknown is repeated for this time, as holders may just be starting.
constexpr Base::Duration lookupTime = std::chrono::milliseconds(350);
constexpr Base::Duration lookupInterval = std::chrono::milliseconds(100);

/// What chains leave free for the store and for documents of other daemons.
Base::Bytes reserveOf(const Base::MemoryBudget &budget)
{
    return Base::Bytes(budget.capacity().value() / 8);
}

} // namespace

/// Writes one turn. The holders that rank first are asked at once, others as those fail or are
/// slow, and all again while there is time: daemons that restart together are away for less time
/// than callers wait.
class TurnKeeper::KeepCall : public std::enable_shared_from_this<KeepCall>
{
public:
    KeepCall(TurnKeeper &owner,
             TurnHistory::Turn turn,
             Base::Duration timeLeft,
             std::function<void(bool)> done)
        : owner_(owner)
        , turn_(std::move(turn))
        , body_(TurnHistory::encodeKeepRequest({turn_}))
        , slowTimer_(owner.context_)
        , roundTimer_(owner.context_)
        , done_(std::move(done))
        , begin_(owner.now_())
        , write_({.copies = owner.settings_.copies, .deadline = begin_ + timeLeft})
    {
        owner_.setPendingKeeps(owner_.pendingKeeps_ + 1);
    }

    void start()
    {
        armSlowTimer();
        beginRound();
    }

    void cancel()
    {
        if (done_) {
            end("cancelled");
            done_ = nullptr;
        }
    }

private:
    void beginRound()
    {
        std::vector<Base::VmId> holders = owner_.ranked(turn_.placementKey);
        std::stable_partition(
            holders.begin(), holders.end(), [&](const auto &vm) { return !owner_.isSuspect(vm); });
        ask(write_.beginRound(holders, owner_.now_(), owner_.holdersWithoutRoom()));
        proceed();
    }

    void ask(const std::vector<Base::VmId> &holders)
    {
        for (const Base::VmId &vm : holders) {
            ++calls_;
            owner_.call(vm,
                        keepPath,
                        body_,
                        maxKeepResponse,
                        [self = shared_from_this(), vm](const Proxy::CallResult &result) {
                            self->onAnswer(vm, result);
                        });
        }
    }

    void onAnswer(const Base::VmId &vm, const Proxy::CallResult &result)
    {
        recordAnswer(vm, result);
        if (!done_) {
            return;
        }
        // The disk of a holder that was removed meanwhile may be gone.
        if (result.status == 200 && owner_.holders_.contains(vm)) {
            ask(write_.onKept(vm, owner_.now_()));
        } else if (result.status == diskFullStatus) {
            ask(write_.onFull(vm, owner_.now_()));
        } else {
            ask(write_.onFailed(vm, owner_.now_()));
        }
        proceed();
    }

    void recordAnswer(const Base::VmId &vm, const Proxy::CallResult &result)
    {
        if (result.status == 200) {
            owner_.recordSuccess(vm);
            return;
        }
        owner_.recordFailure(vm);
        owner_.metrics_
            .counter("marjoram_turn_write_failures_total",
                     "Calls to holders that did not confirm a turn")
            .add();
        if (result.status == diskFullStatus) {
            owner_.recordFull(vm);
        }
        problems_[vm] = result.status == 0 ? result.problem : std::to_string(result.status);
    }

    void proceed()
    {
        if (!done_) {
            return;
        }
        switch (write_.state()) {
        case TurnHistory::TurnWrite::State::Kept:
            finish(true);
            return;
        case TurnHistory::TurnWrite::State::NotKept:
            finish(false);
            return;
        case TurnHistory::TurnWrite::State::Pending:
            break;
        }
        if (const auto next = write_.nextRoundAt(); next && next != armedRound_) {
            armedRound_ = next;
            armRoundTimer(*next - owner_.now_());
        }
    }

    void armRoundTimer(Base::Duration delay)
    {
        roundTimer_.expires_after(delay);
        roundTimer_.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error && self->done_) {
                self->beginRound();
            }
        });
    }

    void armSlowTimer()
    {
        slowTimer_.expires_after(slowWrite);
        slowTimer_.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error && self->done_) {
                self->onSlow();
            }
        });
    }

    void onSlow()
    {
        for (const Base::VmId &vm : write_.awaited()) {
            owner_.recordSlow(vm);
        }
        armSlowTimer();
        ask(write_.onSlow(owner_.now_()));
        proceed();
    }

    void finish(bool isKept)
    {
        end(isKept ? "kept" : "not_kept");
        if (isKept) {
            owner_.cache_.add(TurnHistory::cachedTurn(std::move(turn_)));
        }
        std::exchange(done_, nullptr)(isKept);
    }

    void end(const std::string &outcome)
    {
        slowTimer_.cancel();
        roundTimer_.cancel();
        owner_.setPendingKeeps(owner_.pendingKeeps_ - 1);
        const bool isKept = outcome == "kept";
        const Base::Duration duration = owner_.now_() - begin_;
        owner_.metrics_
            .counter("marjoram_turn_commits_total",
                     "Turns to keep by outcome",
                     {{"kept", isKept ? "1" : "0"}})
            .add();
        owner_.metrics_.distribution("marjoram_turn_commit_seconds", "Time to keep a turn")
            .add(Base::toSeconds(duration));
        owner_.metrics_
            .distribution("marjoram_turn_commit_calls", "Calls to holders to keep a turn")
            .add(static_cast<double>(calls_));
        if (!isKept || write_.rounds() > 1) {
            writeLog(outcome, duration);
        }
    }

    void writeLog(const std::string &outcome, Base::Duration duration)
    {
        std::string problems;
        for (const auto &[vm, problem] : problems_) {
            problems += " " + vm.text() + ":" + problem;
        }
        const bool isKept = outcome == "kept";
        owner_.log_.write(
            isKept ? LogLevel::Info : LogLevel::Warning,
            (isKept ? "turn kept after failures:" : "turn cannot be kept:") + problems,
            {.request = turn_.id.text(),
             .step = "keep",
             .details = {{"outcome", outcome},
                         {"copies", static_cast<std::int64_t>(write_.keptCount())},
                         {"holders", static_cast<std::int64_t>(owner_.holders_.size())},
                         {"rounds", static_cast<std::int64_t>(write_.rounds())},
                         {"calls", static_cast<std::int64_t>(calls_)},
                         {"milliseconds", static_cast<std::int64_t>(duration.count() / 1000)}}});
    }

    TurnKeeper &owner_;
    TurnHistory::Turn turn_;
    std::string body_;
    /// The last failure of each holder, for the log.
    std::map<Base::VmId, std::string> problems_;
    std::size_t calls_ = 0;
    asio::steady_timer slowTimer_;
    asio::steady_timer roundTimer_;
    std::optional<Base::Instant> armedRound_;
    std::function<void(bool)> done_;
    Base::Instant begin_;
    TurnHistory::TurnWrite write_;
};

/// Collects one chain, from the cache and from the holders.
class TurnKeeper::FindCall : public std::enable_shared_from_this<FindCall>
{
public:
    FindCall(TurnKeeper &owner, const TurnId &id, std::string placementKey, LookupDone done)
        : owner_(owner)
        , id_(id)
        , placementKey_(std::move(placementKey))
        , timer_(owner.context_)
        , done_(std::move(done))
        , begin_(owner.now_())
    {
        chain_.next = id;
    }

    void start()
    {
        owner_.cache_.extend(chain_);
        if (chain_.isComplete()) {
            finish(LookupResult::Found);
            return;
        }
        search();
    }

private:
    /// Starts to look for the next turn of the chain.
    void search()
    {
        std::vector<Base::VmId> holders = owner_.ranked(placementKey_);
        const std::size_t count = std::min(owner_.settings_.copies, holders.size());
        std::stable_sort(holders.begin(),
                         holders.begin() + static_cast<std::ptrdiff_t>(count),
                         [&](const auto &a, const auto &b) { return cost(a) < cost(b); });
        search_.emplace(std::move(holders), owner_.settings_.copies);
        isRegistrationRead_ = false;
        ++searchNumber_;
        ask(search_->start());
        proceed();
    }

    int cost(const Base::VmId &vm) const
    {
        return (owner_.isSuspect(vm) ? 2 : 0) + (owner_.isInOwnZone(vm) ? 0 : 1);
    }

    void ask(const std::vector<Base::VmId> &holders)
    {
        const std::string body = TurnHistory::encodeChainRequest(chain_.next);
        for (const Base::VmId &vm : holders) {
            awaited_.insert(vm);
            owner_.call(
                vm,
                chainPath,
                body,
                maxTurnsMessage,
                [self = shared_from_this(), vm, number = searchNumber_](
                    const Proxy::CallResult &result) { self->onAnswer(vm, number, result); });
        }
        if (!holders.empty()) {
            armTimer(slowRead, &FindCall::onSlow);
        }
    }

    void onAnswer(const Base::VmId &vm, std::uint32_t number, const Proxy::CallResult &result)
    {
        TurnHistory::ChainResponse response;
        if (result.status == 200) {
            owner_.recordSuccess(vm);
            response = TurnHistory::decodeChainResponse(result.body);
        } else {
            owner_.recordFailure(vm);
        }
        if (!done_ || number != searchNumber_) {
            return;
        }
        awaited_.erase(vm);
        if (response.outcome == ChainOutcome::Found && !response.turns.empty()
            && response.turns.front().id == chain_.next) {
            onFound(std::move(response.turns));
            return;
        }
        ask(response.outcome == ChainOutcome::Absent
                ? search_->onAbsent(vm, response.isSynchronized)
                : search_->onFailed(vm));
        proceed();
    }

    void onFound(std::vector<TurnHistory::Turn> turns)
    {
        for (TurnHistory::Turn &turn : turns) {
            if (turn.id != chain_.next || chain_.contents.size() >= TurnHistory::maxChainTurns) {
                break;
            }
            ++fetched_;
            const TurnHistory::CachedTurn cached = TurnHistory::cachedTurn(std::move(turn));
            chain_.append(cached);
            owner_.cache_.add(cached);
        }
        owner_.cache_.extend(chain_);
        if (chain_.isComplete()) {
            finish(LookupResult::Found);
        } else if (chain_.contents.size() >= TurnHistory::maxChainTurns) {
            finish(LookupResult::Unavailable);
        } else {
            search();
        }
    }

    void proceed()
    {
        switch (search_->state()) {
        case SearchState::Pending:
        case SearchState::Found:
            return;
        case SearchState::Absent:
            onAbsent();
            return;
        case SearchState::Unknown:
            retryOrGiveUp();
            return;
        }
    }

    /// The turn is certain not to exist if no holder was registered meanwhile that was not asked.
    void onAbsent()
    {
        if (!chain_.contents.empty()) {
            retryOrGiveUp(); // a kept turn whose predecessor cannot be found
            return;
        }
        if (isRegistrationRead_) {
            finish(LookupResult::Absent);
            return;
        }
        isRegistrationRead_ = true;
        owner_.readHolders_([self = shared_from_this(),
                             number = searchNumber_](const std::optional<Holders> &holders) {
            if (!self->done_ || number != self->searchNumber_) {
                return;
            }
            if (!holders) {
                self->finish(LookupResult::Unavailable);
                return;
            }
            self->owner_.setHolders(*holders);
            self->ask(self->search_->onRegistered(self->owner_.ranked(self->placementKey_)));
            self->proceed();
        });
    }

    void retryOrGiveUp()
    {
        if (owner_.now_() - begin_ >= lookupTime) {
            finish(LookupResult::Unavailable);
            return;
        }
        armTimer(lookupInterval, &FindCall::search);
    }

    void onSlow()
    {
        for (const Base::VmId &vm : awaited_) {
            owner_.recordSlow(vm);
        }
        ask(search_->onSlow());
    }

    void armTimer(Base::Duration delay, void (FindCall::*action)())
    {
        timer_.expires_after(delay);
        timer_.async_wait([self = shared_from_this(), action](const std::error_code &error) {
            if (!error && self->done_) {
                (self.get()->*action)();
            }
        });
    }

    void finish(LookupResult result)
    {
        timer_.cancel();
        const char *name = result == LookupResult::Found    ? (fetched_ > 0 ? "holder" : "memory")
                           : result == LookupResult::Absent ? "absent"
                                                            : "unavailable";
        owner_.metrics_
            .counter("marjoram_chain_lookups_total",
                     "Lookups of chains by where they were found",
                     {{"source", name}})
            .add();
        const Base::Duration duration = owner_.now_() - begin_;
        owner_.metrics_.distribution("marjoram_chain_lookup_seconds", "Time to find a chain")
            .add(Base::toSeconds(duration));
        if (result != LookupResult::Found) {
            owner_.log_.write(
                LogLevel::Info,
                "chain not found",
                {.step = "history",
                 .details
                 = {{"turn", id_.text()},
                    {"outcome", name},
                    {"missing", chain_.next.text()},
                    {"holders", static_cast<std::int64_t>(owner_.holders_.size())},
                    {"milliseconds", static_cast<std::int64_t>(duration.count() / 1000)}}});
        }
        std::exchange(done_, nullptr)(result, chain_);
    }

    TurnKeeper &owner_;
    TurnId id_;
    std::string placementKey_;
    Chain chain_;
    std::optional<ChainSearch> search_;
    /// Distinguishes the answers to the current search from late ones to an earlier search.
    std::uint32_t searchNumber_ = 0;
    std::set<Base::VmId> awaited_;
    /// The registered holders were read after all known ones had answered.
    bool isRegistrationRead_ = false;
    std::size_t fetched_ = 0;
    asio::steady_timer timer_;
    LookupDone done_;
    Base::Instant begin_;
};

TurnKeeper::TurnKeeper(asio::io_context &context,
                       TurnKeeperSettings settings,
                       ReadHolders readHolders,
                       std::function<Base::Instant()> now,
                       Telemetry::Log &log,
                       Telemetry::Metrics &metrics)
    : context_(context)
    , settings_(std::move(settings))
    , readHolders_(std::move(readHolders))
    , now_(std::move(now))
    , log_(log)
    , metrics_(metrics)
    , cache_(settings_.cacheBytes)
{}

void TurnKeeper::setHolders(const Holders &holders)
{
    std::map<Base::VmId, HolderState> next;
    for (const HolderAddress &address : holders) {
        const auto known = holders_.find(address.holder.vm);
        if (known != holders_.end() && known->second.address == address) {
            next.emplace(address.holder.vm, std::move(known->second));
            continue;
        }
        HolderState state;
        state.address = address;
        state.caller = std::make_shared<Proxy::HttpCaller>(
            context_, address.endpoint, address.endpoint.address().to_string());
        if (memory_) {
            state.caller->setMemory(*memory_, reserveOf(*memory_));
        }
        state.nextBackoff = firstBackoff;
        next.emplace(address.holder.vm, std::move(state));
    }
    holders_ = std::move(next);
}

bool TurnKeeper::isAvailable() const
{
    const Base::Instant now = now_();
    const auto usable = std::count_if(holders_.begin(), holders_.end(), [&](const auto &entry) {
        return now >= entry.second.fullUntil;
    });
    return static_cast<std::size_t>(usable) >= settings_.copies;
}

void TurnKeeper::recordFull(const Base::VmId &vm)
{
    if (const auto entry = holders_.find(vm); entry != holders_.end()) {
        entry->second.fullUntil = now_() + fullPeriod;
    }
}

std::vector<Base::VmId> TurnKeeper::ranked(const std::string &placementKey) const
{
    std::vector<TurnHistory::Holder> holders;
    for (const auto &[vm, state] : holders_) {
        holders.push_back(state.address.holder);
    }
    return TurnHistory::rankHolders(placementKey, holders);
}

std::set<Base::VmId> TurnKeeper::holdersWithoutRoom() const
{
    std::set<Base::VmId> result;
    for (const auto &[vm, state] : holders_) {
        if (now_() < state.fullUntil) {
            result.insert(vm);
        }
    }
    return result;
}

bool TurnKeeper::isSuspect(const Base::VmId &vm) const
{
    const auto entry = holders_.find(vm);
    return entry != holders_.end() && now_() < entry->second.suspectUntil;
}

bool TurnKeeper::isInOwnZone(const Base::VmId &vm) const
{
    const auto entry = holders_.find(vm);
    return entry != holders_.end() && entry->second.address.holder.zone == settings_.zone;
}

void TurnKeeper::recordSuccess(const Base::VmId &vm)
{
    if (const auto entry = holders_.find(vm); entry != holders_.end()) {
        entry->second.suspectUntil = {};
        entry->second.nextBackoff = firstBackoff;
    }
}

void TurnKeeper::recordFailure(const Base::VmId &vm)
{
    const auto entry = holders_.find(vm);
    if (entry == holders_.end()) {
        return;
    }
    HolderState &state = entry->second;
    if (now_() >= state.suspectUntil) {
        state.suspectUntil = now_() + state.nextBackoff;
        state.nextBackoff = std::min(longestBackoff, 2 * state.nextBackoff);
    }
}

void TurnKeeper::recordSlow(const Base::VmId &vm)
{
    if (const auto entry = holders_.find(vm); entry != holders_.end()) {
        entry->second.suspectUntil = std::max(entry->second.suspectUntil, now_() + slowBackoff);
    }
}

void TurnKeeper::call(const Base::VmId &vm,
                      const char *path,
                      const std::string &body,
                      Base::Bytes maxResponse,
                      std::function<void(const Proxy::CallResult &)> done)
{
    const auto entry = holders_.find(vm);
    if (entry == holders_.end()) {
        Proxy::CallResult result;
        result.problem = "holder is no longer registered";
        done(result);
        return;
    }
    entry->second.caller->call("POST",
                               path,
                               body,
                               {.timeout = callTimeout, .responseBytes = maxResponse},
                               std::move(done));
}

void TurnKeeper::find(const TurnId &id, const std::string &placementKey, LookupDone done)
{
    std::make_shared<FindCall>(*this, id, placementKey, std::move(done))->start();
}

std::function<void()> TurnKeeper::keep(TurnHistory::Turn turn,
                                       Base::Duration timeLeft,
                                       std::function<void(bool)> done)
{
    const auto call = std::make_shared<KeepCall>(*this, std::move(turn), timeLeft, std::move(done));
    call->start();
    return [weak = std::weak_ptr(call)] {
        if (const auto pending = weak.lock()) {
            pending->cancel();
        }
    };
}

void TurnKeeper::setPendingKeeps(std::size_t count)
{
    pendingKeeps_ = count;
    metrics_.gauge("marjoram_turns_pending", "Turns that are being written to holders")
        .set(static_cast<double>(count));
}

} // namespace TurnStore
