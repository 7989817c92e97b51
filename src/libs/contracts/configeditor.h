#pragma once

#include "configedit.h"
#include "configreplica.h"

#include <base/error.h>
#include <platform/conditionalwriter.h>

#include <deque>

namespace Contracts {

struct ConfigEditorSettings
{
    /// First part of the write ids; unique for this run of the daemon.
    Base::IncarnationId incarnation;
    /// Answers of the store that take longer are taken as lost.
    Base::Duration storeTimeout = std::chrono::seconds(1);
    Base::Duration retryDelay = std::chrono::milliseconds(200);
    /// An edit that is not decided by then is answered as in doubt, or as not run.
    Base::Duration editTimeout = std::chrono::seconds(10);
    std::uint32_t maxQueuedEdits = 64;
};

struct SubmitEdit
{
    Base::RequestId request;
    ConfigEdit edit;
    /// Version that the operator looked at; a newer one in the store is then a conflict.
    std::optional<Base::ConfigVersion> expected;
};

/// The change took effect: it is in the store.
struct EditAccepted
{
    Base::RequestId request;
    std::shared_ptr<const ConfigurationDocument> document;
};

/// The edit does not fit the document; nothing was changed.
struct EditInvalid
{
    Base::RequestId request;
    std::vector<Base::SettingsProblem> problems;
};

/// Another operator changed the configuration first; nothing was changed by this edit.
struct EditConflict
{
    Base::RequestId request;
    Base::ConfigVersion expected;
    Base::ConfigVersion found;
};

/// The store could not be asked, or did not tell whether the change took effect (see `ran`).
struct EditFailed
{
    Base::RequestId request;
    Base::Error error;
};

/// Send this to every peer.
struct PushToPeers
{
    ConfigPush push;
};

using ConfigEditorAction = std::
    variant<SendStoreRequest, EditAccepted, EditInvalid, EditConflict, EditFailed, PushToPeers>;

/// Carries out operators' changes, one after the other, by conditional updates of the store.
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
    /// A write was sent whose answer never came.
    bool isInDoubt_ = false;
    std::optional<Base::Instant> answerDue_;
    std::optional<Base::Instant> retryAt_;
};

} // namespace Contracts
