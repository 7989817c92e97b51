#include <ownership/assignment.h>
#include <ownership/daemonlease.h>

#include <base/random.h>

#include <criterion/criterion.h>

using namespace Ownership;

namespace {

constexpr std::size_t largestPartitionCount = 4096;
constexpr std::size_t largestFleet = 340;
constexpr std::size_t largestObjectBytes = 1024 * 1024;

Base::IncarnationId incarnation(std::size_t number)
{
    return Base::IncarnationId("entry-vm-" + std::to_string(number) + ".0123456789abcdef");
}

/// Assignment of the largest fleet, with this many predecessors of every partition.
Assignment largestAssignment(std::size_t predecessors)
{
    Base::Random random(11);
    Assignment assignment;
    for (std::size_t i = 0; i < largestPartitionCount; ++i) {
        PartitionEntry entry{incarnation(random.below(largestFleet)), Base::Epoch(100000 + i), {}};
        for (std::size_t j = 0; j < predecessors; ++j) {
            const Base::Epoch epoch(90000 + i);
            Predecessor predecessor{incarnation(random.below(largestFleet)), epoch, std::nullopt};
            if (j % 2 == 1) {
                predecessor.releasedAt = Base::SegmentNumber(10'000'000 + i);
            }
            entry.predecessors.push_back(predecessor);
        }
        assignment.entries.push_back(entry);
    }
    return assignment;
}

} // namespace

Test(assignment, decodingRestoresTheEncodedAssignment)
{
    const Assignment assignment = largestAssignment(3);
    const auto decoded = decodeAssignment(encode(assignment));
    cr_assert(decoded.has_value());
    cr_assert(decoded.value() == assignment);
}

Test(assignment, encodedSizeIsBelowTheObjectLimit)
{
    cr_assert_lt(encode(largestAssignment(0)).size(), largestObjectBytes / 8);
    cr_assert_lt(encode(largestAssignment(4)).size(), largestObjectBytes / 2);
}

Test(assignment, malformedBodiesAreErrors)
{
    for (const char *body : {"",
                             "[]",
                             R"({"daemons": ["a"]})",
                             R"({"daemons": [1], "partitions": []})",
                             R"({"daemons": ["a"], "partitions": [[1, 1]]})",
                             R"({"daemons": ["a"], "partitions": [[0]]})",
                             R"({"daemons": ["a"], "partitions": [[0, -1]]})",
                             R"({"daemons": ["a"], "partitions": [[0, 1, [0]]]})"}) {
        const auto decoded = decodeAssignment(body);
        cr_assert(decoded.has_error(), "%s", body);
        cr_assert_eq(decoded.error().code, Base::ErrorCode::Malformed);
        cr_assert_eq(decoded.error().peer, "platform");
    }
}

Test(daemonlease, decodingRestoresTheEncodedLease)
{
    DaemonLease lease;
    lease.incarnation = incarnation(1);
    lease.vm = Base::VmId("entry-vm-1");
    lease.zone = Base::ZoneId("a");
    lease.address = {"10.0.0.1", 7400};
    lease.witnesses = {incarnation(2), incarnation(3)};
    lease.length = std::chrono::seconds(2);
    lease.configVersion = Base::ConfigVersion(12);
    lease.renewals = 99;
    lease.isLeaving = true;
    lease.fencedBy = incarnation(4);
    cr_assert(decodeLease(encode(lease)).value() == lease);
    cr_assert(decodeLease("{}").has_error());
}
