// One process of the fleet, put together from its settings.
#pragma once

#include <bluebell/settings/settings.h>

namespace bluebell {

/// Opens the role's ports and runs until the process has drained. Fails with the error of the
/// step that couldn't be started.
[[nodiscard]] core::result<void> run_process(const settings::node_settings& s);

} // namespace bluebell
