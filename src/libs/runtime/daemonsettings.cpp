#include "daemonsettings.h"

#include <asio/ip/address.hpp>

#include <algorithm>

namespace Runtime {

namespace {

using Base::SettingsReader;

constexpr std::int64_t maxPort = 65535;
constexpr std::int64_t maxPartitions = 4096;
constexpr std::int64_t maxWorkers = 64;
constexpr std::int64_t maxBodyBytes = 64'000'000;
constexpr std::int64_t maxCallerConnections = 100'000;
constexpr std::int64_t maxMemoryBytes = 64'000'000'000;
constexpr std::int64_t minBacklogBytes = 1'000'000;
constexpr std::int64_t maxWitnessBytes = 1'000'000'000;
constexpr const char *defaultPeerName = "marjoramfield-peer";
constexpr const char *defaultOperatorName = "marjoramfield-operator";

/// Requests of the largest size that fit into the memory for bodies at least: as one gets half of
/// it, fewer would refuse them even in calm.
constexpr std::int64_t minLargestBodies = 2;

ListenAddress readAddress(SettingsReader &reader)
{
    ListenAddress address;
    address.address = reader.text("address");
    std::error_code error;
    asio::ip::make_address(address.address, error);
    if (!address.address.empty() && error) {
        reader.addProblem("address", "string \"" + address.address + "\"", "an IP address");
    }
    address.port = static_cast<std::uint16_t>(reader.integer("port", 1, maxPort));
    return address;
}

Rpc::TlsSettings readTls(SettingsReader &reader, const char *peerName)
{
    Rpc::TlsSettings tls;
    tls.certificateFile = reader.text("certificate");
    tls.privateKeyFile = reader.text("private_key");
    tls.trustFile = reader.text("trust");
    tls.peerName = reader.text("peer_name", peerName);
    return tls;
}

void readCallerLimits(SettingsReader &callers, DaemonSettings &settings)
{
    const std::int64_t minBodyMemory = minLargestBodies * settings.maxBody.value();
    settings.maxConnections = static_cast<std::size_t>(
        callers.integer("max_connections",
                        1,
                        maxCallerConnections,
                        static_cast<std::int64_t>(settings.maxConnections)));
    settings.bodyMemory
        = Base::Bytes(callers.integer("body_memory_bytes",
                                      minBodyMemory,
                                      maxMemoryBytes,
                                      std::max(minBodyMemory, settings.bodyMemory.value())));
    settings.backlogMemory = Base::Bytes(callers.integer(
        "backlog_memory_bytes", minBacklogBytes, maxMemoryBytes, settings.backlogMemory.value()));
}

void readOperators(SettingsReader reader, DaemonSettings &settings)
{
    constexpr size_t hashCharacters = 64;
    settings.operators = readAddress(reader);
    settings.operatorTls = readTls(reader, defaultOperatorName);
    for (SettingsReader &account : reader.objects("accounts")) {
        Operators::OperatorAccount entry{account.text("name"), account.text("token_sha256")};
        const bool isHash
            = entry.tokenHash.size() == hashCharacters
              && entry.tokenHash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!entry.tokenHash.empty() && !isHash) {
            account.addProblem(
                "token_sha256", "a string of another form", "64 lower-case hexadecimal digits");
        }
        account.rejectUnknown();
        settings.operatorAccounts.push_back(std::move(entry));
    }
    reader.rejectUnknown();
}

void readLog(SettingsReader &parent, DaemonSettings &settings)
{
    if (!parent.has("log")) {
        parent.boolean("log", false);
        return;
    }
    SettingsReader reader = parent.object("log");
    settings.log.file = reader.text("file", std::string());
    const std::string level = reader.text("level", "info");
    if (level == "debug") {
        settings.log.level = Telemetry::LogLevel::Debug;
    } else if (level == "warning") {
        settings.log.level = Telemetry::LogLevel::Warning;
    } else if (level == "error") {
        settings.log.level = Telemetry::LogLevel::Error;
    } else if (level != "info") {
        reader.addProblem("level", "string \"" + level + "\"", "debug, info, warning or error");
    }
    reader.rejectUnknown();
}

void checkConsistency(SettingsReader &reader, const DaemonSettings &settings)
{
    const std::pair<const char *, const ListenAddress *> addresses[]
        = {{"callers", &settings.callers},
           {"status", &settings.status},
           {"operators", &settings.operators},
           {"peers", &settings.peers}};
    for (size_t i = 0; i < std::size(addresses); ++i) {
        for (size_t k = 0; k < i; ++k) {
            const ListenAddress &a = *addresses[i].second;
            const ListenAddress &b = *addresses[k].second;
            if (!a.address.empty() && a.address == b.address && a.port == b.port) {
                reader.addProblem(std::string(addresses[i].first) + "/port",
                                  "the address of \"" + std::string(addresses[k].first) + "\"",
                                  "an address and port that no other listener uses");
            }
        }
    }
}

} // namespace

