/// \file
/// Makes the key that every process of a fleet shares.
#pragma once

#include <bluebell/core/error.h>

#include <string>

namespace bluebell::ctl {

/// Writes a new key to a file that only its owner can read. Fails with conflict at step
/// `write key file` if the file exists, and with io_failure if it can't be written.
[[nodiscard]] core::result<void> write_key_file(const std::string& file);

} // namespace bluebell::ctl
