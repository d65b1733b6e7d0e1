/// \file
/// Builds the node's adapters from the settings and runs the node on them.
#pragma once

#include <bluebell/runtime/log_output.h>
#include <bluebell/runtime/node_runner.h>
#include <bluebell/runtime/run_marker.h>
#include <bluebell/settings/settings.h>

#include <memory>
#include <optional>
#include <string>

namespace bluebell {

/// One process of the fleet, from its start to the end of its drain.
class process : public std::enable_shared_from_this<process> {
public:
    /// Opens every adapter that the settings ask for. settings_file is the file that SIGHUP
    /// re-reads. Fails with the error of the first adapter that can't be opened.
    [[nodiscard]] static core::result<std::shared_ptr<process>>
    make(const std::string& settings_file, const settings::node_settings& s);

    /// Runs the event loop until SIGTERM or SIGINT has drained the node; SIGHUP reloads the
    /// settings.
    void run();

private:
    process(std::string file, settings::node_settings s)
        : file_(std::move(file)), settings_(std::move(s))
    {
    }
    [[nodiscard]] core::result<void> open();
    [[nodiscard]] core::result<void> open_buffers();
    [[nodiscard]] core::result<void> open_peers();
    [[nodiscard]] core::result<void> open_callers();
    [[nodiscard]] core::result<void> open_engine();
    [[nodiscard]] core::result<void> open_disk();
    /// Tells how the previous process on this data folder ended.
    void open_run_marker();
    /// Logs and counts how the previous process ended.
    void record_run();
    /// Opens what only the platform's settings ask for: the endpoint of routing tables, the reader
    /// of the worker list, and pass-through. Does nothing without those settings.
    [[nodiscard]] core::result<void> open_platform();
    [[nodiscard]] core::result<void> open_admin();
    void dispatch(core::event_body body) { node_->dispatch(std::move(body)); }
    /// Re-reads the settings file and applies what may change while the process runs.
    void reload();
    /// Reads the seeds from the settings file; nothing if it can't be read.
    [[nodiscard]] std::optional<std::vector<core::node_info>> read_seeds() const;
    /// Re-reads the operators' tokens. A file that is gone holds none; one with an error leaves
    /// those in force.
    void reload_operator_tokens();

    std::string file_;
    settings::node_settings settings_;
    std::shared_ptr<runtime::event_loop> loop_;
    std::unique_ptr<runtime::log_output> log_; ///< null if log lines go to a folder
    std::shared_ptr<runtime::node_runner> node_;
    std::shared_ptr<runtime::client_buffers> buffers_; ///< shared by all HTTP servers
    runtime::pass_codec pass_codec_;                   ///< outlives the adapters that refer to it
    runtime::node_adapters adapters_;
    std::optional<runtime::run_marker> run_marker_; ///< none without a data folder
};

} // namespace bluebell
