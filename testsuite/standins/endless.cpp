// Stand-in for the platform with one worker in trouble: it serves the list of workers on PORT, and
// a worker on the next port that sends bytes without end, or answers that end in odd ways, as the
// request's path says.

#include <bluebell/runtime/http_server.h>

#include <cxxopts.hpp>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <csignal>
#include <iostream>
#include <optional>

using namespace bluebell;
using runtime::byte_stream;

namespace {

/// Bytes that wait to be sent on one connection.
constexpr std::size_t max_queued_bytes = std::size_t{128} * 1024;
constexpr core::microseconds drip_interval{500'000};

/// How a connection ends behind the start.
enum class ending : std::uint8_t { none, close, reset };

/// What a connection sends: first the start, then the rest again and again. A dripping connection
/// sends the rest twice a second.
struct behaviour {
    std::string start;
    std::string rest;
    bool drips = false;
    ending end = ending::none;
};

std::string make_head(const std::string& id, const std::string& framing)
{
    return "HTTP/1.1 200 OK\r\nBluebellproxy-Request-Id: " + id +
           "\r\nBluebellproxy-Server-Stamp: stamp\r\n" + framing + "\r\n\r\n";
}

std::string make_unframed_head(const std::string& id, bool streamed)
{
    return make_head(id, streamed ? "Content-Type: text/event-stream" : "Connection: close");
}

/// Answers that end with their connection, unless said otherwise, or are cut.
std::optional<behaviour> choose_ending(const std::string& target, const std::string& id)
{
    const std::string document = make_unframed_head(id, false);
    const std::string events =
        make_unframed_head(id, true) + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const std::string cut_chunk =
        make_head(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked") +
        "8\r\nid: 1\nda\r\n0\r\n\r\n";
    if (target.ends_with("/document"))
        return behaviour{document + "{}", "", false, ending::close};
    if (target.ends_with("/document-reset"))
        return behaviour{document + "{}", "", false, ending::reset};
    if (target.ends_with("/document-empty"))
        return behaviour{document, "", false, ending::close};
    if (target.ends_with("/head-cut"))
        return behaviour{document.substr(0, document.size() - 3), "", false, ending::close};
    if (target.ends_with("/events-whole"))
        return behaviour{events, "", false, ending::close};
    if (target.ends_with("/events-cut"))
        return behaviour{events + "id: 3\nda", "", false, ending::close};
    if (target.ends_with("/events-cut-chunk"))
        return behaviour{cut_chunk, "", false, ending::none};
    if (target.ends_with("/silent"))
        return behaviour{};
    if (target.ends_with("/events-slow"))
        return behaviour{events, "data: c\n\n", true, ending::none};
    return std::nullopt;
}

behaviour choose_behaviour(const std::string& target, const std::string& id)
{
    if (const auto ends = choose_ending(target, id))
        return *ends;
    const std::string chunked = "Transfer-Encoding: chunked";
    const std::string chunk = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
    const std::string events = "Content-Type: text/event-stream\r\n" + chunked;
    const std::string whole_event = "1a\r\nid: 1\ndata: abcdefghijkl\n\n\r\n";
    if (target.ends_with("/body"))
        return {make_head(id, chunked), chunk};
    if (target.ends_with("/extension"))
        return {make_head(id, chunked) + "4;x=", std::string(4'096, 'x')};
    if (target.ends_with("/event"))
        return {make_head(id, events), chunk};
    if (target.ends_with("/events"))
        return {make_head(id, events), whole_event};
    if (target.ends_with("/interim"))
        return {"", "HTTP/1.1 102 Processing\r\n\r\n"};
    if (target.ends_with("/other"))
        return {make_head("another", chunked), chunk};
    if (target.ends_with("/head"))
        return {"HTTP/1.1 200 OK\r\n", "Some-Header: some value\r\n"};
    if (target.ends_with("/drip"))
        return {make_head(id, events), "1\r\nx\r\n", true};
    return {make_head(id, "Content-Length: 3") + "ok\n", ""};
}

/// One connection to the worker.
class connection : public std::enable_shared_from_this<connection> {
public:
    static void accept(const std::shared_ptr<runtime::event_loop>& loop, int descriptor)
    {
        std::shared_ptr<connection> c(new connection(loop, descriptor));
        byte_stream::callbacks handlers;
        handlers.data = [c](std::string_view data) { return c->on_data(data); };
        handlers.closed = [c](const core::error*) { c->is_closed_ = true; };
        handlers.written = [c] { c->send_more(); };
        c->stream_->start(std::move(handlers));
    }

private:
    connection(std::shared_ptr<runtime::event_loop> loop, int descriptor)
        : loop_(std::move(loop)), stream_(byte_stream::adopt(loop_, descriptor))
    {
    }
    std::size_t on_data(std::string_view data)
    {
        const auto end = data.find("\r\n\r\n");
        if (end == std::string_view::npos)
            return 0;
        const std::string head(data.substr(0, end + 2));
        const auto target_at = head.find(' ') + 1;
        const std::string name = "Bluebellproxy-Request-Id: ";
        const auto id_at = head.find(name) + name.size();
        behaviour_ = choose_behaviour(head.substr(target_at, head.find(' ', target_at) - target_at),
                                      head.substr(id_at, head.find('\r', id_at) - id_at));
        stream_->write(behaviour_.start);
        if (behaviour_.drips)
            drip();
        else
            send_more();
        return end + 4;
    }
    void send_more()
    {
        if (behaviour_.end != ending::none && !is_closed_ && stream_->unsent_bytes() == 0) {
            is_closed_ = true;
            if (behaviour_.end == ending::reset)
                stream_->reset();
            else
                stream_->close();
        }
        if (behaviour_.rest.empty() || behaviour_.drips || is_closed_)
            return;
        while (stream_->unsent_bytes() < max_queued_bytes)
            stream_->write(behaviour_.rest);
    }
    void drip()
    {
        if (is_closed_)
            return;
        stream_->write(behaviour_.rest);
        timer_ = runtime::watcher::timer(
            *loop_, [self = shared_from_this()] { self->loop_->defer([self] { self->drip(); }); });
        timer_->arm(drip_interval);
    }

    std::shared_ptr<runtime::event_loop> loop_;
    std::shared_ptr<byte_stream> stream_;
    behaviour behaviour_;
    std::unique_ptr<runtime::watcher> timer_;
    bool is_closed_ = false;
};

void on_accept(evconnlistener*, int descriptor, sockaddr*, int, void* loop)
{
    connection::accept(*static_cast<std::shared_ptr<runtime::event_loop>*>(loop), descriptor);
}

std::shared_ptr<runtime::http_server> serve_list(const std::shared_ptr<runtime::event_loop>& loop,
                                                 std::uint16_t port)
{
    runtime::http_server::callbacks handlers;
    handlers.request = [port](const auto& session, const auto&, const std::string&) {
        std::string entries;
        for (const char* service : {"engine", "plain"})
            entries +=
                (entries.empty() ? "" : ",") + ("{\"id\":\"" + std::string(service)) +
                "-1\",\"service\":\"" + service +
                "\",\"address\":\"127.0.0.1:" + std::to_string(port + 1) +
                "\",\"zone\":\"a\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0}";
        session->reply(200, {}, "{\"instances\":[" + entries + "],\"next\":null}");
    };
    handlers.disconnected = [](const auto&) {};
    auto made = runtime::http_server::make(loop, {"127.0.0.1", port, {}}, std::move(handlers));
    return made ? *made : nullptr;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_endless", "A list on PORT, a worker in trouble behind it.");
    options.add_options()("port", "first of two ports", cxxopts::value<std::uint16_t>())(
        "seconds", "stops by itself", cxxopts::value<int>()->default_value("60"));
    const auto args = options.parse(argc, argv);
    const auto port = args["port"].as<std::uint16_t>();
    std::signal(SIGPIPE, SIG_IGN); // the router closes connections while bytes are on their way
    auto loop = *runtime::event_loop::make();
    const auto list = serve_list(loop, port);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port + 1));
    evconnlistener* listener = evconnlistener_new_bind(
        loop->base(), &on_accept, &loop, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
        reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (list == nullptr || listener == nullptr) {
        std::cerr << "standin_endless: can't listen on its ports\n";
        return 1;
    }
    const auto stop_timer = runtime::watcher::timer(*loop, [&] { loop->stop(); });
    stop_timer->arm(core::seconds(args["seconds"].as<int>()));
    loop->run();
    evconnlistener_free(listener);
    return 0;
}
