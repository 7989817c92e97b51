#pragma once

#include <base/instant.h>
#include <base/types.h>

namespace Dispatch {

/// Learns from responses what requests to the servers of one service cost. Times are to the head of
/// the response, which a server sends with the first token.
class CostModel
{
public:
    struct Settings
    {
        /// Assumed before the first responses.
        double initialTokensPerMs = 200;
        double initialBaseMs = 30;
        double minTokensPerMs = 20;
        double maxTokensPerMs = 5000;
        /// A prompt with fewer tokens to read tells the time of everything else, one with more the
        /// speed.
        Base::Tokens shortPrompt{4000};
        Base::Tokens longPrompt{8000};
        /// Weight of the newest response.
        double weight = 0.05;
        /// Share of the reading time by which a read delays each running request of the server.
        double delayShare = 0.5;
    };

    explicit CostModel(Settings settings)
        : settings_(settings)
        , shortMs_(settings.initialBaseMs)
        , tokensPerMs_(settings.initialTokensPerMs)
    {}

    /// A server responded; \a missing tokens of the prompt were expected to be read.
    void responded(Base::Tokens missing, Base::Duration time);

    /// Expected time to read the tokens, and the delay that this means for the running requests.
    double readingMs(Base::Tokens missing, double running) const;
    double tokensPerMs() const { return tokensPerMs_; }
    /// Expected time to the response of a request with little to read.
    double baseMs() const { return shortMs_; }

private:
    Settings settings_;
    double shortMs_;
    double tokensPerMs_;
};

} // namespace Dispatch
