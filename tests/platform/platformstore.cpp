#include "platformstore.h"

#include <algorithm>

using nlohmann::json;

namespace {

std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%') {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

/// Returns the value of a query parameter; empty if it is absent.
std::string parameter(const std::string &query, const std::string &name)
{
    const std::size_t at = query.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t start = at + name.size() + 1;
    return percentDecoded(query.substr(start, query.find('&', start) - start));
}

} // namespace

PlatformStore::PlatformStore(asio::io_context &context)
    : context_(context)
    , acceptor_(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , handlers_(std::make_shared<Proxy::CallerHandlers>())
{
    handlers_->onRequest = [this](const Caller &caller, const Proxy::CallerRequest &request) {
        onRequest(caller, request);
    };
    handlers_->onRejected = [](int, const std::string &) {};
    handlers_->limits = [] { return Contracts::CallerLimits{}; };
    handlers_->now = [] { return Base::Instant(); };
    handlers_->isStopping = [] { return false; };
    handlers_->onClosed = [](const Caller &, const auto &) {};
    accept();
}

void PlatformStore::accept()
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
        if (!error) {
            std::make_shared<Proxy::CallerConnection>(std::move(socket), handlers_)->start();
            accept();
        }
    });
}

void PlatformStore::respond(const Caller &caller, int status, const json &body) const
{
    std::string text = body.dump();
    for (const auto &[placeholder, spec] : texts_) {
        if (const std::size_t at = text.find(placeholder); at != std::string::npos) {
            text.replace(at, placeholder.size(), spec);
        }
    }
    Proxy::ResponseHead head;
    head.status = status;
    head.reason = Proxy::reasonOf(status);
    caller->respond(head, text);
}

void PlatformStore::onRequest(const Caller &caller, const Proxy::CallerRequest &request)
{
    ++calls_;
    if (request.head.target.find("allow_stale=1") == std::string::npos) {
        ++currentCalls_;
    }
    if (refusalStatus_ != 0) {
        respond(caller, refusalStatus_, json::object());
        return;
    }
    const std::string base = "/marjoramfield/objects/";
    std::string path(request.head.path().substr(base.size()));
    const std::string query = request.head.target.substr(request.head.path().size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.head.method != "GET") {
        write(caller, request, kind, name);
    } else if (!name.empty()) {
        const auto found = kinds_[kind].find(name);
        const bool exists = found != kinds_[kind].end();
        respond(caller, exists ? 200 : 404, exists ? found->second : json::object());
    } else if (!parameter(query, "watch").empty()) {
        watch(caller, kind, query);
    } else {
        list(caller, kind, query);
    }
}

void PlatformStore::list(const Caller &caller, const std::string &kind, const std::string &query)
{
    const std::string after = parameter(query, "after");
    json items = json::array();
    bool hasMore = false;
    for (const auto &[name, object] : kinds_[kind]) {
        if (name <= after) {
            continue;
        }
        hasMore = items.size() == pageSize_;
        if (hasMore) {
            break;
        }
        items.push_back(object);
    }
    respond(caller, 200, {{"items", items}, {"has_more", hasMore}, {"current_rev", revision_}});
}

void PlatformStore::watch(const Caller &caller, const std::string &kind, const std::string &query)
{
    Watch entry{caller, kind, std::stoull(parameter(query, "watch")), nullptr};
    if (entry.after < oldestRevision_) {
        respond(caller, 410, json::object());
    } else if (!respondToWatch(entry)) {
        const std::string wait = parameter(query, "wait_ms");
        entry.timer = std::make_shared<asio::steady_timer>(
            context_, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)));
        entry.timer->async_wait([this, caller](const std::error_code &error) {
            if (!error) {
                finishWatch(caller);
            }
        });
        watches_.push_back(entry);
    }
}

void PlatformStore::finishWatch(const Caller &caller)
{
    std::erase_if(watches_, [&](const Watch &watch) { return watch.caller == caller; });
    respond(caller, 200, {{"events", json::array()}, {"current_rev", revision_}});
}

