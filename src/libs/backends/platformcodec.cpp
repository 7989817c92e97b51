#include "platformcodec.h"

#include "base64.h"

#include <base/visitor.h>

#include <nlohmann/json.hpp>

#include <cctype>
#include <charconv>

namespace Backends {

namespace {

using Json = nlohmann::json;
using namespace Platform;

const std::string apiPath = "/apis/marjoramfield.example/v1/namespaces/default/";

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;

std::string plural(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Configuration:
        return "configurations";
    case ObjectKind::Assignment:
        return "assignments";
    case ObjectKind::DaemonLease:
        return "daemonleases";
    case ObjectKind::JournalSegment:
        return "journalsegments";
    case ObjectKind::Checkpoint:
        return "checkpoints";
    case ObjectKind::ProgramSnapshot:
        return "programsnapshots";
    case ObjectKind::Vm:
        return "vms";
    }
    return {};
}

std::string percentEncoded(std::string_view text)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || letter == '-' || letter == '.' || letter == '_') {
            encoded += letter;
        } else {
            encoded += '%';
            encoded += digits[byte / 16];
            encoded += digits[byte % 16];
        }
    }
    return encoded;
}

std::string collectionUrl(const PlatformOptions &options, ObjectKind kind)
{
    return options.baseUrl + apiPath + plural(kind);
}

std::string objectUrl(const PlatformOptions &options, const ObjectKey &key)
{
    return collectionUrl(options, key.kind) + "/" + percentEncoded(key.name);
}

/// A list of all objects of a kind; single objects are far smaller.
constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;

HttpRequest request(const PlatformOptions &options, const char *method, std::string url)
{
    HttpRequest request;
    request.method = method;
    request.url = std::move(url);
    request.connectTimeout = options.connectTimeout;
    request.totalTimeout = options.requestTimeout;
    request.mayRepeat = request.method == "GET";
    request.maxResponseBytes = maxResponseBytes;
    return request;
}

HttpRequest putRequest(const PlatformOptions &options, const PutObject &put)
{
    const bool isCreate = put.expected == ObjectVersion();
    Json metadata{{"name", put.key.name}, {"annotations", {{"writeId", put.writeId.text()}}}};
    if (!isCreate) {
        metadata["resourceVersion"] = std::to_string(put.expected.value());
    }
    HttpRequest write = isCreate ? request(options, "POST", collectionUrl(options, put.key.kind))
                                 : request(options, "PUT", objectUrl(options, put.key));
    write.headers = {{"Content-Type", "application/json"}};
    write.body = Json{{"apiVersion", "marjoramfield.example/v1"},
                      {"metadata", std::move(metadata)},
                      {"data", encodeBase64(put.body)}}
                     .dump();
    return write;
}

std::string selector(const std::string &name)
{
    return name.empty() ? std::string() : "fieldSelector=metadata.name%3D" + percentEncoded(name);
}

