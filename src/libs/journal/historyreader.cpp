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
    : HistoryReader({HistoryRequest{std::move(program), std::move(chunks)}})
{}

HistoryReader::HistoryReader(std::vector<HistoryRequest> requests)
    : requests_(std::move(requests))
    , calls_(storeTimeout, storeRetryInterval)
{}

void HistoryReader::start(Base::Instant now)
{
    for (const HistoryRequest &request : requests_) {
        for (const SnapshotChunk &chunk : request.chunks) {
            if (turnsByObject_.try_emplace(chunk.name).second) {
                reads_.emplace(calls_.get(snapshotKey(chunk.name), now), chunk.name);
            }
        }
    }
    advance();
}

void HistoryReader::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    const std::optional<FinishedCall> finished = calls_.handle(reply, now);
    if (!finished || isDone_) {
        return;
    }
    if (const auto read = reads_.extract(finished->call)) {
        handleObject(read.mapped(), std::get<ReadAnswered>(finished->result));
    }
    advance();
}

void HistoryReader::handleObject(const std::string &name, const ReadAnswered &answer)
{
    if (!answer.object) {
        Base::Error error;
        error.step = Base::Step::Recover;
        error.peer = "platform";
        error.message = "history object " + name + " does not exist in the store";
        fail(std::move(error));
        return;
    }
    Base::Result<HistoryChunk> chunk = decodeHistoryChunk(answer.object->body);
    if (!chunk) {
        fail(chunk.error());
        return;
    }
    std::vector<CallResult> &turns = turnsByObject_[name];
    const auto isRequested = [this](const CallResult &turn) {
        return std::any_of(requests_.begin(), requests_.end(), [&](const HistoryRequest &request) {
            return request.program == turn.program;
        });
    };
    std::copy_if(std::move_iterator(chunk.value().turns.begin()),
                 std::move_iterator(chunk.value().turns.end()),
                 std::back_inserter(turns),
                 isRequested);
}

void HistoryReader::fail(Base::Error error)
{
    isDone_ = true;
    actions_.emplace_back(HistoryFailed{requests_.front().program, std::move(error)});
}

HistoryRead HistoryReader::assemble(const HistoryRequest &request) const
{
    HistoryRead read{request.program, {}};
    for (const SnapshotChunk &chunk : request.chunks) {
        for (const CallResult &turn : turnsByObject_.at(chunk.name)) {
            if (turn.program == request.program) {
                read.turns.push_back(turn);
            }
        }
    }
    return read;
}

void HistoryReader::advance()
{
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStoreRequest{std::move(request)});
    }
    if (isDone_ || !reads_.empty()) {
        return;
    }
    isDone_ = true;
    for (const HistoryRequest &request : requests_) {
        actions_.emplace_back(assemble(request));
    }
    turnsByObject_.clear();
}

void HistoryReader::tick(Base::Instant now)
{
    calls_.tick(now);
    advance();
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
