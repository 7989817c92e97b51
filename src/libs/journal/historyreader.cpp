#include "historyreader.h"

#include "codec.h"

#include <iterator>

namespace Journal {

namespace {

constexpr Base::Duration storeTimeout = std::chrono::milliseconds(1000);
constexpr Base::Duration storeRetryInterval = std::chrono::milliseconds(200);

} // namespace

HistoryReader::HistoryReader(Base::ProgramId program, std::vector<SnapshotChunk> chunks)
    : program_(std::move(program))
    , chunks_(std::move(chunks))
    , calls_(storeTimeout, storeRetryInterval)
    , turns_(chunks_.size())
    , missing_(chunks_.size())
{}

void HistoryReader::start(Base::Instant now)
{
    for (std::size_t i = 0; i < chunks_.size(); ++i) {
        reads_.emplace(calls_.get(snapshotKey(chunks_[i].name), now), i);
    }
    finish();
}

void HistoryReader::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    const std::optional<FinishedCall> finished = calls_.handle(reply, now);
    if (!finished || isDone_) {
        return;
    }
    const auto read = reads_.find(finished->call);
    if (read != reads_.end()) {
        takeChunk(read->second, std::get<ReadAnswered>(finished->result));
        reads_.erase(read);
    }
    finish();
}

void HistoryReader::takeChunk(std::size_t index, const ReadAnswered &answer)
{
    Base::Error error;
    error.step = Base::Step::Recover;
    error.peer = "platform";
    if (!answer.object) {
        error.message = "history object " + chunks_[index].name + " is absent";
    } else if (Base::Result<HistoryChunk> chunk = decodeHistoryChunk(answer.object->body); !chunk) {
        error = chunk.error();
    } else if (chunk.value().program != program_) {
        error.message = "history object " + chunks_[index].name + " is of another program";
    } else {
        turns_[index] = std::move(chunk.value().turns);
        --missing_;
        return;
    }
    isDone_ = true;
    actions_.emplace_back(HistoryFailed{program_, std::move(error)});
}

void HistoryReader::finish()
{
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStore{std::move(request)});
    }
    if (isDone_ || missing_ > 0) {
        return;
    }
    isDone_ = true;
    HistoryRead read{program_, {}};
    for (std::vector<CallResult> &turns : turns_) {
        std::move(turns.begin(), turns.end(), std::back_inserter(read.turns));
    }
    turns_.clear();
    actions_.emplace_back(std::move(read));
}

void HistoryReader::tick(Base::Instant now)
{
    calls_.tick(now);
    finish();
}

std::optional<Base::Instant> HistoryReader::nextWakeUp() const
{
    return isDone_ ? std::nullopt : calls_.nextWakeUp();
}

std::vector<HistoryAction> HistoryReader::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Journal
