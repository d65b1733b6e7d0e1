/// \file
/// All messages between the system's processes. bluebell::wire encodes them.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/fleet_message.h>
#include <bluebell/core/replication_message.h>
#include <bluebell/core/work_message.h>

#include <variant>

namespace bluebell::core {

using message = std::variant<work_message, control_message, replication_message, fleet_message>;

} // namespace bluebell::core
