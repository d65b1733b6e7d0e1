// Parses the bearer tokens of operators and authenticates requests by them.

#include <bluebell/admin/operator_api.h>

#include <sstream>

namespace bluebell::admin {

using namespace core;

namespace {

/// Compares two texts without stopping at the first difference, so that the time taken doesn't
/// reveal how much of a token is right.
bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^
                      static_cast<unsigned char>(b.empty() ? 0 : b[i % b.size()]);
    return difference == 0;
}

} // namespace

result<operator_tokens> operator_tokens::make(std::string_view text)
{
    constexpr std::string_view step = "read operator tokens";
    operator_tokens tokens;
    std::istringstream in{std::string(text)};
    int line_number = 0;
    for (std::string line; std::getline(in, line);) {
        line_number += 1;
        std::istringstream words_in_line(line.substr(0, line.find('#')));
        std::string name;
        std::string token;
        if (!(words_in_line >> name))
            continue;
        const auto id = operator_id::make(name);
        if (!id || !(words_in_line >> token) || token.size() < min_token_length)
            return fail(error_code::invalid_argument, step, "",
                        "line " + std::to_string(line_number) +
                            ": must be NAME TOKEN, the token of " +
                            std::to_string(min_token_length) + " characters or more");
        tokens.tokens_.emplace_back(*id, token);
    }
    return tokens;
}

result<operator_id> operator_tokens::authenticate(std::string_view authorization) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view token =
        authorization.starts_with(scheme) ? authorization.substr(scheme.size()) : "";
    const operator_id* operator_found = nullptr;
    for (const auto& [id, operator_token] : tokens_) {
        if (equal_in_constant_time(token, operator_token))
            operator_found = &id;
    }
    if (operator_found == nullptr)
        return fail(error_code::unauthenticated, "authenticate operator", "",
                    "an operator's bearer token is required");
    return *operator_found;
}

} // namespace bluebell::admin
