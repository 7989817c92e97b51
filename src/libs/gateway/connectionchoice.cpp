#include "connectionchoice.h"

#include <tuple>

namespace Gateway {

std::optional<std::size_t> connectionToClose(std::span<const ConnectionState> connections)
{
    const auto rank = [](const ConnectionState &connection) {
        return std::tuple(connection.hasUnsentBytes, connection.waitingSince);
    };
    std::optional<std::size_t> choice;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const bool isBetter = !choice || rank(connections[i]) < rank(connections[*choice]);
        if (!connections[i].isBusy && isBetter) {
            choice = i;
        }
    }
    return choice;
}

} // namespace Gateway
