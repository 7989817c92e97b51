#include "profile.h"

ParsedProfile parseProfile(const std::string &text)
{
    constexpr std::int64_t maxPort = 65535;
    ParsedProfile result;
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        result.problems.push_back({"/", "text that is not JSON", "a JSON object"});
        return result;
    }
    Profile &profile = result.profile;
    Base::SettingsReader reader(document, "", result.problems);
    profile.address = reader.text("address");
    profile.port = static_cast<std::uint16_t>(reader.integer("port", 1, maxPort));
    profile.tls.certificateFile = reader.text("certificate");
    profile.tls.privateKeyFile = reader.text("private_key");
    profile.tls.trustFile = reader.text("trust");
    profile.tls.peerName = reader.text("daemon_name", "marjoramfield-peer");
    profile.operatorName = reader.text("operator");
    profile.token = reader.text("token");
    reader.rejectUnknown();
    return result;
}
