/// \file
/// Joins settings, adapters and the node's runner into one running process.
#pragma once

#include <bluebell/runtime/log_output.h>
#include <bluebell/runtime/node_runner.h>
#include <bluebell/settings/settings.h>

#include <memory>
#include <string>

namespace bluebell {

/// One process of the fleet from start to its drained end.
class process : public std::enable_shared_from_this<process> {
public:
    /// Opens every adapter. Fails with the error of the first that can't be opened.
    [[nodiscard]] static core::result<std::shared_ptr<process>>
    make(const std::string& settings_file, const settings::node_settings& s);

    /// Runs until SIGTERM or SIGINT has drained the node.
    void run();

private:
    process(std::string file, settings::node_settings s)
        : file_(std::move(file)), settings_(std::move(s))
    {
    }
    [[nodiscard]] core::result<void> open();
    [[nodiscard]] core::result<void> open_peers();
    [[nodiscard]] core::result<void> open_callers();
    [[nodiscard]] core::result<void> open_engine();
    [[nodiscard]] core::result<void> open_disk();
    [[nodiscard]] core::result<void> open_site();
    [[nodiscard]] core::result<void> open_admin();
    void dispatch(core::event_body body) { node_->dispatch(std::move(body)); }
    void reload();

    std::string file_;
    settings::node_settings settings_;
    std::shared_ptr<runtime::event_loop> loop_;
    std::unique_ptr<runtime::log_output> log_; ///< null if lines go to a folder
    std::shared_ptr<runtime::node_runner> node_;
    runtime::pass_codec pass_codec_; ///< outlives the ports that read by it
    runtime::node_adapters ports_;
};

} // namespace bluebell
