#include "configeditor.h"

#include "configurationcodec.h"

#include <base/visitor.h>

#include <algorithm>
#include <utility>

namespace Contracts {

using Base::Ran;

namespace {

const char storePeer[] = "platform";

Base::Error configureError(Base::ErrorCode code, Ran ran, std::string message)
{
    Base::Error error;
    error.code = code;
    error.step = Base::Step::Configure;
    error.ran = ran;
    error.message = std::move(message);
    return error;
}

bool containsChange(const ConfigurationDocument &document, const Base::WriteId &writeId)
{
    return std::ranges::any_of(document.recentChanges, [&writeId](const AcceptedChange &change) {
        return change.writeId == writeId;
    });
}

void appendChange(ConfigurationDocument &document, const Base::WriteId &writeId)
{
    std::vector<AcceptedChange> &changes = document.recentChanges;
    changes.push_back({document.version, writeId});
    if (changes.size() > ConfigurationDocument::maxRecentChanges) {
        changes.erase(changes.begin());
    }
}

} // namespace

ConfigEditor::ConfigEditor(const ConfigEditorSettings &settings)
    : settings_(settings)
{}

void ConfigEditor::submit(SubmitEdit edit, Base::Instant now)
{
    if (queue_.size() >= settings_.maxQueuedEdits) {
        actions_.emplace_back(
            EditFailed{edit.request,
                       configureError(Base::ErrorCode::Unavailable,
                                      Ran::NotRun,
                                      "the queue of configuration edits is full")});
        return;
    }
    queue_.push_back({std::move(edit), now + settings_.editTimeout});
    if (!isActive_) {
        startNext(now);
    }
}

void ConfigEditor::startNext(Base::Instant now)
{
    isActive_ = !queue_.empty();
    isInDoubt_ = false;
    writer_.reset();
    edited_.reset();
    replyDeadline_.reset();
    retryAt_.reset();
    if (isActive_) {
        send(Platform::GetObject{ConfigReplica::objectKey()}, now);
    }
}

void ConfigEditor::send(Platform::StoreOperation operation, Base::Instant now)
{
    lastRequest_ = lastRequest_.next();
    replyDeadline_ = now + settings_.storeTimeout;
    retryAt_.reset();
    actions_.emplace_back(SendStoreRequest{{lastRequest_, std::move(operation)}});
}

void ConfigEditor::storeReplied(const Platform::StoreReply &reply, Base::Instant now)
{
    if (replyDeadline_ && reply.id == lastRequest_) {
        handleOutcome(reply.outcome, now);
    }
}

void ConfigEditor::handleOutcome(const Platform::StoreOutcome &outcome, Base::Instant now)
{
    replyDeadline_.reset();
    if (writer_) {
        handleProgress(writer_->handle(outcome), now);
        return;
    }
    handleRead(outcome, now);
}

void ConfigEditor::handleRead(const Platform::StoreOutcome &outcome, Base::Instant now)
{
    std::visit(Base::Visitor{[&](const Platform::ObjectFound &found) { write(found.object, now); },
                             [&](const Platform::ObjectAbsent &) { write(std::nullopt, now); },
                             [&](const auto &) { retryAt_ = now + settings_.retryDelay; }},
               outcome);
}

void ConfigEditor::write(const std::optional<Platform::StoredObject> &stored, Base::Instant now)
{
    ParsedConfiguration parsed;
    if (stored) {
        parsed = decode(stored->body);
    }
    if (!parsed.isValid()) {
        fail(Ran::NotRun, "the configuration in the store is not valid", now);
        return;
    }
    const Base::ConfigVersion version = parsed.document.version;
    if (current().expected && *current().expected != version) {
        conflict(*current().expected, version, now);
        return;
    }
    EditedConfiguration edited = applyEdit(parsed.document, current().edit);
    if (!edited.isValid()) {
        actions_.emplace_back(EditInvalid{current().request, std::move(edited.problems)});
        finish(now);
        return;
    }
    const Base::WriteId writeId(settings_.incarnation.text() + ".config."
                                + std::to_string(++writeCount_));
    appendChange(edited.document, writeId);
    edited_ = std::make_shared<const ConfigurationDocument>(std::move(edited.document));
    const Platform::ObjectVersion expected = stored ? stored->version : Platform::ObjectVersion();
    writer_.emplace(
        Platform::PutObject{ConfigReplica::objectKey(), expected, encode(*edited_), writeId});
    send(writer_->start(), now);
}

void ConfigEditor::handleProgress(const Platform::WriteProgress &progress, Base::Instant now)
{
    std::visit(
        Base::Visitor{[&](const Platform::WriteConfirmed &) { accept(now); },
                      [&](const Platform::WriteLost &lost) { writeLost(lost.current, now); },
                      [&](const Platform::WriteContinues &next) { send(next.operation, now); },
                      [&](const Platform::WriteUnresolved &) {
                          isInDoubt_ = true;
                          retryAt_ = now + settings_.retryDelay;
                      }},
        progress);
}

void ConfigEditor::writeLost(const std::optional<Platform::StoredObject> &stored, Base::Instant now)
{
    const ParsedConfiguration parsed = stored ? decode(stored->body) : ParsedConfiguration();
    const Base::ConfigVersion found = parsed.document.version;
    // The edit took effect, and other edits followed before the outcome of its write was resolved.
    if (containsChange(parsed.document, writer_->put().writeId)) {
        accept(now);
        return;
    }
    const std::uint64_t oldestListed
        = edited_->version.value() + ConfigurationDocument::maxRecentChanges;
    if (isInDoubt_ && (!parsed.isValid() || found.value() >= oldestListed)) {
        fail(Ran::MayHaveRun,
             "the outcome is unknown: the stored configuration is invalid or no longer lists a "
             "change of this age",
             now);
        return;
    }
    conflict(Base::ConfigVersion(edited_->version.value() - 1), found, now);
}

void ConfigEditor::accept(Base::Instant now)
{
    actions_.emplace_back(EditAccepted{current().request, edited_});
    actions_.emplace_back(PushToPeers{{edited_->version, encode(*edited_)}});
    finish(now);
}

void ConfigEditor::conflict(Base::ConfigVersion expected,
                            Base::ConfigVersion found,
                            Base::Instant now)
{
    actions_.emplace_back(EditConflict{current().request, expected, found});
    finish(now);
}

void ConfigEditor::fail(Ran ran, const std::string &message, Base::Instant now)
{
    Base::Error error = configureError(Base::ErrorCode::Unavailable, ran, message);
    error.peer = storePeer;
    actions_.emplace_back(EditFailed{current().request, std::move(error)});
    finish(now);
}

void ConfigEditor::finish(Base::Instant now)
{
    queue_.pop_front();
    startNext(now);
}

void ConfigEditor::tick(Base::Instant now)
{
    if (replyDeadline_ && *replyDeadline_ <= now) {
        handleOutcome(Platform::StoreUnavailable{}, now);
    }
    expireEdits(now);
    if (retryAt_ && *retryAt_ <= now) {
        send(writer_ ? writer_->retry() : Platform::GetObject{ConfigReplica::objectKey()}, now);
    }
}

void ConfigEditor::expireEdits(Base::Instant now)
{
    while (!queue_.empty() && queue_.front().deadline <= now) {
        const bool mayHaveRun = writer_.has_value();
        fail(mayHaveRun ? Ran::MayHaveRun : Ran::NotRun, "the store did not answer in time", now);
    }
}

std::optional<Base::Instant> ConfigEditor::nextWakeUp() const
{
    std::optional<Base::Instant> wakeUp;
    const auto consider = [&wakeUp](const std::optional<Base::Instant> &at) {
        if (at && (!wakeUp || *at < *wakeUp)) {
            wakeUp = at;
        }
    };
    consider(replyDeadline_);
    consider(retryAt_);
    if (!queue_.empty()) {
        consider(queue_.front().deadline);
    }
    return wakeUp;
}

std::vector<ConfigEditorAction> ConfigEditor::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Contracts
