#include <base/settingsreader.h>

#include <criterion/criterion.h>

using Base::SettingsProblem;
using Base::SettingsReader;

Test(settingsreader, reportsPathFoundAndExpected)
{
    const auto document = nlohmann::json::parse(R"({"peer": {"port": 70000}})");
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, "", problems);
    SettingsReader peer = reader.object("peer");
    peer.integer("port", 1, 65535);
    const std::vector<SettingsProblem> expected{
        {"/peer/port", "number 70000", "integer from 1 to 65535"}};
    cr_assert(problems == expected);
}

Test(settingsreader, collectsMissingAndUnknownNames)
{
    const auto document = nlohmann::json::parse(R"({"zoen": "a"})");
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, "", problems);
    reader.text("zone");
    reader.rejectUnknown();
    cr_assert_eq(problems.size(), 2U);
    cr_assert_eq(problems[0].path, "/zone");
    cr_assert_eq(problems[1].path, "/zoen");
    cr_assert_eq(problems[1].found, "unknown name");
}

Test(settingsreader, wrongTypesAreReportedInArrays)
{
    const auto document = nlohmann::json::parse(R"({"names": ["a", 3], "list": [{"x": 1}, 5]})");
    std::vector<SettingsProblem> problems;
    SettingsReader reader(document, "", problems);
    cr_assert_eq(reader.texts("names").size(), 1U);
    reader.objects("list");
    cr_assert_eq(problems.size(), 2U);
    cr_assert_eq(problems[0].path, "/names/1");
    cr_assert_eq(problems[1].path, "/list/1");
}
