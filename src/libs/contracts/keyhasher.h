#pragma once

#include "configuration.h"

#include <openssl/types.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Contracts {

/// Random bytes of a secret; the caller draws them.
using KeySecret = std::array<std::uint8_t, 32>;

/// The parts of a key's text "mf_<id>_<secret>".
struct KeyText
{
    Base::KeyId id;
    std::string secret;
};

/// Hashes secrets with SHA-256. Holds the algorithm, as looking it up costs more than a hash.
class KeyHasher
{
public:
    KeyHasher();

    KeyHash hash(std::string_view secret) const;

private:
    std::shared_ptr<EVP_MD> algorithm_;
};

/// Hash of one secret, for keys that are issued.
KeyHash hashSecret(std::string_view secret);

/// Text of a new key, shown once to the operator. The id holds letters, digits and '-' only.
std::string formatKey(const Base::KeyId &id, const KeySecret &secret);

/// Nothing if the text does not have a key's form.
std::optional<KeyText> parseKey(std::string_view text);

bool isValidKeyId(const Base::KeyId &id);

/// Compares in time that does not depend on where the hashes differ.
bool isEqualConstantTime(const KeyHash &a, const KeyHash &b);

} // namespace Contracts
