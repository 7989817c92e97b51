#include "turndisk.h"

#include <turnhistory/segmentformat.h>

#include <asio/post.hpp>

#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

namespace TurnStore {

namespace {

namespace fs = std::filesystem;
using Telemetry::LogLevel;
using TurnHistory::TurnPosition;

constexpr const char *identityFile = "disk";
constexpr const char *segmentSuffix = ".turns";

std::string randomId()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

bool writeAll(int file, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

/// Returns the number of bytes read before the end of the file, or nothing on an error.
std::optional<std::size_t> readAt(int file, std::uint64_t offset, std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = ::pread(
            file, bytes.data() + done, bytes.size() - done, static_cast<off_t>(offset + done));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return std::nullopt;
        }
        if (count == 0) {
            break;
        }
        done += static_cast<std::size_t>(count);
    }
    return done;
}

/// Makes created, renamed and removed names in the folder durable.
bool syncFolder(const std::string &folder)
{
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0) {
        return false;
    }
    const bool isSynced = ::fsync(file) == 0;
    ::close(file);
    return isSynced;
}

bool writeFileDurably(const std::string &folder, const std::string &name, const std::string &text)
{
    const std::string temporary = folder + "/" + name + ".new";
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) {
        return false;
    }
    const bool isWritten = writeAll(file, text) && ::fsync(file) == 0;
    ::close(file);
    return isWritten && std::rename(temporary.c_str(), (folder + "/" + name).c_str()) == 0
           && syncFolder(folder);
}

std::optional<std::uint64_t> segmentNumber(const fs::path &path)
{
    if (path.extension() != segmentSuffix) {
        return std::nullopt;
    }
    const std::string stem = path.stem().string();
    std::uint64_t number = 0;
    const auto result = std::from_chars(stem.data(), stem.data() + stem.size(), number);
    const bool isWhole = result.ec == std::errc() && result.ptr == stem.data() + stem.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

} // namespace

TurnDisk::TurnDisk(asio::io_context &context,
                   TurnDiskSettings settings,
                   Telemetry::Log &log,
                   Telemetry::Metrics &metrics)
    : context_(context)
    , settings_(std::move(settings))
    , log_(log)
    , metrics_(metrics)
{
    fs::create_directories(settings_.folder);
    loadIdentity();
    for (const fs::directory_entry &entry : fs::directory_iterator(settings_.folder)) {
        if (const auto number = segmentNumber(entry.path())) {
            segmentSizes_[*number] = entry.file_size();
            usedBytes_ += entry.file_size();
            segment_ = std::max(segment_, *number);
        }
    }
    writer_ = std::thread([this] { writeLoop(); });
}

TurnDisk::~TurnDisk()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_one();
    writer_.join();
    closeSegment();
    for (const auto &[segment, file] : readers_) {
        ::close(file);
    }
}

std::string TurnDisk::pathOf(std::uint64_t segment) const
{
    return settings_.folder + "/" + std::to_string(segment) + segmentSuffix;
}

/// The file holds the id of the contents, and the word "synchronized" once they are.
void TurnDisk::loadIdentity()
{
    std::ifstream file(settings_.folder + "/" + identityFile);
    std::string id;
    std::string state;
    file >> id >> state;
    if (!id.empty()) {
        id_ = TurnHistory::DiskId(id);
        isSynchronized_ = state == "synchronized";
        return;
    }
    id_ = TurnHistory::DiskId(randomId());
    if (!writeIdentity()) {
        throw std::system_error(
            errno, std::generic_category(), settings_.folder + ": cannot write its identity");
    }
}

bool TurnDisk::writeIdentity()
{
    const std::string state = isSynchronized_ ? " synchronized\n" : "\n";
    return writeFileDurably(settings_.folder, identityFile, id_.text() + state);
}

void TurnDisk::replaceIdentity()
{
    id_ = TurnHistory::DiskId(randomId());
    isSynchronized_ = false;
    if (!writeIdentity()) {
        log_.write(LogLevel::Warning,
                   std::string("id of the disk cannot be written: ") + std::strerror(errno),
                   {.step = "disk"});
    }
}

