#pragma once

namespace Base {

/// Builds one visitor for std::visit from several lambdas.
template<typename... Handlers>
struct Visitor : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace Base
