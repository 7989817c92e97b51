#pragma once

#include "configedit.h"
#include "configreplica.h"

#include <base/error.h>
#include <platform/conditionalwriter.h>

#include <deque>

namespace Contracts {

struct ConfigEditorSettings
{
    /// Prefix of the write ids; unique for this run of the daemon.
    Base::IncarnationId incarnation;
    /// Timeout of requests to the store.
    Base::Duration storeTimeout = std::chrono::seconds(1);
    Base::Duration retryDelay = std::chrono::milliseconds(200);
    /// Timeout of an edit; it then fails as not run, or as in doubt if a write was sent.
    Base::Duration editTimeout = std::chrono::seconds(10);
    std::uint32_t maxQueuedEdits = 64;
};

struct SubmitEdit
{
    Base::RequestId request;
    ConfigEdit edit;
    /// Version on which the operator based the edit; another version in the store is a conflict.
    std::optional<Base::ConfigVersion> expected;
};

/// The edit took effect: the changed document is in the store.
struct EditAccepted
{
    Base::RequestId request;
    std::shared_ptr<const ConfigurationDocument> document;
};

/// The edit is not valid for the document in the store; nothing was changed.
struct EditInvalid
{
    Base::RequestId request;
    std::vector<Base::SettingsProblem> problems;
};

/// The configuration was changed concurrently; this edit changed nothing.
struct EditConflict
{
    Base::RequestId request;
    Base::ConfigVersion expected;
    Base::ConfigVersion found;
};

/// The store was unavailable; `ran` of the error states whether the edit may have taken effect.
struct EditFailed
{
    Base::RequestId request;
    Base::Error error;
};

/// The message is to be sent to every peer.
struct PushToPeers
{
    ConfigPush push;
};

using ConfigEditorAction = std::
    variant<SendStoreRequest, EditAccepted, EditInvalid, EditConflict, EditFailed, PushToPeers>;

/// Applies operators' edits sequentially, by conditional updates of the store.
class ConfigEditor
{
public:
    explicit ConfigEditor(const ConfigEditorSettings &settings);

    void submit(SubmitEdit edit, Base::Instant now);
    void storeReplied(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<ConfigEditorAction> takeActions();

private:
    struct QueuedEdit
    {
        SubmitEdit edit;
        Base::Instant deadline;
    };

    void startNext(Base::Instant now);
    void send(Platform::StoreOperation operation, Base::Instant now);
    void handleOutcome(const Platform::StoreOutcome &outcome, Base::Instant now);
    void handleRead(const Platform::StoreOutcome &outcome, Base::Instant now);
    void handleProgress(const Platform::WriteProgress &progress, Base::Instant now);
    void write(const std::optional<Platform::StoredObject> &current, Base::Instant now);
    void writeLost(const std::optional<Platform::StoredObject> &current, Base::Instant now);
    void accept(Base::Instant now);
    void conflict(Base::ConfigVersion expected, Base::ConfigVersion found, Base::Instant now);
    void fail(Base::Ran ran, const std::string &message, Base::Instant now);
    void finish(Base::Instant now);
    void expireEdits(Base::Instant now);
    const SubmitEdit &current() const { return queue_.front().edit; }

    ConfigEditorSettings settings_;
    std::deque<QueuedEdit> queue_;
    std::vector<ConfigEditorAction> actions_;
    /// Set while the first edit of the queue is being written.
    std::optional<Platform::ConditionalWriter> writer_;
    std::shared_ptr<const ConfigurationDocument> edited_;
    Platform::StoreRequestId lastRequest_;
    std::uint64_t writeCount_ = 0;
    bool isActive_ = false;
    /// Whether a write was sent whose outcome is unknown.
    bool isInDoubt_ = false;
    std::optional<Base::Instant> replyDeadline_;
    std::optional<Base::Instant> retryAt_;
};

} // namespace Contracts
