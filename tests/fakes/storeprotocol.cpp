#include "storeprotocol.h"

namespace Fakes {

namespace {

const std::string pathPrefix = "/apis/marjoramfield.example/v1/namespaces/default/";

std::string queryValue(const restinio::query_string_params_t &query, const std::string &name)
{
    return query.has(name) ? std::string(query[name]) : std::string();
}

} // namespace

std::optional<Target> parseTarget(const Request &request)
{
    const std::string path(request->header().path());
    if (!path.starts_with(pathPrefix)) {
        return std::nullopt;
    }
    const std::string rest = path.substr(pathPrefix.size());
    const std::size_t slash = rest.find('/');
    const auto query = restinio::parse_query(request->header().query());
    Target target;
    target.plural = rest.substr(0, slash);
    if (slash != std::string::npos) {
        target.name = restinio::utils::unescape_percent_encoding(rest.substr(slash + 1));
    }
    const std::string nameSelector = "metadata.name=";
    const std::string selector = queryValue(query, "fieldSelector");
    if (selector.starts_with(nameSelector)) {
        target.selectedName = selector.substr(nameSelector.size());
    }
    target.namePrefix = queryValue(query, "namePrefix");
    target.isWatch = queryValue(query, "watch") == "1";
    const std::string version = queryValue(query, "resourceVersion");
    target.resourceVersion = version.empty() ? 0 : std::strtoull(version.c_str(), nullptr, 10);
    return target;
}

std::optional<TableObject> parseObject(const Request &request, const Target &target)
{
    const auto body = parseBody(request);
    if (!body.is_object() || !body.contains("metadata") || !body["metadata"].is_object()) {
        return std::nullopt;
    }
    const auto &metadata = body["metadata"];
    TableObject object;
    object.plural = target.plural;
    object.name = metadata.value("name", target.name);
    const std::string version = metadata.value("resourceVersion", std::string());
    object.version = version.empty() ? 0 : std::strtoull(version.c_str(), nullptr, 10);
    object.annotations = metadata.value("annotations", nlohmann::json::object());
    object.data = body.value("data", std::string());
    return object;
}

nlohmann::json statusObject(int code, const std::string &reason)
{
    return {{"kind", "Status"}, {"code", code}, {"reason", reason}};
}

void refuse(const Request &request, int code, const std::string &reason)
{
    answer(request, code, statusObject(code, reason));
}

void answerOutcome(const Request &request, TableOutcome outcome, const nlohmann::json &body)
{
    switch (outcome) {
    case TableOutcome::Done:
        return answer(request, 200, body);
    case TableOutcome::AlreadyExists:
        return refuse(request, 409, "AlreadyExists");
    case TableOutcome::Conflict:
        return refuse(request, 409, "Conflict");
    case TableOutcome::NotFound:
        return refuse(request, 404, "NotFound");
    }
}

} // namespace Fakes
