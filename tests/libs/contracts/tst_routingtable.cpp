#include <contracts/routingtable.h>

#include <criterion/criterion.h>

#include <map>

using namespace Contracts;

namespace {

Route route(const std::string &id, const std::string &host, const std::string &prefix)
{
    Route result;
    result.id = RouteId(id);
    result.host = host;
    result.pathPrefix = prefix;
    result.services = {{Base::ServiceId("s"), 1}};
    return result;
}

std::string found(const RoutingTable &table, const std::string &host, const std::string &path)
{
    const Route *match = table.findRoute(host, path);
    return match ? match->id.text() : "none";
}

RoutingDocument document()
{
    RoutingDocument result;
    result.routes = {route("short", "a.example", "/x/"),
                     route("long", "a.example", "/x/y/"),
                     route("other", "b.example", "/x/")};
    result.services = {{Base::ServiceId("s")}, {Base::ServiceId("t")}};
    return result;
}

} // namespace

Test(routingtable, findsTheLongestPrefixOfTheHost)
{
    const RoutingTable table(document());
    cr_assert_eq(found(table, "a.example", "/x/z"), "short");
    cr_assert_eq(found(table, "a.example", "/x/y/z"), "long");
    cr_assert_eq(found(table, "A.Example:8080", "/x/y/"), "long");
    cr_assert_eq(found(table, "b.example", "/x/y/z"), "other");
    cr_assert_eq(found(table, "a.example", "/x"), "none", "the prefix includes its final slash");
    cr_assert_eq(found(table, "c.example", "/x/"), "none");
}

Test(routingtable, splitsByWeight)
{
    RoutingDocument split = document();
    split.routes[0].services = {{Base::ServiceId("s"), 90}, {Base::ServiceId("t"), 10}};
    const RoutingTable table(split);
    std::map<std::string, int> counts;
    for (std::uint64_t hash = 0; hash < 1000; ++hash) {
        ++counts[table.chooseService(*table.findRoute("a.example", "/x/z"), hash)->id.text()];
    }
    cr_assert_eq(counts["s"], 900);
    cr_assert_eq(counts["t"], 100);
}

Test(routingtable, zeroWeightsSelectNoService)
{
    RoutingDocument split = document();
    split.routes[0].services = {{Base::ServiceId("s"), 0}};
    const RoutingTable table(split);
    cr_assert_null(table.chooseService(*table.findRoute("a.example", "/x/z"), 5));
}

Test(routingtable, findsTheTeamOfEachKey)
{
    RoutingDocument keyed = document();
    RoutedTeam team;
    team.team.id = Base::TeamId("club");
    for (const char *key : {"first", "second"}) {
        Key entry;
        entry.hash = hashSecret(key);
        team.team.keys.push_back(entry);
    }
    keyed.teams = {team};
    keyed.routes[2].isPublic = true;
    const RoutingTable table(keyed);
    cr_assert_eq(table.findTeamOfKey("second")->team.id.text(), "club");
    cr_assert_null(table.findTeamOfKey("third"));
    cr_assert_null(table.findTeamOfKey(""));
    cr_assert(table.needsKey(*table.findRoute("a.example", "/x/")));
    cr_assert(!table.needsKey(*table.findRoute("b.example", "/x/")));
    cr_assert(!RoutingTable(document()).needsKey(keyed.routes[0]),
              "without teams no route needs a key");
}
