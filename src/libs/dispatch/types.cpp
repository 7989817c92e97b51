#include "types.h"

namespace Dispatch {

std::string_view toString(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::CacheAffinity:
        return "cache_affinity";
    case ChoiceReason::AffinityTooBusy:
        return "affinity_too_busy";
    case ChoiceReason::LessLoaded:
        return "less_loaded";
    case ChoiceReason::FirstFree:
        return "first_free";
    case ChoiceReason::Retry:
        return "retry";
    }
    return "unknown";
}

std::string_view toString(ServerHealth health)
{
    switch (health) {
    case ServerHealth::Healthy:
        return "healthy";
    case ServerHealth::Ejected:
        return "ejected";
    case ServerHealth::Probing:
        return "probing";
    case ServerHealth::Leaving:
        return "leaving";
    case ServerHealth::Gone:
        return "gone";
    }
    return "unknown";
}

} // namespace Dispatch
