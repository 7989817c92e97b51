#pragma once

#include "passthroughfixture.h"

#include <libs/loopback.h>
#include <proxy/requestrelay.h>

/// A proxy that does not reach its servers, and another daemon that does.
class RelayFixture : public Fixture
{
public:
    explicit RelayFixture(const std::string &unreachableAddress,
                          const FixtureAddresses &addresses = {},
                          PassThroughSettings settings = {},
                          RelaySettings relaySettings = {})
        : Fixture(std::move(settings), addresses)
        , relay_(
              context(),
              listeningOn(addresses.relay, std::move(relaySettings)),
              [this](const auto &instance) { return reachable(instance); },
              [this] { return isRelayCutOff; },
              silentLog(),
              relayMetrics_)
    {
        configure();
        relay_.start();
        passThrough().setRelays({{Base::VmId("vm-2"), relay_.address(), {}}});
        auto one = listed("one", first);
        auto two = listed("two", second);
        one.server.address = unreachableAddress;
        two.server.address = unreachableAddress;
        two.server.zone = Base::ZoneId("elsewhere");
        passThrough().serversChanged({one, two});
    }

    RequestRelay &relay() { return relay_; }

    /// Asks the relay for a connection to the first server from the given address; returns what
    /// comes until the relay has responded or closed the connection.
    std::string requestFrom(const asio::ip::address &source)
    {
        asio::ip::tcp::socket socket(context());
        socket.open(asio::ip::tcp::v4());
        socket.bind({source, 0});
        socket.connect(relay_.address());
        std::error_code ignored; // the relay may have closed the connection
        asio::write(socket, asio::buffer(relayRequest({Base::ServerId("one"), 0})), ignored);
        std::array<char, 256> buffer{};
        std::string response;
        bool isDone = false;
        socket.async_read_some(asio::buffer(buffer),
                               [&](const std::error_code &, std::size_t size) {
                                   response.assign(buffer.data(), size);
                                   isDone = true;
                               });
        runUntil([&] { return isDone; }, "the relay responds or closes the connection");
        return response;
    }

    bool isRelayCutOff = false;

private:
    static RelaySettings listeningOn(const asio::ip::tcp::endpoint &address, RelaySettings settings)
    {
        settings.address = address;
        return settings;
    }

    std::optional<asio::ip::tcp::endpoint> reachable(const Dispatch::ServerInstance &instance)
    {
        return parseEndpoint(instance.id == Base::ServerId("one") ? first.address()
                                                                  : second.address());
    }

    Telemetry::Metrics relayMetrics_;
    RequestRelay relay_;
};

inline std::string refusingAddress()
{
    const auto endpoint = freeEndpoint<asio::ip::tcp>();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}
