#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <vector>

namespace Fakes {

/// Hash of one token; the stand-in's tokens are words.
using TokenHash = std::uint32_t;

struct CacheEvent
{
    std::uint64_t sequence = 0;
    /// "stored", "evicted" or "released".
    std::string type;
    std::string program;
    std::int64_t tokens = 0;
    std::int64_t atMs = 0;
};

/// Prefix cache of the model engine's stand-in: one context per program, limited memory, least
/// recently used out first.
class PrefixCache
{
public:
    explicit PrefixCache(std::int64_t capacity)
        : capacity_(capacity)
    {}

    /// Length of the longest kept prefix of the context, under the program's key.
    std::int64_t match(const std::string &program, const std::vector<TokenHash> &context);
    void store(const std::string &program, std::vector<TokenHash> context, std::int64_t nowMs);
    bool release(const std::string &program, std::int64_t nowMs);
    const std::vector<TokenHash> *find(const std::string &program) const;

    std::int64_t tokens() const { return tokens_; }
    std::vector<std::string> programs() const;
    const std::deque<CacheEvent> &events() const { return events_; }

private:
    struct Entry
    {
        std::string program;
        std::vector<TokenHash> context;
    };

    std::list<Entry>::iterator position(const std::string &program);
    void remove(std::list<Entry>::iterator entry, const std::string &type, std::int64_t nowMs);
    void note(const std::string &type,
              const std::string &program,
              std::int64_t tokens,
              std::int64_t nowMs);

    std::int64_t capacity_;
    std::int64_t tokens_ = 0;
    /// Most recently used first.
    std::list<Entry> entries_;
    std::deque<CacheEvent> events_;
    std::uint64_t nextSequence_ = 1;
};

} // namespace Fakes
