#pragma once

#include "journalwriter.h"
#include "storecalls.h"

namespace Journal {

/// A program whose history is wanted.
struct WantedHistory
{
    Base::ProgramId program;
    std::vector<SnapshotChunk> chunks;
};

/// All turns of a program that are in chunks, oldest first.
struct HistoryRead
{
    Base::ProgramId program;
    std::vector<CallResult> turns;
};

/// An object is absent or malformed; none of the histories is handed out.
struct HistoryFailed
{
    Base::ProgramId program;
    Base::Error error;
};

using HistoryAction = std::variant<SendStore, HistoryRead, HistoryFailed>;

/// Reads histories of recovered programs when somebody needs them. Programs of one partition
/// share objects, so reading several of them together costs little more than reading one.
class HistoryReader
{
public:
    HistoryReader(Base::ProgramId program, std::vector<SnapshotChunk> chunks);
    explicit HistoryReader(std::vector<WantedHistory> wanted);

    void start(Base::Instant now);
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<HistoryAction> takeActions();

private:
    void takeObject(const std::string &name, const ReadAnswered &answer);
    void fail(Base::Error error);
    void finish();
    HistoryRead assemble(const WantedHistory &wanted) const;

    std::vector<WantedHistory> wanted_;
    StoreCalls calls_;
    std::map<StoreCallId, std::string> reads_;
    /// Turns by object; only those of wanted programs.
    std::map<std::string, std::vector<CallResult>> objects_;
    bool isDone_ = false;
    std::vector<HistoryAction> actions_;
};

} // namespace Journal
