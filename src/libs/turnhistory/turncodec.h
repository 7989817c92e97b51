#pragma once

#include "turn.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace TurnHistory {

enum class ChainOutcome {
    Found,
    /// The responder has no such turn.
    Absent,
    /// The responder has the turn but cannot read it, or its response cannot be decoded.
    Unreadable
};

struct ChainResponse
{
    ChainOutcome outcome = ChainOutcome::Unreadable;
    /// Whether the responder has copied all turns that it has to keep since its disk was last
    /// empty.
    bool isSynchronized = false;
    /// Newest first, up to the first turn that the responder lacks.
    std::vector<Turn> turns;
};

/// Names turns of the sender that the receiver has to keep too.
struct OfferRequest
{
    Base::VmId sender;
    /// The receiver's disk to which the sender's progress refers; empty if unknown.
    DiskId receiverDisk;
    std::vector<TurnId> turns;
    /// Every reachable holder has confirmed what it has to keep of the turns that the sender had
    /// when the reachable holders or their disks last changed.
    bool isComplete = false;
};

struct OfferResponse
{
    DiskId disk;
    bool isLeaving = false;
    /// Every reachable holder has what it has to keep of the responder's turns.
    bool isReplicated = false;
    /// The same for the turns from before the reachable holders or their disks last changed.
    bool isSettled = false;
    /// As in ChainResponse.
    bool isSynchronized = false;
    /// Holders that the responder has not reached for a long time.
    std::set<Base::VmId> lostHolders;
    /// The responder copies turns to the sender, rather than to others in its place.
    bool isSenderInRing = false;
    /// The offered turns that the responder does not have.
    std::vector<TurnId> missing;
};

std::string encodeTurn(const Turn &turn);
std::optional<Turn> decodeTurn(std::string_view bytes);

std::string encodeKeepRequest(const std::vector<Turn> &turns);
std::optional<std::vector<Turn>> decodeKeepRequest(std::string_view bytes);

std::string encodeChainRequest(const TurnId &turn);
std::optional<TurnId> decodeChainRequest(std::string_view bytes);

std::string encodeChainResponse(const ChainResponse &response);
/// The outcome is Unreadable if the bytes cannot be decoded.
ChainResponse decodeChainResponse(std::string_view bytes);

std::string encodeOfferRequest(const OfferRequest &request);
std::optional<OfferRequest> decodeOfferRequest(std::string_view bytes);

std::string encodeOfferResponse(const OfferResponse &response);
std::optional<OfferResponse> decodeOfferResponse(std::string_view bytes);

} // namespace TurnHistory
