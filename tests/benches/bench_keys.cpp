#include <contracts/keyauthenticator.h>
#include <contracts/keyhasher.h>

#include <chrono>
#include <cstdio>

// Cost of one key check against the number of keys.

using namespace Contracts;

namespace {

constexpr int checks = 200'000;
constexpr int keysPerTeam = 5;

void measure(int teams)
{
    ConfigurationDocument document;
    std::vector<std::string> texts;
    for (int i = 0; i < teams; ++i) {
        Team &team = document.teams.emplace_back();
        team.id = Base::TeamId("team" + std::to_string(i));
        for (int k = 0; k < keysPerTeam; ++k) {
            Key &key = team.keys.emplace_back();
            key.id = Base::KeyId("key" + std::to_string(i * keysPerTeam + k));
            texts.push_back(formatKey(key.id, KeySecret{static_cast<std::uint8_t>(k)}));
            key.hash = hashSecret(parseKey(texts.back())->secret);
        }
    }
    const KeyAuthenticator authenticator(document);
    const auto begin = std::chrono::steady_clock::now();
    int accepted = 0;
    for (int i = 0; i < checks; ++i) {
        const std::string &text = texts[static_cast<size_t>(i) % texts.size()];
        accepted += authenticator.authenticate(text, Base::Instant()).has_value() ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
    std::printf("%5zu keys: %.0f ns a check, %d of %d accepted\n",
                texts.size(),
                spent.count() / checks,
                accepted,
                checks);
}

} // namespace

int main()
{
    for (const int teams : {8, 200}) {
        measure(teams);
    }
    return 0;
}
