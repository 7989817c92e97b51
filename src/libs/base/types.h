#pragma once

#include "strongtype.h"

/// Identifiers and units shared by all libraries.
namespace Base {

using ProgramId = StrongText<struct ProgramIdTag>;
using TeamId = StrongText<struct TeamIdTag>;
using KeyId = StrongText<struct KeyIdTag>;
using ServiceId = StrongText<struct ServiceIdTag>;
using ModelId = StrongText<struct ModelIdTag>;
using ZoneId = StrongText<struct ZoneIdTag>;
using VmId = StrongText<struct VmIdTag>;

/// One backend server: a model engine or a plain service's server.
using ServerId = StrongText<struct ServerIdTag>;

/// Version of a backend server's software; not ordered. Versions of weights and of the
/// configuration are other things.
using SoftwareVersion = StrongText<struct SoftwareVersionTag>;

/// One process run of a daemon: "<vm>.<start counter or random part>". A restart creates a new one.
using IncarnationId = StrongText<struct IncarnationIdTag>;

/// Identifies one attempt to write an object, so that a lost response is resolved by reading.
using WriteId = StrongText<struct WriteIdTag>;

/// Position of a call in its program; the first call has number 1.
using CallNumber = StrongNumber<struct CallNumberTag, std::uint32_t>;
using PartitionId = StrongNumber<struct PartitionIdTag, std::uint16_t>;

/// Fencing token of a partition's owner; increases with every change of owner.
using Epoch = StrongNumber<struct EpochTag, std::uint64_t>;
using SegmentNumber = StrongNumber<struct SegmentNumberTag, std::uint64_t>;
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::uint64_t>;

/// Identifies one request within a daemon incarnation.
using RequestId = StrongNumber<struct RequestIdTag, std::uint64_t>;
using GrantId = StrongNumber<struct GrantIdTag, std::uint64_t>;

/// Model tokens, of prompts or of generated text.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;
using Bytes = StrongNumber<struct BytesTag, std::int64_t>;

/// Requests per second.
using RequestRate = StrongNumber<struct RequestRateTag, double>;

/// 64-bit hash of a request body; distinguishes a repeated request from a conflicting one.
using BodyHash = StrongNumber<struct BodyHashTag, std::uint64_t>;

} // namespace Base
