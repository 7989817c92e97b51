#include "turn.h"

namespace Programs {

namespace {

std::string joined(std::string_view first, std::string_view second)
{
    std::string text;
    text.reserve(first.size() + second.size());
    text.append(first);
    text.append(second);
    return text;
}

} // namespace

Turn::Turn(const TurnContent &content)
    : number_(content.number)
    , bodyHash_(content.bodyHash)
    , service_(content.service)
    , server_(content.server)
    , text_(joined(content.input, content.output))
    , inputLength_(content.input.size())
    , error_(content.error ? std::make_unique<const Base::Error>(*content.error) : nullptr)
    , isIdempotent_(content.isIdempotent)
    , promptTokens_(content.promptTokens)
    , outputTokens_(content.outputTokens)
    , at_(content.at)
{}

Base::Bytes Turn::memory() const
{
    size_t bytes = sizeof(Turn) + text_.capacity();
    bytes += service_.text().capacity() + server_.text().capacity();
    if (error_) {
        bytes += sizeof(Base::Error) + error_->message.capacity() + error_->peer.capacity();
    }
    return Base::Bytes(static_cast<std::int64_t>(bytes));
}

} // namespace Programs
