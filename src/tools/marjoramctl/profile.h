#pragma once

#include <base/settingsreader.h>
#include <rpc/tlssettings.h>

#include <cstdint>
#include <string>
#include <vector>

/// Where and as whom the tool speaks to a fleet.
struct Profile
{
    std::string address;
    std::uint16_t port = 0;
    Rpc::TlsSettings tls;
    std::string operatorName;
    std::string token;
};

struct ParsedProfile
{
    Profile profile;
    std::vector<Base::SettingsProblem> problems;
};

/// Reads the profile's JSON text.
ParsedProfile parseProfile(const std::string &text);
