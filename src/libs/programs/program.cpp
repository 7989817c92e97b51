#include "program.h"

#include <algorithm>
#include <charconv>

namespace Programs {

namespace {

// An engine's chat template adds role and separator tokens to each message.
constexpr std::int64_t templateTokensPerMessage = 8;

// Tokenizers of the engines produce at most one token per byte.
Base::Tokens tokenBound(size_t bytes)
{
    return Base::Tokens(static_cast<std::int64_t>(bytes) + templateTokensPerMessage);
}

std::uint32_t childNumber(const Base::ProgramId &child)
{
    const std::string &text = child.text();
    const char *end = text.data() + text.size();
    std::uint32_t number = 0;
    std::from_chars(text.data() + text.rfind('.') + 1, end, number);
    return number;
}

TurnContent contentOf(const Journal::CallResult &result)
{
    TurnContent content;
    content.number = result.number;
    content.bodyHash = result.bodyHash;
    content.service = result.service;
    content.server = result.server;
    content.input = result.input;
    content.output = result.output;
    content.error = result.error;
    content.promptTokens = result.promptTokens;
    content.outputTokens = result.outputTokens;
    content.at = result.at;
    return content;
}

bool didNotRun(const Journal::CallResult &result)
{
    return result.error && result.error->ran == Base::Ran::NotRun;
}

} // namespace

Program::Program(const Journal::ProgramCreated &created)
    : created_(created)
    , history_(std::make_shared<History>())
{}

Program::Program(const ProgramSnapshot &snapshot)
    : created_(snapshot.created)
    , history_(std::make_shared<History>())
    , charged_(snapshot.charged)
    , openIntent_(snapshot.openIntent)
    , children_(snapshot.children)
    , childCount_(snapshot.childCount)
{
    if (snapshot.history) {
        *history_ = *snapshot.history;
    }
    rebuildTotals();
}

void Program::apply(const Journal::CallIntent &intent)
{
    if (intent.number == nextNumber() && !intent.isIdempotent) {
        openIntent_ = intent;
    }
}

void Program::apply(const Journal::CallResult &result)
{
    if (isAlreadyApplied(result)) {
        return;
    }
    const bool hadIntent = openIntent_ && openIntent_->number == result.number;
    if (hadIntent) {
        openIntent_.reset();
    }
    charged_ += result.charged;
    // The number of a call that did not run can be used again.
    if (didNotRun(result)) {
        return;
    }
    TurnContent content = contentOf(result);
    content.isIdempotent = !hadIntent;
    addTurn(std::make_shared<const Turn>(content));
}

void Program::apply(const Journal::ChildReserved &child)
{
    const std::uint32_t number = childNumber(child.child);
    if (number <= childCount_) {
        return;
    }
    childCount_ = number;
    children_.push_back(child);
}

void Program::apply(const Journal::ChildSettled &child)
{
    const auto settled = std::ranges::find(children_, child.child, &Journal::ChildReserved::child);
    if (settled == children_.end()) {
        return;
    }
    children_.erase(settled);
    charged_ += child.spent;
}

void Program::apply(const Journal::ProgramEnded &ended)
{
    endReason_ = ended.reason;
}

bool Program::isAlreadyApplied(const Journal::CallResult &result) const
{
    if (result.number == nextNumber()) {
        return false;
    }
    // Only the last call can run again, and only after it ended in an error.
    const bool isLast = !history_->empty() && result.number == history_->back()->number();
    return !isLast || !history_->back()->error() || result.at <= history_->back()->at();
}

void Program::addTurn(std::shared_ptr<const Turn> turn)
{
    if (isHistoryShared_) {
        history_ = std::make_shared<History>(*history_);
        isHistoryShared_ = false;
    }
    if (turn->number() < nextNumber()) {
        turnBytes_ -= history_->back()->memory();
        history_->pop_back();
    }
    addToTotals(*turn);
    history_->push_back(std::move(turn));
}

void Program::rebuildTotals()
{
    for (const std::shared_ptr<const Turn> &turn : *history_) {
        addToTotals(*turn);
    }
}

void Program::addToTotals(const Turn &turn)
{
    turnBytes_ += turn.memory();
    if (turn.error()) {
        return;
    }
    if (turn.promptTokens().value() > 0) {
        // An output may be tokenized into more tokens in a prompt than were generated for it.
        contextBound_ = turn.promptTokens() + tokenBound(turn.output().size());
        return;
    }
    contextBound_ += tokenBound(turn.input().size()) + tokenBound(turn.output().size());
}

Base::CallNumber Program::nextNumber() const
{
    return Base::CallNumber(static_cast<std::uint32_t>(history_->size() + 1));
}

std::shared_ptr<const Turn> Program::turn(Base::CallNumber number) const
{
    if (number.value() == 0 || number >= nextNumber()) {
        return nullptr;
    }
    return (*history_)[number.value() - 1];
}

std::shared_ptr<const History> Program::history()
{
    isHistoryShared_ = true;
    return history_;
}

Base::Tokens Program::reservedByChildren() const
{
    Base::Tokens sum;
    for (const Journal::ChildReserved &child : children_) {
        sum += child.reserved;
    }
    return sum;
}

Base::Tokens Program::budgetLeft() const
{
    return std::max(created_.budget - charged_ - reservedByChildren(), Base::Tokens(0));
}

Base::Tokens Program::promptBound(size_t inputBytes) const
{
    return contextBound_ + tokenBound(inputBytes) + tokenBound(0);
}

Base::ProgramId Program::childId(std::uint32_t number) const
{
    return Base::ProgramId(id().text() + "." + std::to_string(number));
}

ProgramSnapshot Program::snapshot() const
{
    ProgramSnapshot snapshot;
    snapshot.created = created_;
    snapshot.history = std::make_shared<const History>(*history_);
    snapshot.charged = charged_;
    snapshot.openIntent = openIntent_;
    snapshot.children = children_;
    snapshot.childCount = childCount_;
    return snapshot;
}

Base::Bytes Program::memory() const
{
    const size_t own = sizeof(Program) + id().text().capacity() + created_.key.text().capacity()
                       + history_->capacity() * sizeof(History::value_type)
                       + children_.capacity() * sizeof(Journal::ChildReserved)
                       + (openIntent_ ? openIntent_->input.capacity() : 0);
    return turnBytes_ + Base::Bytes(static_cast<std::int64_t>(own));
}

} // namespace Programs