void TurnDisk::markSynchronized()
{
    if (isSynchronized_) {
        return;
    }
    isSynchronized_ = true;
    if (!writeIdentity()) {
        log_.write(LogLevel::Warning,
                   std::string("state of the disk cannot be written: ") + std::strerror(errno),
                   {.step = "disk"});
    }
}

void TurnDisk::load(TurnHistory::TurnIndex &index)
{
    std::set<std::uint64_t> unreadable;
    for (const auto &[segment, size] : segmentSizes_) {
        if (!loadSegment(segment, index)) {
            unreadable.insert(segment);
        }
    }
    if (!unreadable.empty()) {
        replaceIdentity();
    }
    // Segments without a valid record have no retention that could end. Those that could not be
    // read may be readable at the next start.
    std::erase_if(segmentSizes_, [&](const auto &entry) {
        return !unreadable.contains(entry.first) && !index.hasSegment(entry.first)
               && removeFile(entry.first, entry.second);
    });
    log_.write(LogLevel::Info,
               "turns loaded",
               {.step = "disk",
                .details = {{"turns", static_cast<std::int64_t>(index.size())},
                            {"bytes", static_cast<std::int64_t>(usedBytes_)},
                            {"disk", id_.text()},
                            {"synchronized", std::int64_t(isSynchronized_)}}});
}

bool TurnDisk::loadSegment(std::uint64_t segment, TurnHistory::TurnIndex &index)
{
    const int file = readerOf(segment);
    std::string bytes(segmentSizes_[segment], '\0');
    const auto size = file < 0 ? std::nullopt : readAt(file, 0, bytes);
    if (!size) {
        log_.write(LogLevel::Error,
                   pathOf(segment) + " cannot be read: " + std::strerror(errno),
                   {.step = "disk"});
        return false;
    }
    bytes.resize(*size);
    TurnHistory::SegmentVisitor visitor;
    visitor.onTurn
        = [&](const TurnHistory::Turn &turn, std::uint64_t offset, std::uint32_t length) {
              index.add(turn, {segment, offset, length});
          };
    visitor.onDamage = [&](std::uint64_t offset, std::uint64_t length) {
        log_.write(LogLevel::Warning,
                   "damaged bytes in a segment are skipped",
                   {.step = "disk",
                    .details = {{"file", pathOf(segment)},
                                {"offset", static_cast<std::int64_t>(offset)},
                                {"bytes", static_cast<std::int64_t>(length)}}});
    };
    TurnHistory::scanSegment(bytes, visitor);
    return true;
}

void TurnDisk::append(const std::vector<TurnHistory::Turn> &turns, Done done)
{
    Write write;
    write.done = std::move(done);
    for (const TurnHistory::Turn &turn : turns) {
        const std::string record = TurnHistory::encodeRecord(turn);
        write.sizes.push_back(static_cast<std::uint32_t>(record.size()));
        write.bytes += record;
    }
    if (usedBytes_ + write.bytes.size() > settings_.capacityBytes) {
        write.done(WriteResult::Full, {});
        return;
    }
    usedBytes_ += write.bytes.size();
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(write));
    }
    wake_.notify_one();
}

void TurnDisk::writeLoop()
{
    while (true) {
        std::vector<Write> batch;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [&] { return isStopping_ || !queue_.empty(); });
            if (queue_.empty()) {
                return;
            }
            batch.swap(queue_);
        }
        std::vector<std::vector<TurnPosition>> positions;
        const auto begin = std::chrono::steady_clock::now();
        const WriteResult result = writeBatch(batch, positions);
        const auto duration = std::chrono::steady_clock::now() - begin;
        asio::post(context_,
                   [this,
                    result,
                    duration,
                    segment = segment_,
                    size = segmentSize_,
                    batch = std::move(batch),
                    positions = std::move(positions)] {
                       segmentSizes_[segment] = size;
                       metrics_
                           .distribution("marjoram_turn_sync_seconds",
                                         "Time to write and sync a batch of turns")
                           .add(std::chrono::duration<double>(duration).count());
                       for (std::size_t i = 0; i < batch.size(); ++i) {
                           if (result != WriteResult::Durable) {
                               usedBytes_ -= batch[i].bytes.size();
                           }
                           batch[i].done(result, positions[i]);
                       }
                   });
    }
}

