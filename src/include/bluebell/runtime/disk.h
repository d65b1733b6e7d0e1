/// \file
/// A control replica's disk: one thread writes and syncs, the loop never waits for it. Appends
/// that wait together are synced together.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/machine.h>
#include <bluebell/runtime/event_loop.h>

#include <functional>
#include <memory>
#include <string>

namespace bluebell::runtime {

/// Runs disk effects in their order and reports them as events on the loop.
class disk {
public:
    using sink = std::function<void(core::event_body)>;

    /// Opens the data folder and reads what it holds, before anything else runs. Fails with
    /// corrupt, unavailable or io_failure at the store's step.
    [[nodiscard]] static core::result<std::shared_ptr<disk>>
    make(const std::shared_ptr<event_loop>& loop, const std::string& data_folder, sink on_event);

    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;
    /// Waits for the writes in progress.
    ~disk();

    /// Reports what was found at the start.
    void start();

    void run(const core::disk_vote& e);
    void run(const core::disk_append& e);
    /// The machine is the node's as of this effect's step; it is encoded here, on the loop.
    void run(const core::disk_snapshot& e, const core::machine_state& machine);
    /// Reads the folder anew; disk_loaded or disk_failed answers.
    void run(const core::disk_reopen& e);
    void run(const core::read_snapshot_part& e);
    void run(const core::store_snapshot_part& e);

private:
    struct impl;
    explicit disk(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::runtime
