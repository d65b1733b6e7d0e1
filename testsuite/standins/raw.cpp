// Stand-in for a backend server whose answers are bytes of the test's choice: a request for
// .../NAME gets the bytes of the file NAME in a folder, and one for /v1/load a sound report. The
// connection stays open behind them, unless NAME ends with `-close`, `-reset`, or `-end` for an
// ordinary end that a reset follows. A request whose answer ends with a reset is read no further
// than its first bytes.

#include <bluebell/runtime/byte_stream.h>

#include <cxxopts.hpp>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace bluebell;
using runtime::byte_stream;

namespace {

/// Between the bytes or the end of an answer and the reset of its connection, so that both are read
/// apart.
constexpr core::microseconds reset_delay{20'000};

struct server {
    std::shared_ptr<runtime::event_loop> loop;
    std::string folder;
};

std::string read_answer(const server& s, const std::string& name)
{
    if (name == "load")
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 22\r\n\r\n"
               R"({"life":1,"running":0})";
    std::ifstream in(s.folder + "/" + name, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// One connection, which its stream's callbacks keep alive.
class connection : public std::enable_shared_from_this<connection> {
public:
    static void accept(const server& s, int descriptor)
    {
        std::shared_ptr<connection> c(new connection(s, descriptor));
        byte_stream::callbacks handlers;
        handlers.data = [c](std::string_view data) { return c->on_data(data); };
        handlers.closed = [](const core::error*) {};
        handlers.written = [c] { c->on_written(); };
        c->stream_->start(std::move(handlers));
    }

private:
    connection(const server& s, int descriptor)
        : server_(s), descriptor_(descriptor), stream_(byte_stream::adopt(s.loop, descriptor))
    {
    }
    [[nodiscard]] bool ends_with_reset() const
    {
        return name_.ends_with("-reset") || name_.ends_with("-end");
    }
    std::size_t on_data(std::string_view data)
    {
        const auto line = data.substr(0, data.find("\r\n"));
        const auto end = line.rfind(" HTTP/1.1");
        const auto slash = line.rfind('/', end);
        if (end == std::string_view::npos || slash == std::string_view::npos)
            return data.size(); // a later part of a request
        name_ = line.substr(slash + 1, end - slash - 1);
        stream_->pause_reading(ends_with_reset());
        stream_->write(read_answer(server_, name_));
        return data.size();
    }
    void on_written()
    {
        if (name_.ends_with("-close"))
            stream_->close_after_flush();
        if (!ends_with_reset())
            return;
        if (name_.ends_with("-end"))
            ::shutdown(descriptor_, SHUT_WR);
        timer_ = runtime::watcher::timer(*server_.loop, [this] {
            stream_->reset();
            // The stream's callbacks own this object, and the timer is the caller.
            server_.loop->defer([self = shared_from_this()] {});
        });
        timer_->arm(reset_delay);
    }

    const server& server_;
    int descriptor_; ///< of the stream, which owns it
    std::shared_ptr<byte_stream> stream_;
    std::string name_; ///< of the latest answer
    std::unique_ptr<runtime::watcher> timer_;
};

void on_accept(evconnlistener*, int descriptor, sockaddr*, int, void* self)
{
    connection::accept(*static_cast<server*>(self), descriptor);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_raw", "A backend server that answers with files' bytes.");
    options.add_options()("port", "Listen on this port", cxxopts::value<std::uint16_t>())(
        "folder", "Folder of the answers", cxxopts::value<std::string>())(
        "seconds", "Stop by itself after this time", cxxopts::value<int>()->default_value("60"));
    const auto args = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN); // clients close connections while bytes are on their way
    server s{*runtime::event_loop::make(), args["folder"].as<std::string>()};
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(args["port"].as<std::uint16_t>());
    evconnlistener* listener = evconnlistener_new_bind(
        s.loop->base(), &on_accept, &s, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
        reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (listener == nullptr) {
        std::cerr << "standin_raw: can't listen\n";
        return 1;
    }
    const auto stop_timer = runtime::watcher::timer(*s.loop, [&] { s.loop->stop(); });
    stop_timer->arm(core::seconds(args["seconds"].as<int>()));
    s.loop->run();
    evconnlistener_free(listener);
    return 0;
}
