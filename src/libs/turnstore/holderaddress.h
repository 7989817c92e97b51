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

/// Response status of a holder whose disk has no room.
constexpr int diskFullStatus = 507;

/// Paths of the requests between daemons that schema/turnstore.thrift describes.
constexpr const char *keepPath = "/turns/keep";
constexpr const char *chainPath = "/turns/chain";
constexpr const char *offerPath = "/turns/offer";

} // namespace TurnStore
