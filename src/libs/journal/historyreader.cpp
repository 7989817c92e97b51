#include "historyreader.h"

#include "codec.h"

#include <algorithm>
#include <iterator>

namespace Journal {

namespace {

constexpr Base::Duration storeTimeout = std::chrono::milliseconds(1000);
constexpr Base::Duration storeRetryInterval = std::chrono::milliseconds(200);

} // namespace

HistoryReader::HistoryReader(Base::ProgramId program, std::vector<SnapshotChunk> chunks)
    : HistoryReader({WantedHistory{std::move(program), std::move(chunks)}})
{}

HistoryReader::HistoryReader(std::vector<WantedHistory> wanted)
    : wanted_(std::move(wanted))
    , calls_(storeTimeout, storeRetryInterval)
{}

void HistoryReader::start(Base::Instant now)
{
    for (const WantedHistory &wanted : wanted_) {
        for (const SnapshotChunk &chunk : wanted.chunks) {
            if (objects_.try_emplace(chunk.name).second) {
                reads_.emplace(calls_.get(snapshotKey(chunk.name), now), chunk.name);
            }
        }
    }
    finish();
}

void HistoryReader::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    const std::optional<FinishedCall> finished = calls_.handle(reply, now);
    if (!finished || isDone_) {
        return;
    }
    if (const auto read = reads_.extract(finished->call)) {
        takeObject(read.mapped(), std::get<ReadAnswered>(finished->result));
    }
    finish();
}

void HistoryReader::takeObject(const std::string &name, const ReadAnswered &answer)
{
    if (!answer.object) {
        Base::Error error;
        error.step = Base::Step::Recover;
        error.peer = "platform";
        error.message = "history object " + name + " is absent";
        fail(std::move(error));
        return;
    }
    Base::Result<HistoryChunk> chunk = decodeHistoryChunk(answer.object->body);
    if (!chunk) {
        fail(chunk.error());
        return;
    }
    std::vector<CallResult> &turns = objects_[name];
    const auto isWanted = [this](const CallResult &turn) {
        return std::any_of(wanted_.begin(), wanted_.end(), [&](const WantedHistory &wanted) {
            return wanted.program == turn.program;
        });
    };
    std::copy_if(std::move_iterator(chunk.value().turns.begin()),
                 std::move_iterator(chunk.value().turns.end()),
                 std::back_inserter(turns),
                 isWanted);
}

void HistoryReader::fail(Base::Error error)
{
    isDone_ = true;
    actions_.emplace_back(HistoryFailed{wanted_.front().program, std::move(error)});
}

HistoryRead HistoryReader::assemble(const WantedHistory &wanted) const
{
    HistoryRead read{wanted.program, {}};
    for (const SnapshotChunk &chunk : wanted.chunks) {
        for (const CallResult &turn : objects_.at(chunk.name)) {
            if (turn.program == wanted.program) {
                read.turns.push_back(turn);
            }
        }
    }
    return read;
}

void HistoryReader::finish()
{
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStore{std::move(request)});
    }
    if (isDone_ || !reads_.empty()) {
        return;
    }
    isDone_ = true;
    for (const WantedHistory &wanted : wanted_) {
        actions_.emplace_back(assemble(wanted));
    }
    objects_.clear();
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