/// After a failure the next batch goes to a new segment, as this one may end within a record.
WriteResult TurnDisk::writeBatch(const std::vector<Write> &batch,
                                 std::vector<std::vector<TurnPosition>> &positions)
{
    positions.resize(batch.size());
    if (file_ >= 0 && segmentSize_ >= settings_.segmentBytes) {
        closeSegment();
    }
    bool isWritten = file_ >= 0 || openSegment();
    std::string bytes;
    for (std::size_t i = 0; i < batch.size(); ++i) {
        std::uint64_t offset = segmentSize_ + bytes.size();
        for (const std::uint32_t size : batch[i].sizes) {
            positions[i].push_back({segment_, offset, size});
            offset += size;
        }
        bytes += batch[i].bytes;
    }
    isWritten = isWritten && writeAll(file_, bytes) && ::fdatasync(file_) == 0;
    if (isWritten) {
        segmentSize_ += bytes.size();
        return WriteResult::Durable;
    }
    const int problem = errno;
    log_.write(LogLevel::Error,
               pathOf(segment_) + " cannot be written: " + std::strerror(problem),
               {.step = "disk"});
    closeSegment();
    return problem == ENOSPC ? WriteResult::Full : WriteResult::Failed;
}

bool TurnDisk::openSegment()
{
    ++segment_;
    segmentSize_ = 0;
    file_ = ::open(
        pathOf(segment_).c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600);
    return file_ >= 0 && syncFolder(settings_.folder);
}

void TurnDisk::closeSegment()
{
    if (file_ >= 0) {
        ::close(file_);
        file_ = -1;
    }
}

int TurnDisk::readerOf(std::uint64_t segment)
{
    const auto known = readers_.find(segment);
    if (known != readers_.end()) {
        return known->second;
    }
    const int file = ::open(pathOf(segment).c_str(), O_RDONLY | O_CLOEXEC);
    if (file >= 0) {
        readers_.emplace(segment, file);
    }
    return file;
}

std::optional<TurnHistory::Turn> TurnDisk::read(const TurnPosition &position)
{
    std::string bytes(position.bytes, '\0');
    const int file = readerOf(position.segment);
    const auto size = file < 0 ? std::nullopt : readAt(file, position.offset, bytes);
    std::optional<TurnHistory::Turn> turn;
    if (size && *size == bytes.size()) {
        turn = TurnHistory::decodeRecord(bytes);
    }
    if (!turn) {
        log_.write(LogLevel::Error,
                   "record of a turn cannot be read",
                   {.step = "disk",
                    .details = {{"file", pathOf(position.segment)},
                                {"offset", static_cast<std::int64_t>(position.offset)}}});
    }
    return turn;
}

/// Returns whether the file is gone.
bool TurnDisk::removeFile(std::uint64_t segment, std::uint64_t size)
{
    if (const auto reader = readers_.find(segment); reader != readers_.end()) {
        ::close(reader->second);
        readers_.erase(reader);
    }
    std::error_code error;
    fs::remove(pathOf(segment), error);
    if (error) {
        log_.write(LogLevel::Warning,
                   pathOf(segment) + " cannot be removed: " + error.message(),
                   {.step = "disk"});
        return false;
    }
    usedBytes_ -= std::min(usedBytes_, size);
    return true;
}

void TurnDisk::removeExpired(TurnHistory::TurnIndex &index, TurnHistory::UnixTime now)
{
    // The newest segment may still be written to.
    const std::uint64_t newest = segmentSizes_.empty() ? 0 : segmentSizes_.rbegin()->first;
    for (const std::uint64_t segment : index.expiredSegments(now)) {
        if (segment >= newest) {
            continue;
        }
        index.removeSegment(segment, now);
        if (removeFile(segment, segmentSizes_[segment])) {
            segmentSizes_.erase(segment);
        }
    }
}

} // namespace TurnStore
