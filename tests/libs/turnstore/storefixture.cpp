#include "storefixture.h"

#include <libs/loopback.h>
#include <proxy/steadyclock.h>

#include <criterion/criterion.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>

using namespace TurnStore;

namespace {

constexpr auto guardTime = std::chrono::seconds(20);

} // namespace

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "turnstore-XXXXXX").string();
    cr_assert_not_null(::mkdtemp(pattern.data()));
    path_ = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored; // the folder of a finished test is of no further use
    std::filesystem::remove_all(path_, ignored);
}

Telemetry::Log &silentLog()
{
    static Telemetry::Log log({.file = "/dev/null",
                               .level = Telemetry::LogLevel::Error,
                               .daemon = {},
                               .keyPrefixes = {}});
    return log;
}

void runUntil(asio::io_context &context, const std::function<bool()> &condition, const char *what)
{
    const auto end = std::chrono::steady_clock::now() + guardTime;
    while (!condition()) {
        if (context.stopped()) {
            context.restart(); // it stops whenever nothing is pending
        }
        cr_assert(std::chrono::steady_clock::now() < end, "timed out: %s", what);
        context.run_one_for(std::chrono::milliseconds(20));
    }
}

StoreFixture::StoreFixture(std::size_t holders, std::size_t copies)
    : copies_(copies)
{
    for (std::size_t i = 0; i < holders; ++i) {
        Node node;
        node.address.holder
            = {Base::VmId("vm" + std::to_string(i)), Base::ZoneId(std::to_string(i))};
        node.address.endpoint = freeEndpoint<asio::ip::tcp>();
        nodes_.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < holders; ++i) {
        start(i, true);
    }
    restartKeeper();
}

StoreFixture::~StoreFixture()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        stop(i);
    }
}

std::string StoreFixture::folder(std::size_t holder) const
{
    return folder_.path() + "/" + std::to_string(holder);
}

std::vector<HolderAddress> StoreFixture::addresses() const
{
    std::vector<HolderAddress> result;
    for (const Node &node : nodes_) {
        result.push_back(node.address);
    }
    return result;
}

void StoreFixture::start(std::size_t holder, bool isFirst)
{
    Node &node = nodes_[holder];
    TurnDiskSettings settings;
    settings.folder = folder(holder);
    settings.capacityBytes = capacityBytes;
    settings.segmentBytes = 2000;
    node.disk = std::make_unique<TurnDisk>(context, settings, silentLog(), metrics);
    node.service = std::make_unique<TurnStoreService>(
        context,
        node.address,
        *node.disk,
        TurnHistory::ReplicationPlan::Settings{.copies = copies_},
        &Proxy::steadyNow,
        silentLog(),
        metrics);
    node.service->start();
    node.service->setHolders(addresses());
    if (isFirst) {
        node.service->setFirstRegistration();
    }
}

void StoreFixture::stop(std::size_t holder)
{
    Node &node = nodes_[holder];
    if (node.service) {
        node.service->stop();
        stopped_.push_back(std::move(node.service));
        stoppedDisks_.push_back(std::move(node.disk));
    }
}

void StoreFixture::emptyDisk(std::size_t holder)
{
    std::filesystem::remove_all(folder(holder));
}

void StoreFixture::restartKeeper()
{
    if (keeper) {
        formerKeepers_.push_back(std::move(keeper));
    }
    TurnKeeperSettings settings;
    settings.copies = copies_;
    keeper = std::make_unique<TurnKeeper>(
        context,
        settings,
        [this](const auto &done) {
            done(isRegistryAvailable ? std::optional(addresses()) : std::nullopt);
        },
        &Proxy::steadyNow,
        silentLog(),
        metrics);
    keeper->setHolders(addresses());
}

bool StoreFixture::keep(const TurnHistory::Turn &turn)
{
    std::optional<bool> result;
    keeper->keep(turn, timeLeft, [&](bool isKept) { result = isKept; });
    runUntil(
        context, [&] { return result.has_value(); }, "the turn is kept or not");
    return *result;
}

TurnHistory::LookupResult StoreFixture::find(const std::string &id, std::string *joined)
{
    std::optional<TurnHistory::LookupResult> result;
    keeper->find(TurnHistory::TurnId(id), "program", [&](auto found, const auto &chain) {
        result = found;
        if (joined) {
            *joined = chain.joined();
        }
    });
    runUntil(
        context, [&] { return result.has_value(); }, "the chain is found or not");
    return *result;
}
