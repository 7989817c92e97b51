#include <libs/loopback.h>
#include <soak/daemonprocess.h>

#include <asio/ip/tcp.hpp>
#include <criterion/criterion.h>

#include <sys/stat.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>

namespace {

std::string address()
{
    const auto endpoint = freeEndpoint<asio::ip::tcp>();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string settingsText(const std::filesystem::path &folder)
{
    const auto own = freeEndpoint<asio::ip::tcp>();
    const std::string port = std::to_string(own.port());
    return R"({"node_name": "vm-1", "zone": "a", "bounds": {"grace_s": 2}, "ip": ")"
           + own.address().to_string() + R"(", "listen": {"front": ")" + address()
           + R"(", "ready": ")" + address() + R"(", "control": ")" + address()
           + R"("}, "port_range": [)" + port + ", " + port + R"(], "data_dir": ")" + folder.string()
           + R"(", "platform": {"address": ")" + address() + R"("}})";
}

/// Sends the signals while the process reads its settings; returns its wait status.
std::optional<int> statusAfterEarlySignals(const std::string &role, const std::vector<int> &signals)
{
    std::string name = std::filesystem::temp_directory_path() / "tst_processsignals.XXXXXX";
    cr_assert(mkdtemp(name.data()) != nullptr);
    const std::filesystem::path folder = name;
    const std::filesystem::path settings = folder / "settings.json";
    cr_assert_eq(mkfifo(settings.c_str(), S_IRUSR | S_IWUSR), 0);
    Soak::DaemonProcess process(MARJORAM_NODE, role, settings, folder / "log");
    process.start();
    {
        std::ofstream file(settings); // opens once the process reads it
        for (const int signal : signals) {
            process.signal(signal);
        }
        file << settingsText(folder);
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::optional<int> status;
    while (!status && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        status = process.poll();
    }
    std::filesystem::remove_all(folder);
    return status;
}

void assertExited(const std::optional<int> &status)
{
    cr_assert(status, "the process still runs");
    cr_assert_eq(*status, 0, "wait status %d", *status);
}

} // namespace

/// Guards against a process that a signal ends before its handlers are set.
Test(processsignals, aSignalDuringTheStartOfAFrontStopsItGracefully)
{
    assertExited(statusAfterEarlySignals("front", {SIGTERM}));
}

Test(processsignals, aHangupDuringTheStartOfAFrontHasNoEffect)
{
    assertExited(statusAfterEarlySignals("front", {SIGHUP, SIGTERM}));
}

Test(processsignals, aSignalDuringTheStartOfAStoreStopsItGracefully)
{
    assertExited(statusAfterEarlySignals("store", {SIGHUP, SIGTERM}));
}
