/// \file
/// The visitor helper for std::variant.
#pragma once

#include <utility>
#include <variant>

namespace bluebell::core {

/// A visitor made of lambdas, one per alternative.
template <class... Lambdas>
struct overloaded : Lambdas... {
    using Lambdas::operator()...;
};
template <class... Lambdas>
overloaded(Lambdas...) -> overloaded<Lambdas...>;

/// Visits a variant with lambdas.
template <class Variant, class... Lambdas>
decltype(auto) match(Variant&& value, Lambdas&&... lambdas)
{
    return std::visit(overloaded{std::forward<Lambdas>(lambdas)...}, std::forward<Variant>(value));
}

} // namespace bluebell::core
