#pragma once

#include "journalwriter.h"
#include "storecalls.h"

namespace Journal {

/// A program and the chunks that contain its history.
struct HistoryRequest
{
    Base::ProgramId program;
    std::vector<SnapshotChunk> chunks;
};

/// The turns from all chunks of a program, oldest first.
struct HistoryRead
{
    Base::ProgramId program;
    std::vector<CallResult> turns;
};

/// An object is absent or malformed; no history is returned.
struct HistoryFailed
{
    Base::ProgramId program;
    Base::Error error;
};

using HistoryAction = std::variant<SendStoreRequest, HistoryRead, HistoryFailed>;

/// Reads histories of recovered programs on demand. Programs of one partition share objects, so
/// reading several of them together costs little more than reading one.
class HistoryReader
{
public:
    HistoryReader(Base::ProgramId program, std::vector<SnapshotChunk> chunks);
    explicit HistoryReader(std::vector<HistoryRequest> requests);

    void start(Base::Instant now);
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<HistoryAction> takeActions();

private:
    void handleObject(const std::string &name, const ReadAnswered &answer);
    void fail(Base::Error error);
    void advance();
    HistoryRead assemble(const HistoryRequest &request) const;

    std::vector<HistoryRequest> requests_;
    StoreCalls calls_;
    std::map<StoreCallId, std::string> reads_;
    /// Turns of the requested programs by object name.
    std::map<std::string, std::vector<CallResult>> turnsByObject_;
    bool isDone_ = false;
    std::vector<HistoryAction> actions_;
};

} // namespace Journal
