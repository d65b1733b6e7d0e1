/// \file
/// Owner of a process's client budget. It serves all HTTP servers of the process: sessions report
/// what they hold, and are told when a body may be read and when they are to give way.
#pragma once

#include <bluebell/core/client_budget.h>
#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace bluebell::runtime {

/// What the budget tells one connection.
struct connection_callbacks {
    std::function<void()> body_granted; ///< the rest of the claimed body may be read
    std::function<void()> shed;         ///< refuse the request or cut the answer now
};

/// Holds the budget and carries out its decisions. Not copied: its sessions share it.
class client_buffers : public std::enable_shared_from_this<client_buffers> {
public:
    using metric_sink = std::function<void(const core::record_metric&)>;

    [[nodiscard]] static std::shared_ptr<client_buffers> make(std::shared_ptr<event_loop> loop,
                                                              core::client_budget_limits limits);

    client_buffers(const client_buffers&) = delete;
    client_buffers& operator=(const client_buffers&) = delete;

    /// Sets where samples go.
    void set_metric_sink(metric_sink sink) { on_metric_ = std::move(sink); }

    /// Adds a connection and returns its number.
    [[nodiscard]] core::connection_number add(connection_callbacks callbacks);
    void remove(core::connection_number n);
    void report(core::connection_number n, const core::connection_holding& h);
    /// Claims room for a body; body_granted follows, before this call returns or later.
    void claim_body(core::connection_number n, std::size_t bytes);
    /// Lowers or withdraws the claim.
    void lower_claim(core::connection_number n, std::size_t bytes);
    /// Counts one event of a metric.
    void count(const char* metric) const;

    [[nodiscard]] std::size_t max_unsent_answer() const { return core::max_unsent_answer(budget_); }
    [[nodiscard]] const core::client_budget& budget() const { return budget_; }

private:
    client_buffers(std::shared_ptr<event_loop> loop, core::client_budget_limits limits);
    /// Grants claims and sheds connections after the running callbacks have returned.
    void schedule_decisions();
    void decide();
    void on_timer();

    std::shared_ptr<event_loop> loop_;
    core::client_budget budget_;
    std::unordered_map<core::connection_number, connection_callbacks> connections_;
    core::connection_number last_number_ = 0;
    metric_sink on_metric_;
    bool decisions_scheduled_ = false;
    int windows_since_sample_ = 0;
    std::unique_ptr<watcher> window_timer_;
};

} // namespace bluebell::runtime
