#pragma once

#include <asio/ip/address_v4.hpp>

#include <unistd.h>

#include <atomic>
#include <cstdint>

/// An address on which no other process listens: a loopback address of this process alone, and a
/// port below those that the system assigns. Criterion runs each test in a process of its own.
template<typename Protocol>
typename Protocol::endpoint freeEndpoint()
{
    constexpr std::uint16_t firstPort = 20'000;
    constexpr std::uint32_t firstAddress = 0x7f400000; // 127.64.0.0; process ids have 22 bits
    static std::atomic<std::uint16_t> count = 0;
    const auto address = firstAddress | static_cast<std::uint32_t>(::getpid());
    return {asio::ip::address_v4(address), static_cast<std::uint16_t>(firstPort + count++)};
}

/// An endpoint like that of freeEndpoint(), at another address that also is of this process alone.
template<typename Protocol>
typename Protocol::endpoint endpointElsewhere()
{
    constexpr std::uint32_t addressDistance = 0x00400000;
    const auto here = freeEndpoint<Protocol>();
    return {asio::ip::address_v4(here.address().to_v4().to_uint() + addressDistance), here.port()};
}
