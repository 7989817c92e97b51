#pragma once

#include "configchanges.h"
#include "configuration.h"
#include "keyhasher.h"

#include <base/error.h>

#include <string_view>
#include <unordered_map>

namespace Contracts {

/// Who a request comes from.
struct KeyHolder
{
    Base::TeamId team;
    Base::KeyId key;

    bool operator==(const KeyHolder &) const = default;
};

/// The keys of one configuration version, for checks in constant time.
class KeyRing
{
public:
    KeyRing() = default;
    explicit KeyRing(const ConfigurationDocument &document);

    /// Takes a key as its holder sends it, without "Bearer ". The error never tells a wrong
    /// secret from an unknown key.
    Base::Result<KeyHolder> authenticate(std::string_view keyText, Base::Instant now) const;

    /// Whether the key still works; for requests that were checked before and waited since.
    bool isInForce(const Base::KeyId &key, Base::Instant now) const;

    /// Keys whose validity ended in (after, until]; to be treated as withdrawn.
    std::vector<KeyWithdrawn> expired(Base::Instant after, Base::Instant until) const;

private:
    struct Entry
    {
        Base::TeamId team;
        Key key;
    };

    KeyHasher hasher_;
    std::unordered_map<Base::KeyId, Entry> entries_;
};

} // namespace Contracts
