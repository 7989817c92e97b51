#include "storemultiplexer.h"

namespace Scheduler {

Platform::StoreRequest StoreMultiplexer::wrap(StoreClient client,
                                              std::uint64_t instance,
                                              Platform::StoreRequest request)
{
    const Platform::StoreRequestId id(++lastId_);
    routes_.emplace(id, Route{client, instance, request.id});
    request.id = id;
    return request;
}

std::optional<RoutedReply> StoreMultiplexer::unwrap(Platform::StoreReply reply)
{
    const auto entry = routes_.find(reply.id);
    if (entry == routes_.end()) {
        return std::nullopt;
    }
    const Route route = entry->second;
    routes_.erase(entry);
    reply.id = route.id;
    return RoutedReply{route.client, route.instance, std::move(reply)};
}

} // namespace Scheduler
