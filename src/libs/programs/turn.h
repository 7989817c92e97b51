#pragma once

#include <base/error.h>
#include <base/types.h>

#include <memory>
#include <string_view>
#include <vector>

namespace Programs {

/// Content of a turn; the argument of Turn's constructor.
struct TurnContent
{
    Base::CallNumber number;
    Base::BodyHash bodyHash;
    Base::ServiceId service;
    Base::ServerId server;
    std::string_view input;
    std::string_view output;
    /// Set if the call ended in an error; output is then empty.
    std::optional<Base::Error> error;
    /// Whether the call may run again if it ended in an error.
    bool isIdempotent = false;
    Base::Tokens promptTokens;
    Base::Tokens outputTokens;
    Base::Instant at;
};

/// One ended call of a program. Immutable; input and output share one string.
class Turn
{
public:
    explicit Turn(const TurnContent &content);

    Base::CallNumber number() const { return number_; }
    Base::BodyHash bodyHash() const { return bodyHash_; }
    const Base::ServiceId &service() const { return service_; }
    const Base::ServerId &server() const { return server_; }
    std::string_view input() const { return std::string_view(text_).substr(0, inputLength_); }
    std::string_view output() const { return std::string_view(text_).substr(inputLength_); }
    /// Null if the call ended with an output.
    const Base::Error *error() const { return error_.get(); }
    bool isIdempotent() const { return isIdempotent_; }
    Base::Tokens promptTokens() const { return promptTokens_; }
    Base::Tokens outputTokens() const { return outputTokens_; }
    Base::Instant at() const { return at_; }

    /// Memory used by the turn, including its own size.
    Base::Bytes memory() const;

private:
    Base::CallNumber number_;
    Base::BodyHash bodyHash_;
    Base::ServiceId service_;
    Base::ServerId server_;
    std::string text_;
    size_t inputLength_ = 0;
    std::unique_ptr<const Base::Error> error_;
    bool isIdempotent_ = false;
    Base::Tokens promptTokens_;
    Base::Tokens outputTokens_;
    Base::Instant at_;
};

/// Turns in the order of their call numbers; number n is at index n - 1. Includes turns that ended
/// in an error; prompts are built from the others.
using History = std::vector<std::shared_ptr<const Turn>>;

} // namespace Programs