bool PlatformStore::respondToWatch(const Watch &watch)
{
    json events = json::array();
    for (const auto &[name, object] : kinds_[watch.kind]) {
        if (object["meta"]["revision"].get<std::uint64_t>() > watch.after) {
            events.push_back({{"deleted", false}, {"object", object}});
        }
    }
    for (const auto &[name, revision] : deletions_[watch.kind]) {
        if (revision > watch.after) {
            events.push_back({{"deleted", true},
                              {"object", {{"meta", {{"name", name}, {"revision", revision}}}}}});
        }
    }
    if (events.empty()) {
        return false;
    }
    respond(watch.caller, 200, {{"events", events}, {"current_rev", revision_}});
    return true;
}

void PlatformStore::notifyWatches(const std::string &kind)
{
    std::erase_if(watches_,
                  [&](const Watch &watch) { return watch.kind == kind && respondToWatch(watch); });
}

void PlatformStore::store(const std::string &kind, const std::string &name, const json &spec)
{
    deletions_[kind].erase(name);
    // Parsed again because JSON from the wire holds non-negative integers as unsigned.
    kinds_[kind][name] = json::parse(
        json{{"meta", {{"name", name}, {"revision", ++revision_}}}, {"spec", spec}}.dump());
}

void PlatformStore::write(const Caller &caller,
                          const Proxy::CallerRequest &request,
                          const std::string &kind,
                          std::string name)
{
    if (request.head.method == "DELETE") {
        const std::size_t erased = kinds_[kind].erase(name);
        recordDeletion(kind, name);
        respond(caller, erased > 0 ? 200 : 404, json::object());
        notifyWatches(kind);
        return;
    }
    const json body = json::parse(request.body);
    if (name.empty()) {
        name = body["meta"]["name"].get<std::string>();
    }
    if (const std::size_t part = name.find("/status"); part != std::string::npos) {
        name.resize(part);
        kinds_[kind][name]["status"] = body["status"];
        if (std::exchange(dropsNextResponse_, false)) {
            caller->abort();
        } else {
            respond(caller, 200, kinds_[kind][name]);
        }
        return;
    }
    const auto found = kinds_[kind].find(name);
    const bool exists = found != kinds_[kind].end();
    const bool isCreation = request.head.method == "POST";
    const auto expected = body["meta"].find("revision");
    const bool isOther = exists && expected != body["meta"].end()
                         && *expected != found->second["meta"]["revision"];
    if (!isCreation && !exists) {
        respond(caller, 404, json::object());
        return;
    }
    if ((isCreation && exists) || isOther) {
        respond(caller, 409, found->second);
        return;
    }
    store(kind, name, body["spec"]);
    if (std::exchange(dropsNextResponse_, false)) {
        caller->abort();
    } else {
        respond(caller, 200, kinds_[kind][name]);
    }
    notifyWatches(kind);
}

void PlatformStore::put(const std::string &kind, const std::string &name, const json &spec)
{
    store(kind, name, spec);
    notifyWatches(kind);
}

void PlatformStore::putText(const std::string &kind,
                            const std::string &name,
                            const std::string &spec)
{
    const json placeholder = "text of " + kind + "/" + name;
    texts_[placeholder.dump()] = spec;
    put(kind, name, placeholder);
}

void PlatformStore::putWithoutName(const std::string &kind,
                                   const std::string &name,
                                   const json &spec)
{
    put(kind, name, spec);
    kinds_[kind][name]["meta"]["name"] = nullptr;
}

void PlatformStore::erase(const std::string &kind, const std::string &name)
{
    kinds_[kind].erase(name);
    recordDeletion(kind, name);
    notifyWatches(kind);
}

void PlatformStore::recordDeletion(const std::string &kind, const std::string &name)
{
    deletions_[kind][name] = ++revision_;
}

json PlatformStore::spec(const std::string &kind, const std::string &name) const
{
    const auto objects = kinds_.find(kind);
    if (objects == kinds_.end() || !objects->second.contains(name)) {
        return {};
    }
    return objects->second.at(name)["spec"];
}

json PlatformStore::status(const std::string &kind, const std::string &name) const
{
    const auto objects = kinds_.find(kind);
    if (objects == kinds_.end() || !objects->second.contains(name)) {
        return {};
    }
    return objects->second.at(name).value("status", json());
}

void PlatformStore::compact()
{
    oldestRevision_ = ++revision_;
    for (const Watch &watch : std::exchange(watches_, {})) {
        respond(watch.caller, 410, json::object());
    }
}
