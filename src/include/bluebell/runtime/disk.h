/// \file
/// The disk of a control replica. One thread writes and syncs, so the event loop never waits for
/// the disk. Appends that are queued at the same time share one sync.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/machine.h>
#include <bluebell/runtime/event_loop.h>

#include <functional>
#include <memory>
#include <string>

namespace bluebell::runtime {

/// Executes disk effects in order and reports their results as events on the event loop.
class disk {
public:
    using sink = std::function<void(core::event_body)>;

    /// Opens the data folder and reads its contents, blocking; call it before the event loop runs.
    /// Fails with corrupt, unavailable or io_failure at the store's step, and with unavailable at
    /// step `create disk thread`.
    [[nodiscard]] static core::result<std::shared_ptr<disk>>
    make(const std::shared_ptr<event_loop>& loop, const std::string& data_folder, sink on_event);

    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;
    /// Waits for all queued writes.
    ~disk();

    /// Reports the contents that make() read, as disk_loaded.
    void start();

    void run(const core::disk_vote& e);
    void run(const core::disk_append& e);
    void run(const core::disk_commit& e);
    /// Writes a snapshot of the machine state, which must be the state at the step that returned
    /// the effect. It is encoded on the calling thread.
    void run(const core::disk_snapshot& e, const core::machine_state& machine);
    /// Reads the data folder again and reports disk_loaded or disk_failed.
    void run(const core::disk_reopen& e);
    void run(const core::read_snapshot_part& e);
    void run(const core::store_snapshot_part& e);

private:
    struct impl;
    explicit disk(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::runtime
