/// \file
/// The key pair of a fleet, by which each process proves that it belongs to the fleet.
#pragma once

#include <bluebell/core/error.h>

#include <string>

namespace bluebell::runtime {

/// A CURVE key pair. Both keys are Z85 text of 40 characters. All processes of a fleet share one
/// pair.
struct key_pair {
    std::string public_key;
    std::string secret_key;

    friend bool operator==(const key_pair&, const key_pair&) = default;
};

/// Generates a new pair. Fails with unavailable at step `make key pair` if the ZeroMQ library does
/// not support CURVE.
[[nodiscard]] core::result<key_pair> generate_key_pair();

/// Returns the text of a key file: a line `public = Z85` and a line `secret = Z85`.
[[nodiscard]] std::string format_key_file(const key_pair& keys);

/// Reads a key file. Fails at step `read key file`: with not_found if the file does not exist, with
/// invalid_argument if it is malformed or its two keys are not a pair, and with unauthenticated if
/// its mode gives group or others any permission.
[[nodiscard]] core::result<key_pair> read_key_file(const std::string& path);

} // namespace bluebell::runtime
