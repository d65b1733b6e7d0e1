/// \file
/// Creates the key that all processes of a fleet share to encrypt their messages.
#pragma once

#include <bluebell/core/error.h>

#include <string>

namespace bluebell::ctl {

/// Generates a key and writes it to a new file that only its owner can read. Fails with conflict at
/// step `write key file` if the file exists, and with io_failure if it can't be written.
[[nodiscard]] core::result<void> write_key_file(const std::string& file);

} // namespace bluebell::ctl
