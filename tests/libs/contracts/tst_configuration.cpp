#include <contracts/configchanges.h>
#include <contracts/configedit.h>
#include <contracts/configurationcodec.h>
#include <contracts/configurationindex.h>
#include <contracts/keyauthenticator.h>
#include <contracts/keyhasher.h>

#include <criterion/criterion.h>

using namespace Contracts;
using namespace std::chrono_literals;

namespace {

const Base::Instant now(1000s);
const KeySecret secret{1, 2, 3};
const Base::KeyId keyId("k1");
const std::string keyText = formatKey(keyId, secret);

Key keyOf(const Base::KeyId &id, const std::string &text)
{
    Key key;
    key.id = id;
    key.hash = hashSecret(parseKey(text)->secret);
    return key;
}

ConfigurationDocument sample()
{
    ConfigurationDocument document;
    document.version = Base::ConfigVersion(7);
    document.recentChanges.push_back({Base::ConfigVersion(7), Base::WriteId("vm1.1.config.3")});
    Team team;
    team.id = Base::TeamId("lunch");
    team.ratePerSecond = 2.5;
    team.burst = 10;
    team.budget = Base::Tokens(1'000'000);
    team.keys.push_back(keyOf(keyId, keyText));
    team.keys.back().validUntil = now + 60s;
    document.teams.push_back(team);
    Service service;
    service.id = Base::ServiceId("planner");
    service.model = Base::ModelId("menu-8b");
    service.isIdempotent = true;
    service.teams.push_back(team.id);
    service.objective = ServiceObjective{1500ms, 0.99};
    document.services.push_back(service);
    BackendServer server;
    server.id = Base::ServerId("engine1");
    server.service = service.id;
    server.address = "10.0.0.7:8000";
    server.zone = Base::ZoneId("north");
    server.slots = 16;
    document.servers.push_back(server);
    return document;
}

bool names(const std::vector<Base::SettingsProblem> &problems, const std::string &path)
{
    return std::ranges::any_of(problems, [&path](const Base::SettingsProblem &problem) {
        return problem.path == path && !problem.found.empty() && !problem.expected.empty();
    });
}

} // namespace

Test(configuration, decodingRestoresTheEncodedDocument)
{
    const ParsedConfiguration parsed = decode(encode(sample()));
    cr_assert(parsed.isValid());
    cr_assert(parsed.document == sample());
}

Test(configuration, decodeReportsEveryProblemWithItsPath)
{
    nlohmann::json object = toJson(sample());
    object["teams"][0]["weigth"] = 2;
    object["teams"][0]["rate_per_s"] = -1;
    object["services"][0]["kind"] = "engine";
    object["servers"][0].erase("zone");
    const ParsedConfiguration parsed = decode(object.dump());
    cr_assert(names(parsed.problems, "/teams/0/weigth"));
    cr_assert(names(parsed.problems, "/teams/0/rate_per_s"));
    cr_assert(names(parsed.problems, "/services/0/kind"));
    cr_assert(names(parsed.problems, "/servers/0/zone"));
    cr_assert_not(decode("{").isValid());
}

Test(configuration, checkFindsReferencesAndDuplicates)
{
    ConfigurationDocument document = sample();
    document.teams.push_back(document.teams[0]);
    document.services[0].teams.emplace_back("nobody");
    document.servers[0].service = Base::ServiceId("nothing");
    document.servers[0].address = "engine1:8000";
    const std::vector<Base::SettingsProblem> problems = check(document);
    cr_assert(names(problems, "/teams/1/id"));
    cr_assert(names(problems, "/teams/1/keys/0/id"));
    cr_assert(names(problems, "/services/0/teams/1"));
    cr_assert(names(problems, "/servers/0/service"));
    cr_assert(names(problems, "/servers/0/address"));
}

Test(configuration, secretsAreHashedWithSha256)
{
    const KeyHash hash = hashSecret("abc");
    cr_assert_eq(hash[0], 0xba);
    cr_assert_eq(hash[31], 0xad);
    cr_assert(encode(sample()).find(parseKey(keyText)->secret) == std::string::npos);
}

Test(configuration, keysAuthenticateTheirTeam)
{
    ConfigurationDocument document = sample();
    const std::string second = formatKey(Base::KeyId("k2"), KeySecret{9});
    document.teams[0].keys.push_back(keyOf(Base::KeyId("k2"), second));
    const KeyAuthenticator authenticator(document);
    cr_assert(authenticator.authenticate(keyText, now).value()
              == (KeyHolder{Base::TeamId("lunch"), keyId}));
    cr_assert(authenticator.authenticate(second, now).has_value(), "two keys are valid at once");
    cr_assert_not(authenticator.authenticate(keyText, now + 60s).has_value(),
                  "the key has expired");
    cr_assert_eq(authenticator.expired(now, now + 60s).at(0).key, keyId);
    cr_assert(authenticator.expired(now + 60s, now + 120s).empty());
    const std::string wrong = formatKey(keyId, KeySecret{7});
    cr_assert_eq(authenticator.authenticate(wrong, now).error().code,
                 Base::ErrorCode::Unauthorized);
    for (const std::string text : {"", "mf_", "mf_k1", "mf_k1_", "Bearer x", "mf_k9_00"}) {
        cr_assert_not(authenticator.authenticate(text, now).has_value());
    }
}

