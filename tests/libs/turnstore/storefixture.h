#pragma once

#include <turnstore/turnkeeper.h>
#include <turnstore/turnstoreservice.h>

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

/// A folder that is removed at the end of the test.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();

    const std::string &path() const { return path_; }

private:
    std::string path_;
};

/// Shared by all tests, as the log library can be started only once per process.
Telemetry::Log &silentLog();

/// Runs the loop until the condition holds; fails the test after a guard time.
void runUntil(asio::io_context &context, const std::function<bool()> &condition, const char *what);

/// Daemons that keep turns, and one that uses them, on loopback addresses and one event loop.
class StoreFixture
{
public:
    explicit StoreFixture(std::size_t holders, std::size_t copies);
    ~StoreFixture();

    /// Ends the process of a holder; its disk stays.
    void stop(std::size_t holder);
    void start(std::size_t holder, bool isFirst);
    void emptyDisk(std::size_t holder);
    TurnStore::TurnStoreService &service(std::size_t holder) { return *nodes_[holder].service; }
    TurnStore::TurnDisk &disk(std::size_t holder) { return *nodes_[holder].disk; }
    std::string folder(std::size_t holder) const;
    /// Holders that are registered in the platform's store.
    std::vector<TurnStore::HolderAddress> addresses() const;

    /// Bytes that each disk may take; applies from the next start() on.
    std::uint64_t capacityBytes = 1'000'000;

    /// Time that a request has left; applies to keep().
    Base::Duration timeLeft{};

    bool keep(const TurnHistory::Turn &turn);
    TurnHistory::LookupResult find(const std::string &id, std::string *joined = nullptr);
    /// A daemon that has nothing in memory.
    void restartKeeper();

    asio::io_context context;
    Telemetry::Metrics metrics;
    std::unique_ptr<TurnStore::TurnKeeper> keeper;
    /// Whether the registered holders can be read.
    bool isRegistryAvailable = true;

private:
    struct Node
    {
        TurnStore::HolderAddress address;
        std::unique_ptr<TurnStore::TurnDisk> disk;
        std::unique_ptr<TurnStore::TurnStoreService> service;
    };

    TemporaryFolder folder_;
    std::size_t copies_;
    std::vector<Node> nodes_;
    /// Keepers that late answers may still reach.
    std::vector<std::unique_ptr<TurnStore::TurnKeeper>> formerKeepers_;
    /// Services whose callbacks may still be pending.
    std::vector<std::unique_ptr<TurnStore::TurnStoreService>> stopped_;
    std::vector<std::unique_ptr<TurnStore::TurnDisk>> stoppedDisks_;
};
