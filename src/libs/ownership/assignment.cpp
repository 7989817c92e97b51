#include "assignment.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace Ownership {

namespace {

using nlohmann::json;

constexpr char daemonsName[] = "daemons";
constexpr char partitionsName[] = "partitions";

/// Numbers the incarnations of an assignment in order of first use.
class IncarnationTable
{
public:
    std::size_t indexOf(const Base::IncarnationId &incarnation)
    {
        const auto [found, isNew] = indices_.emplace(incarnation, incarnations_.size());
        if (isNew) {
            incarnations_.push_back(incarnation.text());
        }
        return found->second;
    }

    const std::vector<std::string> &incarnations() const { return incarnations_; }

private:
    std::unordered_map<Base::IncarnationId, std::size_t> indices_;
    std::vector<std::string> incarnations_;
};

json encodePredecessor(const Predecessor &predecessor, IncarnationTable &table)
{
    json encoded = json::array({table.indexOf(predecessor.incarnation), predecessor.epoch.value()});
    if (predecessor.releasedAt) {
        encoded.push_back(predecessor.releasedAt->value());
    }
    return encoded;
}

json encodeEntry(const PartitionEntry &entry, IncarnationTable &table)
{
    json encoded = json::array({table.indexOf(entry.owner), entry.epoch.value()});
    for (const Predecessor &predecessor : entry.predecessors) {
        encoded.push_back(encodePredecessor(predecessor, table));
    }
    return encoded;
}

Base::Error malformed(const std::string &reason)
{
    return Base::Error{.code = Base::ErrorCode::Malformed,
                       .step = Base::Step::Recover,
                       .peer = "platform",
                       .message = "assignment cannot be decoded: " + reason};
}

bool isIndex(const json &value, std::size_t size)
{
    return value.is_number_unsigned() && value.get<std::size_t>() < size;
}

using Incarnations = std::vector<Base::IncarnationId>;

Base::Result<Incarnations> decodeIncarnations(const json &encoded)
{
    Incarnations incarnations;
    if (!encoded.is_array()) {
        return malformed("'daemons' is not an array");
    }
    for (const json &name : encoded) {
        if (!name.is_string()) {
            return malformed("an entry of 'daemons' is not a string");
        }
        incarnations.emplace_back(name.get<std::string>());
    }
    return incarnations;
}

Base::Result<Predecessor> decodePredecessor(const json &encoded, const Incarnations &incarnations)
{
    const bool isWellFormed = encoded.is_array() && (encoded.size() == 2 || encoded.size() == 3)
                              && isIndex(encoded[0], incarnations.size())
                              && encoded[1].is_number_unsigned()
                              && encoded.back().is_number_unsigned();
    if (!isWellFormed) {
        return malformed("a predecessor is not [daemon, epoch] or [daemon, epoch, segment]");
    }
    Predecessor predecessor;
    predecessor.incarnation = incarnations[encoded[0].get<std::size_t>()];
    predecessor.epoch = Base::Epoch(encoded[1].get<std::uint64_t>());
    if (encoded.size() == 3) {
        predecessor.releasedAt = Base::SegmentNumber(encoded[2].get<std::uint64_t>());
    }
    return predecessor;
}

Base::Result<PartitionEntry> decodeEntry(const json &encoded, const Incarnations &incarnations)
{
    const bool isWellFormed = encoded.is_array() && encoded.size() >= 2
                              && isIndex(encoded[0], incarnations.size())
                              && encoded[1].is_number_unsigned();
    if (!isWellFormed) {
        return malformed("a partition is not [daemon, epoch, predecessors...]");
    }
    PartitionEntry entry;
    entry.owner = incarnations[encoded[0].get<std::size_t>()];
    entry.epoch = Base::Epoch(encoded[1].get<std::uint64_t>());
    for (std::size_t i = 2; i < encoded.size(); ++i) {
        BOOST_OUTCOME_TRY(predecessor, decodePredecessor(encoded[i], incarnations));
        entry.predecessors.push_back(std::move(predecessor));
    }
    return entry;
}

} // namespace

std::string encode(const Assignment &assignment)
{
    IncarnationTable table;
    json partitions = json::array();
    for (const PartitionEntry &entry : assignment.entries) {
        partitions.push_back(encodeEntry(entry, table));
    }
    json document;
    document[daemonsName] = table.incarnations();
    document[partitionsName] = std::move(partitions);
    return document.dump();
}

Base::Result<Assignment> decodeAssignment(std::string_view body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains(daemonsName)
        || !document.contains(partitionsName) || !document[partitionsName].is_array()) {
        return malformed("not an object with 'daemons' and an array 'partitions'");
    }
    BOOST_OUTCOME_TRY(incarnations, decodeIncarnations(document[daemonsName]));
    Assignment assignment;
    assignment.entries.reserve(document[partitionsName].size());
    for (const json &encoded : document[partitionsName]) {
        BOOST_OUTCOME_TRY(entry, decodeEntry(encoded, incarnations));
        assignment.entries.push_back(std::move(entry));
    }
    return assignment;
}

} // namespace Ownership
