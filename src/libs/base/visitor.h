#pragma once

namespace Base {

/// Combines several lambdas to one visitor for std::visit.
template<typename... Handlers>
struct Visitor : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace Base
