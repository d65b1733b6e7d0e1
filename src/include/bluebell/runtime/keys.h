/// \file
/// The fleet's key, with which every process of the system proves that it belongs to it.
#pragma once

#include <bluebell/core/error.h>

#include <string>

namespace bluebell::runtime {

/// A CURVE key pair in Z85, 40 characters each. One fleet has one pair.
struct key_pair {
    std::string public_key;
    std::string secret_key;

    friend bool operator==(const key_pair&, const key_pair&) = default;
};

/// Makes a new pair. Fails with unavailable at step `make key pair` if the library has no CURVE.
[[nodiscard]] core::result<key_pair> generate_key_pair();

/// Returns the pair as a key file's text: `public = Z85` and `secret = Z85`, one a line.
[[nodiscard]] std::string format_key_file(const key_pair& keys);

/// Reads a key file. Fails at step `read key file` with not_found, with invalid_argument when the
/// file is malformed or its halves don't belong together, and with unauthenticated when anybody
/// but its owner may read it.
[[nodiscard]] core::result<key_pair> read_key_file(const std::string& path);

} // namespace bluebell::runtime
