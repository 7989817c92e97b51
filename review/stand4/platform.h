#pragma once

// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): objects by kind
// and name, conditional writes, lists in pages, waiting watches.

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <mutex>

namespace Stand {

using nlohmann::json;

class PlatformStore
{
public:
    /// How the store fails: it answers 503, resets connections, or says nothing.
    enum class State { Up, Busy, Resets, Silent };

    PlatformStore(const std::string &ip)
        : listener_(ip, 0, [this](Connection &connection) { serve(connection); })
    {}

    int port() const { return listener_.port(); }

    void setState(State state)
    {
        const std::lock_guard lock(mutex_);
        state_ = state;
        changed_.notify_all();
    }

    /// Writes an object as the operator or a server does.
    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(mutex_);
        json &object = kinds_[kind][name];
        if (!object.is_null() && object["spec"] == spec) {
            return;
        }
        store(object, name, spec);
        record(kind, object, false);
    }

    json spec(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        const auto found = kinds_[kind].find(name);
        return found == kinds_[kind].end() ? json() : found->second["spec"];
    }
    std::size_t count(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        return kinds_[kind].size();
    }
    std::size_t writes()
    {
        const std::lock_guard lock(mutex_);
        return writes_;
    }

private:
    struct Event
    {
        std::string kind;
        std::uint64_t revision;
        json event;
    };

    void store(json &object, const std::string &name, const json &spec)
    {
        const std::uint64_t revision = ++revision_;
        const json created = object.is_null() ? json(revision) : object["meta"]["created_rev"];
        const json status = object.is_null() ? json() : object["status"];
        object = {{"meta",
                   {{"name", name},
                    {"revision", revision},
                    {"created_rev", created},
                    {"finalizers", json::array()},
                    {"deleting", false}}},
                  {"spec", spec},
                  {"status", status}};
    }

    void record(const std::string &kind, const json &object, bool isDeleted)
    {
        events_.push_back({kind, revision_, {{"deleted", isDeleted}, {"object", object}}});
        changed_.notify_all();
    }

    void serve(Connection &connection)
    {
        while (true) {
            auto request = connection.readHead(Clock::now() + std::chrono::hours(1));
            if (!request || !connection.readBody(*request, Clock::now() + std::chrono::seconds(5))) {
                return;
            }
            std::unique_lock lock(mutex_);
            if (state_ == State::Resets) {
                lock.unlock();
                connection.reset();
                return;
            }
            if (state_ == State::Silent) {
                // Nothing was done, and the connection returns nothing further.
                lock.unlock();
                std::this_thread::sleep_for(std::chrono::seconds(60));
                return;
            }
            if (state_ == State::Busy) {
                lock.unlock();
                if (!respond(connection, 503, json::object())) {
                    return;
                }
                continue;
            }
            json body;
            const int status = handle(*request, body, lock);
            const bool isCut = state_ != State::Up;
            lock.unlock();
            if (isCut) {
                connection.reset(); // a watch that was waiting is cut off
                return;
            }
            std::this_thread::sleep_for(Ms(4));
            if (!respond(connection, status, body)) {
                return;
            }
        }
    }

    static bool respond(Connection &connection, int status, const json &body)
    {
        const std::string text = body.dump();
        return connection.write("HTTP/1.1 " + std::to_string(status)
                                + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                                + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    static std::string parameter(const std::string &query, const std::string &name)
    {
        const std::string text = "&" + query;
        const std::size_t at = text.find("&" + name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }

    int handle(const Message &request, json &body, std::unique_lock<std::mutex> &lock)
    {
        const std::string base = "/marjoramfield/objects/";
        const std::string target = request.word(1);
        const std::string path = target.substr(0, target.find('?'));
        const std::string query
            = path.size() < target.size() ? target.substr(path.size() + 1) : std::string();
        if (path.rfind(base, 0) != 0) {
            return 404;
        }
        std::string kind = path.substr(base.size());
        std::string name;
        bool isStatus = false;
        if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        if (const std::size_t end = name.find("/status"); end != std::string::npos) {
            name.resize(end);
            isStatus = true;
        }
        const std::string method = request.word(0);
        if (method == "GET") {
            return read(kind, name, query, body, lock);
        }
        ++writes_;
        std::map<std::string, json> &objects = kinds_[kind];
        json sent = request.body.empty() ? json::object() : json::parse(request.body);
        if (method == "POST") {
            name = sent["meta"]["name"].get<std::string>();
            if (objects.count(name)) {
                body = objects[name];
                return 409;
            }
            store(objects[name], name, sent["spec"]);
            record(kind, objects[name], false);
            body = objects[name];
            return 200;
        }
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return 404;
        }
        json &object = found->second;
        std::optional<std::uint64_t> expected;
        if (sent.contains("meta") && sent["meta"].contains("revision")) {
            expected = sent["meta"]["revision"].get<std::uint64_t>();
        } else if (const std::string text = parameter(query, "revision"); !text.empty()) {
            expected = std::stoull(text);
        }
        if (expected && *expected != object["meta"]["revision"].get<std::uint64_t>()) {
            body = object;
            return 409;
        }
        if (method == "DELETE") {
            body = object;
            ++revision_;
            body["meta"]["revision"] = revision_;
            objects.erase(found);
            record(kind, body, true);
            return 200;
        }
        const char *part = isStatus ? "status" : "spec";
        if (object[part] != sent[part]) {
            object[part] = sent[part];
            object["meta"]["revision"] = ++revision_;
            record(kind, object, false);
        }
        body = object;
        return 200;
    }

    int read(const std::string &kind,
             const std::string &name,
             const std::string &query,
             json &body,
             std::unique_lock<std::mutex> &lock)
    {
        std::map<std::string, json> &objects = kinds_[kind];
        if (!name.empty()) {
            const auto found = objects.find(name);
            if (found == objects.end()) {
                return 404;
            }
            body = found->second;
            return 200;
        }
        if (const std::string from = parameter(query, "watch"); !from.empty()) {
            const std::uint64_t after = std::stoull(from);
            const std::string wait = parameter(query, "wait_ms");
            const auto until = Clock::now() + Ms(wait.empty() ? 0 : std::stoi(wait));
            json found = json::array();
            const auto collect = [&] {
                for (const Event &event : events_) {
                    if (event.kind == kind && event.revision > after) {
                        found.push_back(event.event);
                    }
                }
                return !found.empty() || state_ != State::Up;
            };
            changed_.wait_until(lock, until, collect);
            body = {{"events", found}, {"current_rev", revision_}};
            return 200;
        }
        const std::string after = parameter(query, "after");
        json items = json::array();
        bool hasMore = false;
        for (const auto &[each, object] : objects) {
            if (each <= after && !after.empty()) {
                continue;
            }
            hasMore = items.size() == 500;
            if (hasMore) {
                break;
            }
            items.push_back(object);
        }
        body = {{"items", items}, {"has_more", hasMore}, {"current_rev", revision_}};
        return 200;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, json>> kinds_;
    std::vector<Event> events_;
    std::uint64_t revision_ = 100;
    std::size_t writes_ = 0;
    State state_ = State::Up;
    Listener listener_; // last, as its threads use the rest
};

} // namespace Stand
