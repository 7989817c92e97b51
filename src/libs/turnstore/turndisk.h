#pragma once

#include <telemetry/log.h>
#include <telemetry/metrics.h>
#include <turnhistory/turnindex.h>

#include <asio/io_context.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

/// Keeps completed turns on the disks of some daemons, for all others.
namespace TurnStore {

struct TurnDiskSettings
{
    std::string folder;
    /// Bytes that the segments may take together.
    std::uint64_t capacityBytes = 0;
    std::uint64_t segmentBytes = 8 * 1024 * 1024;
};

/// How a write ended.
enum class WriteResult {
    Durable,
    /// The disk has no room left, according to the settings or to the file system.
    Full,
    Failed
};

/// Segment files in one folder. A thread writes and syncs them, many turns with each sync; all
/// other functions are for the thread of the event loop.
class TurnDisk
{
public:
    using Done = std::function<void(WriteResult, const std::vector<TurnHistory::TurnPosition> &)>;

    /// Throws std::system_error if the folder cannot be used.
    TurnDisk(asio::io_context &context,
             TurnDiskSettings settings,
             Telemetry::Log &log,
             Telemetry::Metrics &metrics);
    ~TurnDisk();

    TurnDisk(const TurnDisk &) = delete;
    TurnDisk &operator=(const TurnDisk &) = delete;

    /// Adds the turns of all segments to the index. Damaged records are logged and left out. If a
    /// segment cannot be read, the contents get a new id and are not synchronized, as if the disk
    /// had been emptied: other holders then copy what is missing.
    void load(TurnHistory::TurnIndex &index);

    /// The id of the contents; created with the folder.
    const TurnHistory::DiskId &id() const { return id_; }
    /// Whether the folder was marked as holding all that it has to.
    bool isSynchronized() const { return isSynchronized_; }
    void markSynchronized();

    /// Writes the turns and syncs; then calls back on the event loop with their positions.
    void append(const std::vector<TurnHistory::Turn> &turns, Done done);
    /// Returns nothing if the record cannot be read; the reason is logged.
    std::optional<TurnHistory::Turn> read(const TurnHistory::TurnPosition &position);
    /// Removes the segments in which the retention of every turn has ended from index and disk.
    void removeExpired(TurnHistory::TurnIndex &index, TurnHistory::UnixTime now);

    std::uint64_t usedBytes() const { return usedBytes_; }

private:
    struct Write
    {
        std::string bytes;
        std::vector<std::uint32_t> sizes;
        Done done;
    };

    std::string pathOf(std::uint64_t segment) const;
    void loadIdentity();
    bool writeIdentity();
    void replaceIdentity();
    /// Returns whether the segment could be read.
    bool loadSegment(std::uint64_t segment, TurnHistory::TurnIndex &index);
    bool removeFile(std::uint64_t segment, std::uint64_t size);
    void writeLoop();
    WriteResult writeBatch(const std::vector<Write> &batch,
                           std::vector<std::vector<TurnHistory::TurnPosition>> &positions);
    bool openSegment();
    void closeSegment();
    int readerOf(std::uint64_t segment);

    asio::io_context &context_;
    TurnDiskSettings settings_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    TurnHistory::DiskId id_;
    bool isSynchronized_ = false;
    /// Open files for reading, by segment.
    std::map<std::uint64_t, int> readers_;
    std::map<std::uint64_t, std::uint64_t> segmentSizes_;
    std::uint64_t usedBytes_ = 0;

    /// Protects the members up to isStopping_.
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<Write> queue_;
    bool isStopping_ = false;

    /// Used by the writing thread only.
    int file_ = -1;
    std::uint64_t segment_ = 0;
    std::uint64_t segmentSize_ = 0;
    std::thread writer_;
};

} // namespace TurnStore
