#include <runtime/daemonsettings.h>

#include <criterion/criterion.h>

namespace {

nlohmann::json listener(int port)
{
    return {{"address", "127.0.0.1"}, {"port", port}};
}

nlohmann::json secureListener(int port)
{
    nlohmann::json result = listener(port);
    result["certificate"] = "c.pem";
    result["private_key"] = "k.pem";
    result["trust"] = "t.pem";
    return result;
}

nlohmann::json validSettings()
{
    return {{"vm", "vm-1"},
            {"zone", "zone-a"},
            {"callers", listener(1)},
            {"status", listener(2)},
            {"operators", secureListener(3)},
            {"peers", secureListener(4)},
            {"platform", {{"url", "http://127.0.0.1:9000"}}}};
}

/// The path of the only problem.
std::string problemPath(const nlohmann::json &settings)
{
    const Runtime::ParsedSettings parsed = Runtime::parseSettings(settings.dump());
    cr_assert_eq(parsed.problems.size(), 1U);
    return parsed.problems.front().path;
}

} // namespace

Test(daemonsettings, validSettingsAreTaken)
{
    const Runtime::ParsedSettings parsed = Runtime::parseSettings(validSettings().dump());
    cr_assert(parsed.problems.empty());
    cr_assert_str_eq(parsed.settings.vm.text().c_str(), "vm-1");
    cr_assert_eq(parsed.settings.peers.port, 4);
    cr_assert_eq(parsed.settings.partitions, 256);
}

Test(daemonsettings, problemsNameTheirPath)
{
    nlohmann::json settings = validSettings();
    settings["callers"]["port"] = 70000;
    cr_assert(problemPath(settings) == "/callers/port");
    settings = validSettings();
    settings["peers"]["address"] = "localhost";
    cr_assert(problemPath(settings) == "/peers/address");
    settings = validSettings();
    settings["platfrom"] = 1;
    cr_assert(problemPath(settings) == "/platfrom");
    settings = validSettings();
    settings["status"] = settings["callers"];
    cr_assert(problemPath(settings) == "/status/port");
    settings = validSettings();
    settings["operators"]["accounts"] = {{{"name", "a"}, {"token_sha256", "secret"}}};
    cr_assert(problemPath(settings) == "/operators/accounts/0/token_sha256");
    settings = validSettings();
    settings["log"] = {{"level", "loud"}};
    cr_assert(problemPath(settings) == "/log/level");
}

Test(daemonsettings, textThatIsNotJsonIsAProblem)
{
    cr_assert_eq(Runtime::parseSettings("{").problems.size(), 1U);
    cr_assert_eq(Runtime::parseSettings("{").problems.front().path, "/");
}

// Guards against a memory for bodies into which not even one of the largest fits, as one request
// gets half of it.
Test(daemonsettings, limitsOfCallersAreChecked)
{
    nlohmann::json settings = validSettings();
    settings["callers"]["max_body_bytes"] = 1'000'000;
    settings["callers"]["body_memory_bytes"] = 1'999'999;
    cr_assert(problemPath(settings) == "/callers/body_memory_bytes");
    settings["callers"]["body_memory_bytes"] = 2'000'000;
    settings["callers"]["max_connections"] = 0;
    cr_assert(problemPath(settings) == "/callers/max_connections");
    settings["callers"]["max_connections"] = 10;
    settings["callers"]["backlog_memory_bytes"] = 10;
    cr_assert(problemPath(settings) == "/callers/backlog_memory_bytes");
    settings["callers"]["backlog_memory_bytes"] = 5'000'000;
    const Runtime::ParsedSettings parsed = Runtime::parseSettings(settings.dump());
    cr_assert(parsed.problems.empty());
    cr_assert_eq(parsed.settings.maxConnections, 10);
    cr_assert_eq(parsed.settings.bodyMemory.value(), 2'000'000);
    cr_assert_eq(parsed.settings.backlogMemory.value(), 5'000'000);
}

// Guards against larger bodies by settings, without larger memory for them, that are never served.
Test(daemonsettings, theMemoryForBodiesGrowsWithTheLargestBody)
{
    nlohmann::json settings = validSettings();
    settings["callers"]["max_body_bytes"] = 60'000'000;
    const Runtime::ParsedSettings parsed = Runtime::parseSettings(settings.dump());
    cr_assert(parsed.problems.empty());
    cr_assert_eq(parsed.settings.bodyMemory.value(), 120'000'000);
}
