#pragma once

#include <turnhistory/holderranking.h>

#include <asio/ip/tcp.hpp>

namespace TurnStore {

/// Where a daemon that keeps turns is reached.
struct HolderAddress
{
    TurnHistory::Holder holder;
    asio::ip::tcp::endpoint endpoint;

    bool operator==(const HolderAddress &) const = default;
};

/// The largest message with turns between daemons: a batch of copies, or one turn of the largest
/// size that callers may send.
constexpr Base::Bytes maxTurnsMessage(16 * 1024 * 1024);

/// The response to turns that are to be kept is a status, with a few words at most.
constexpr Base::Bytes maxKeepResponse(64 * 1024);

/// Response status of a holder whose disk has no room.
constexpr int diskFullStatus = 507;

/// Paths of the requests between daemons that schema/turnstore.thrift describes.
constexpr const char *keepPath = "/turns/keep";
constexpr const char *chainPath = "/turns/chain";
constexpr const char *offerPath = "/turns/offer";

} // namespace TurnStore
