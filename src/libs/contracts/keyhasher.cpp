#include "keyhasher.h"

#include "hextext.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <cctype>

namespace Contracts {

namespace {

constexpr std::string_view keyPrefix = "mf_";
constexpr size_t maxIdLength = 64;
constexpr size_t maxSecretLength = 128;

bool isIdCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
}

} // namespace

KeyHasher::KeyHasher()
    : algorithm_(EVP_MD_fetch(nullptr, "SHA256", nullptr), EVP_MD_free)
{}

KeyHash KeyHasher::hash(std::string_view secret) const
{
    KeyHash hash{};
    EVP_Digest(secret.data(), secret.size(), hash.data(), nullptr, algorithm_.get(), nullptr);
    return hash;
}

KeyHash hashSecret(std::string_view secret)
{
    return KeyHasher().hash(secret);
}

std::string formatKey(const Base::KeyId &id, const KeySecret &secret)
{
    return std::string(keyPrefix) + id.text() + "_" + toHex(secret);
}

std::optional<KeyText> parseKey(std::string_view text)
{
    if (!text.starts_with(keyPrefix)) {
        return std::nullopt;
    }
    text.remove_prefix(keyPrefix.size());
    const size_t separator = text.find('_');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    KeyText key{Base::KeyId(std::string(text.substr(0, separator))),
                std::string(text.substr(separator + 1))};
    const bool isSecretValid = !key.secret.empty() && key.secret.size() <= maxSecretLength;
    return isValidKeyId(key.id) && isSecretValid ? std::optional(key) : std::nullopt;
}

bool isValidKeyId(const Base::KeyId &id)
{
    const std::string &text = id.text();
    return !text.empty() && text.size() <= maxIdLength && std::ranges::all_of(text, isIdCharacter);
}

bool isEqualConstantTime(const KeyHash &a, const KeyHash &b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace Contracts
