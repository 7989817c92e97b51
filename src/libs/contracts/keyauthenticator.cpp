#include "keyauthenticator.h"

namespace Contracts {

namespace {

bool isUsable(const Key &key, Base::Instant now)
{
    const bool hasBegun = !key.validFrom || *key.validFrom <= now;
    const bool hasEnded = key.validUntil && *key.validUntil <= now;
    return !key.isWithdrawn && hasBegun && !hasEnded;
}

Base::Error unauthorized()
{
    Base::Error error;
    error.code = Base::ErrorCode::Unauthorized;
    error.step = Base::Step::Authenticate;
    error.ran = Base::Ran::NotRun;
    error.message = "the key is missing, malformed, unknown, expired or withdrawn";
    return error;
}

} // namespace

KeyAuthenticator::KeyAuthenticator(const ConfigurationDocument &document)
{
    for (const Team &team : document.teams) {
        for (const Key &key : team.keys) {
            entries_.emplace(key.id, Entry{team.id, key});
        }
    }
}

Base::Result<KeyHolder> KeyAuthenticator::authenticate(std::string_view keyText,
                                                       Base::Instant now) const
{
    const std::optional<KeyText> presented = parseKey(keyText);
    if (!presented) {
        return unauthorized();
    }
    const auto found = entries_.find(presented->id);
    // An unknown id costs the same hash and comparison as a known one, so that timing reveals no
    // ids.
    static constexpr KeyHash noHash{};
    const KeyHash &expected = found == entries_.end() ? noHash : found->second.key.hash;
    const bool isSecretCorrect = isEqualConstantTime(hasher_.hash(presented->secret), expected);
    if (found == entries_.end() || !isSecretCorrect || !isUsable(found->second.key, now)) {
        return unauthorized();
    }
    return KeyHolder{found->second.team, presented->id};
}

bool KeyAuthenticator::isValid(const Base::KeyId &key, Base::Instant now) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && isUsable(found->second.key, now);
}

std::vector<KeyWithdrawn> KeyAuthenticator::expired(Base::Instant after, Base::Instant until) const
{
    std::vector<KeyWithdrawn> keys;
    for (const auto &[id, entry] : entries_) {
        const std::optional<Base::Instant> &end = entry.key.validUntil;
        if (end && *end > after && *end <= until) {
            keys.push_back({entry.team, id});
        }
    }
    return keys;
}

} // namespace Contracts