Test(configuration, withdrawnKeyIsRejectedAndCannotBeReactivated)
{
    const EditedConfiguration edited = applyEdit(sample(), WithdrawKey{keyId});
    cr_assert(edited.isValid());
    cr_assert_eq(edited.document.version, Base::ConfigVersion(8));
    const KeyAuthenticator authenticator(edited.document);
    cr_assert_not(authenticator.authenticate(keyText, now).has_value());
    cr_assert_not(authenticator.isValid(keyId, now));
    const EditedConfiguration revived = applyEdit(edited.document, ReplaceConfiguration{sample()});
    cr_assert_not(revived.isValid());
}

Test(configuration, invalidEditsAreRejected)
{
    const Base::TeamId unknown("nobody");
    cr_assert_not(applyEdit(sample(), SetRate{unknown, 1, 1}).isValid());
    cr_assert_not(applyEdit(sample(), AddTeam{sample().teams[0]}).isValid());
    cr_assert_not(applyEdit(sample(), RemoveTeam{Base::TeamId("lunch")}).isValid(),
                  "a service refers to the team");
    cr_assert_not(applyEdit(sample(), RemoveService{Base::ServiceId("planner")}).isValid());
    cr_assert_not(applyEdit(sample(), SetRate{Base::TeamId("lunch"), -1, 1}).isValid());
    const EditedConfiguration rate = applyEdit(sample(), SetRate{Base::TeamId("lunch"), 5, 20});
    cr_assert_eq(rate.document.findTeam(Base::TeamId("lunch"))->burst, 20);
}

Test(configuration, changesBetweenListsRequiredActions)
{
    ConfigurationDocument after = sample();
    after.teams[0].keys[0].isWithdrawn = true;
    after.servers[0].isLeaving = true;
    const std::vector<ConfigChange> changes = changesBetween(sample(), after);
    const ConfigChange withdrawn = KeyWithdrawn{Base::TeamId("lunch"), keyId};
    const ConfigChange leaving = ServerLeaving{Base::ServerId("engine1")};
    cr_assert(changes.at(0) == withdrawn);
    cr_assert(changes.at(1) == leaving);
    cr_assert(changesBetween({}, after).at(0) == withdrawn,
              "withdrawn keys are included at the start");
    cr_assert(changesBetween(after, after).empty());
    ConfigurationDocument without = sample();
    without.teams.clear();
    cr_assert(changesBetween(sample(), without).at(0) == withdrawn);
}

Test(configuration, onlyOpenServicesNeedNoTeam)
{
    Service service = sample().services[0];
    cr_assert(service.isOpenTo(Base::TeamId("lunch")));
    cr_assert_not(service.isOpenTo(Base::TeamId("other")));
    cr_assert_not(service.isOpenTo(std::nullopt));
    service.teams.clear();
    cr_assert(service.isOpenTo(Base::TeamId("other")));
    cr_assert_not(service.isOpenTo(std::nullopt));
    service.isOpenToAll = true;
    cr_assert(service.isOpenTo(std::nullopt));
}

Test(configuration, indexFindsItemsById)
{
    const ConfigurationIndex index(std::make_shared<const ConfigurationDocument>(sample()));
    cr_assert_eq(index.team(Base::TeamId("lunch"))->burst, 10);
    cr_assert_eq(index.serversOf(Base::ServiceId("planner")).at(0)->slots, 16U);
    cr_assert_null(index.service(Base::ServiceId("nothing")));
    cr_assert(index.serversOf(Base::ServiceId("nothing")).empty());
}

/// Guards against servers of a closed zone that get work, against a zone that stays closed in part
/// because it was closed twice, and against a document that the previous build rejects.
Test(configuration, closedZonesKeepTheirServersFromWork)
{
    const Base::ZoneId north("north");
    const EditedConfiguration closed = applyEdit(sample(), SetZoneClosed{north});
    const EditedConfiguration twice = applyEdit(closed.document, SetZoneClosed{north});
    cr_assert(twice.isValid());
    cr_assert(twice.document.getsNoWork(twice.document.servers[0]));
    cr_assert(decode(encode(twice.document)).document == twice.document);
    const ConfigChange leaving = ServerLeaving{Base::ServerId("engine1")};
    cr_assert(changesBetween(sample(), closed.document).at(0) == leaving);
    const EditedConfiguration opened = applyEdit(twice.document, SetZoneClosed{north, false});
    cr_assert(!opened.document.getsNoWork(opened.document.servers[0]));
    cr_assert_eq(changesBetween(closed.document, opened.document).size(), 1);
    cr_assert(encode(opened.document).find("closed_zones") == std::string::npos);
    const Base::ZoneId unknown("unknown");
    cr_assert(applyEdit(sample(), SetZoneClosed{unknown}).isValid(), "its servers may come later");
    cr_assert(applyEdit(sample(), SetZoneClosed{unknown, false}).isValid());
    for (const std::string &name : {std::string(), std::string(200, 'z'), std::string("a/b")}) {
        cr_assert_not(applyEdit(sample(), SetZoneClosed{Base::ZoneId(name)}).isValid());
    }
}