std::optional<StoredObject> parseObject(ObjectKind kind, const Json &json)
{
    try {
        const Json &metadata = json.at("metadata");
        StoredObject object;
        object.key = {kind, metadata.at("name").get<std::string>()};
        const auto version = metadata.at("resourceVersion").get<std::string>();
        object.version = ObjectVersion(std::strtoull(version.c_str(), nullptr, 10));
        const Json annotations = metadata.value("annotations", Json::object());
        object.writeId = Base::WriteId(annotations.value("writeId", std::string()));
        auto body = decodeBase64(json.at("data").get<std::string>());
        if (!body || object.version == ObjectVersion()) {
            return std::nullopt;
        }
        object.body = std::move(*body);
        return object;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

StoreOutcome getOutcome(const GetObject &get, int status, const Json &json)
{
    if (status == statusNotFound) {
        return ObjectAbsent{};
    }
    auto object = parseObject(get.key.kind, json);
    if (status != statusOk || !object) {
        return StoreUnavailable{};
    }
    return ObjectFound{std::move(*object)};
}

StoreOutcome putOutcome(const PutObject &put, int status, const Json &json)
{
    if (status == statusConflict || status == statusNotFound) {
        return VersionConflict{};
    }
    const auto object = parseObject(put.key.kind, json);
    if ((status != statusOk && status != statusCreated) || !object) {
        return StoreUnavailable{};
    }
    return ObjectWritten{object->version};
}

StoreOutcome deleteOutcome(int status)
{
    switch (status) {
    case statusOk:
        return ObjectDeleted{};
    case statusNotFound:
        return ObjectAbsent{};
    default:
        return StoreUnavailable{};
    }
}

StoreOutcome listOutcome(const ListObjects &list, int status, const std::string &body)
{
    auto found = parseList(list.kind, body);
    if (status != statusOk || !found) {
        return StoreUnavailable{};
    }
    return ObjectsListed{std::move(found->objects)};
}

} // namespace

HttpRequest toRequest(const PlatformOptions &options, const StoreOperation &operation)
{
    return std::visit(
        Base::Visitor{[&](const GetObject &get) {
                          return request(options, "GET", objectUrl(options, get.key));
                      },
                      [&](const PutObject &put) { return putRequest(options, put); },
                      [&](const DeleteObject &object) {
                          return request(options, "DELETE", objectUrl(options, object.key));
                      },
                      [&](const ListObjects &list) {
                          return request(options,
                                         "GET",
                                         collectionUrl(options, list.kind)
                                             + "?namePrefix=" + percentEncoded(list.prefix));
                      }},
        operation);
}

StoreOutcome toOutcome(const StoreOperation &operation, int status, const std::string &body)
{
    const auto json = [&body] { return Json::parse(body, nullptr, false); };
    return std::visit(
        Base::Visitor{[&](const GetObject &get) { return getOutcome(get, status, json()); },
                      [&](const PutObject &put) { return putOutcome(put, status, json()); },
                      [&](const DeleteObject &) { return deleteOutcome(status); },
                      [&](const ListObjects &list) { return listOutcome(list, status, body); }},
        operation);
}

HttpRequest listRequest(const PlatformOptions &options, ObjectKind kind, const std::string &name)
{
    const std::string query = name.empty() ? std::string() : "?" + selector(name);
    return request(options, "GET", collectionUrl(options, kind) + query);
}

HttpRequest watchRequest(const PlatformOptions &options,
                         ObjectKind kind,
                         const std::string &name,
                         const std::string &resourceVersion)
{
    std::string url = collectionUrl(options, kind) + "?watch=1&resourceVersion=" + resourceVersion;
    if (!name.empty()) {
        url += "&" + selector(name);
    }
    HttpRequest watch = request(options, "GET", std::move(url));
    watch.totalTimeout = Timeout(0);
    watch.maxResponseBytes = 0; // the stream has no end, and each line has a limit
    watch.idleTimeout = options.watchIdleTimeout;
    return watch;
}

std::optional<ObjectList> parseList(ObjectKind kind, const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        ObjectList list;
        list.resourceVersion = json.at("metadata").at("resourceVersion").get<std::string>();
        for (const Json &item : json.at("items")) {
            auto object = parseObject(kind, item);
            if (!object) {
                return std::nullopt;
            }
            list.objects.push_back(std::move(*object));
        }
        return list;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::optional<WatchLine> parseWatchLine(ObjectKind kind, const std::string &line)
{
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object() || !json.contains("object")) {
        return std::nullopt;
    }
    const std::string type = json.value("type", std::string());
    if (type != "ADDED" && type != "MODIFIED" && type != "DELETED") {
        return std::nullopt;
    }
    auto object = parseObject(kind, json["object"]);
    if (!object) {
        return std::nullopt;
    }
    return WatchLine{std::move(*object), type == "DELETED"};
}

} // namespace Backends
