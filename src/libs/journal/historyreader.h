#pragma once

#include "journalwriter.h"
#include "storecalls.h"

namespace Journal {

/// All turns of a program, oldest first.
struct HistoryRead
{
    Base::ProgramId program;
    std::vector<CallResult> turns;
};

struct HistoryFailed
{
    Base::ProgramId program;
    Base::Error error;
};

using HistoryAction = std::variant<SendStore, HistoryRead, HistoryFailed>;

/// Reads the history of one recovered program from its chunks, when somebody needs it.
class HistoryReader
{
public:
    HistoryReader(Base::ProgramId program, std::vector<SnapshotChunk> chunks);

    void start(Base::Instant now);
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<HistoryAction> takeActions();

private:
    void takeChunk(std::size_t index, const ReadAnswered &answer);
    void finish();

    Base::ProgramId program_;
    std::vector<SnapshotChunk> chunks_;
    StoreCalls calls_;
    std::map<StoreCallId, std::size_t> reads_;
    std::vector<std::vector<CallResult>> turns_;
    std::size_t missing_ = 0;
    bool isDone_ = false;
    std::vector<HistoryAction> actions_;
};

} // namespace Journal
