#include "daemonlease.h"

#include <nlohmann/json.hpp>

namespace Ownership {

namespace {

using nlohmann::json;

Base::Error malformed(const std::string &reason)
{
    return Base::Error{.code = Base::ErrorCode::Malformed,
                       .step = Base::Step::Recover,
                       .peer = "platform",
                       .message = "lease cannot be decoded: " + reason};
}

std::string textOf(const json &document, const char *name)
{
    const auto found = document.find(name);
    return found != document.end() && found->is_string() ? found->get<std::string>()
                                                         : std::string();
}

std::uint64_t numberOf(const json &document, const char *name)
{
    const auto found = document.find(name);
    return found != document.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::vector<Base::IncarnationId> witnessesOf(const json &document)
{
    std::vector<Base::IncarnationId> witnesses;
    const auto found = document.find("witnesses");
    if (found == document.end() || !found->is_array()) {
        return witnesses;
    }
    for (const json &witness : *found) {
        if (witness.is_string()) {
            witnesses.emplace_back(witness.get<std::string>());
        }
    }
    return witnesses;
}

} // namespace

Platform::ObjectKey leaseKey(const Base::IncarnationId &incarnation)
{
    return {Platform::ObjectKind::DaemonLease, incarnation.text()};
}

std::string encode(const DaemonLease &lease)
{
    json document;
    document["incarnation"] = lease.incarnation.text();
    document["vm"] = lease.vm.text();
    document["zone"] = lease.zone.text();
    document["ip"] = lease.address.ip;
    document["port"] = lease.address.port;
    json witnesses = json::array();
    for (const Base::IncarnationId &witness : lease.witnesses) {
        witnesses.push_back(witness.text());
    }
    document["witnesses"] = std::move(witnesses);
    document["length_us"] = static_cast<std::uint64_t>(lease.length.count());
    document["config_version"] = lease.configVersion.value();
    document["renewals"] = lease.renewals;
    document["leaving"] = lease.isLeaving;
    if (lease.fencedBy) {
        document["fenced_by"] = lease.fencedBy->text();
    }
    return document.dump();
}

Base::Result<DaemonLease> decodeLease(std::string_view body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return malformed("not an object");
    }
    DaemonLease lease;
    lease.incarnation = Base::IncarnationId(textOf(document, "incarnation"));
    lease.vm = Base::VmId(textOf(document, "vm"));
    lease.zone = Base::ZoneId(textOf(document, "zone"));
    lease.address.ip = textOf(document, "ip");
    lease.address.port = static_cast<std::uint16_t>(numberOf(document, "port"));
    lease.witnesses = witnessesOf(document);
    lease.length = Base::Duration(static_cast<std::int64_t>(numberOf(document, "length_us")));
    lease.configVersion = Base::ConfigVersion(numberOf(document, "config_version"));
    lease.renewals = numberOf(document, "renewals");
    lease.isLeaving = document.value("leaving", json()) == json(true);
    if (document.contains("fenced_by")) {
        lease.fencedBy = Base::IncarnationId(textOf(document, "fenced_by"));
    }
    if (lease.incarnation.isEmpty() || lease.length <= Base::Duration::zero()) {
        return malformed("'incarnation' or 'length_us' is missing");
    }
    return lease;
}

} // namespace Ownership
