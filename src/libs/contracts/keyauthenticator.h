#pragma once

#include "configchanges.h"
#include "configuration.h"
#include "keyhasher.h"

#include <base/error.h>

#include <string_view>
#include <unordered_map>

namespace Contracts {

/// Team and key of an authenticated request.
struct KeyHolder
{
    Base::TeamId team;
    Base::KeyId key;

    bool operator==(const KeyHolder &) const = default;
};

/// Authenticates requests by the keys of one configuration version, in constant time.
class KeyAuthenticator
{
public:
    KeyAuthenticator() = default;
    explicit KeyAuthenticator(const ConfigurationDocument &document);

    /// Authenticates the text of a key, without "Bearer ". The error is the same for a wrong secret
    /// and an unknown key.
    Base::Result<KeyHolder> authenticate(std::string_view keyText, Base::Instant now) const;

    /// Whether the key is still valid; for requests that were queued after their authentication.
    bool isValid(const Base::KeyId &key, Base::Instant now) const;

    /// Keys whose validity ended in (after, until], which count as withdrawn.
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
