/// \file
/// The visitor helper for std::variant.
#pragma once

#include <utility>
#include <variant>

namespace bluebell::core {

/// A visitor composed of lambdas, one per alternative.
template <class... Lambdas>
struct overloaded : Lambdas... {
    using Lambdas::operator()...;
};
template <class... Lambdas>
overloaded(Lambdas...) -> overloaded<Lambdas...>;

/// Visits a variant with one lambda per alternative.
template <class Variant, class... Lambdas>
decltype(auto) match(Variant&& value, Lambdas&&... lambdas)
{
    return std::visit(overloaded{std::forward<Lambdas>(lambdas)...}, std::forward<Variant>(value));
}

} // namespace bluebell::core