ParsedSettings parseSettings(const std::string &text)
{
    ParsedSettings result;
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        result.problems.push_back({"/", "text that is not JSON", "a JSON object"});
        return result;
    }
    DaemonSettings &settings = result.settings;
    SettingsReader reader(document, "", result.problems);
    settings.vm = Base::VmId(reader.text("vm"));
    settings.zone = Base::ZoneId(reader.text("zone"));
    SettingsReader callers = reader.object("callers");
    settings.callers = readAddress(callers);
    settings.maxBody
        = Base::Bytes(callers.integer("max_body_bytes", 1, maxBodyBytes, settings.maxBody.value()));
    readCallerLimits(callers, settings);
    callers.rejectUnknown();
    SettingsReader status = reader.object("status");
    settings.status = readAddress(status);
    status.rejectUnknown();
    readOperators(reader.object("operators"), settings);
    SettingsReader peers = reader.object("peers");
    settings.peers = readAddress(peers);
    settings.peerTls = readTls(peers, defaultPeerName);
    peers.rejectUnknown();
    SettingsReader platform = reader.object("platform");
    settings.platformUrl = platform.text("url");
    if (!settings.platformUrl.empty() && !settings.platformUrl.starts_with("http")) {
        platform.addProblem(
            "url", "string \"" + settings.platformUrl + "\"", "an http or https URL");
    }
    platform.rejectUnknown();
    settings.partitions = static_cast<std::uint16_t>(
        reader.integer("partitions", 1, maxPartitions, settings.partitions));
    settings.workers
        = static_cast<unsigned>(reader.integer("workers", 1, maxWorkers, settings.workers));
    settings.leaveNotice
        = std::chrono::milliseconds(reader.integer("leave_notice_ms", 0, 60'000, 3000));
    settings.drainTimeout = std::chrono::seconds(reader.integer("drain_timeout_s", 1, 3600, 600));
    settings.handoverTimeout
        = std::chrono::milliseconds(reader.integer("handover_timeout_ms", 0, 600'000, 10'000));
    settings.witnessCapacity = Base::Bytes(reader.integer(
        "witness_bytes", 1'000'000, maxWitnessBytes, settings.witnessCapacity.value()));
    readLog(reader, settings);
    settings.log.daemon = settings.vm.text();
    settings.log.keyPrefixes = {"mf_"};
    checkConsistency(reader, settings);
    reader.rejectUnknown();
    return result;
}

Scheduler::CoreSettings coreSettings(const DaemonSettings &settings,
                                     const Base::IncarnationId &incarnation,
                                     std::uint64_t seed)
{
    Scheduler::CoreSettings core;
    core.self.incarnation = incarnation;
    core.self.vm = settings.vm;
    core.self.zone = settings.zone;
    core.self.address = {settings.peers.address, settings.peers.port};
    core.partitionCount = settings.partitions;
    core.seed = seed;
    core.witnessCapacity = settings.witnessCapacity;
    core.programs.maxInput = settings.maxBody;
    core.dispatch.isBorrowingSlots = true;
    return core;
}

} // namespace Runtime
