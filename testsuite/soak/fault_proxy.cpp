// A TCP proxy on loopback that injects faults. It reads commands from standard input, one a line:
//   LINK pass           ends all faults of the link and forwards the bytes that were held
//   LINK hold to|back   queues bytes to the target (to) or to the client (back)
//   LINK delay MS       forwards every byte MS milliseconds after it was received
//   LINK reset          resets all open connections
//   LINK refuse         resets new connections as soon as they are accepted, until pass
// LINK is the index of the link on the command line, from 0. Each command is echoed to standard
// output when it is carried out.

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <csignal>
#include <cstring>
#include <deque>
#include <iostream>
#include <list>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace {

constexpr int to_target = 0;
constexpr int to_client = 1;

struct proxy_link;

/// Received bytes and the time from which they may be forwarded.
struct delayed_bytes {
    timeval due_at{};
    std::string bytes;
};

/// A connection from a client and the proxy's own connection to the target. The arrays are indexed
/// by direction: `to_target` or `to_client`.
struct proxied_connection {
    proxy_link* owner = nullptr;
    std::array<bufferevent*, 2> ends{}; ///< client side, target side
    std::array<std::deque<delayed_bytes>, 2> queues;
    std::array<event*, 2> timers{};
};

/// A listening address, its target, and the faults in force between them.
struct proxy_link {
    event_base* base = nullptr;
    sockaddr_in listen_address{};
    sockaddr_in target_address{};
    std::array<bool, 2> held{};
    long delay_ms = 0;
    bool refuses = false;
    std::list<std::unique_ptr<proxied_connection>> connections;
};

/// Makes the close of the socket send a reset instead of an orderly end.
void reset_on_close(bufferevent* end)
{
    const linger zero_linger{1, 0};
    ::setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
}

/// Closes both sides of the connection and frees it.
void close_connection(proxied_connection* conn, bool reset)
{
    for (auto* end : conn->ends) {
        if (reset)
            reset_on_close(end);
        bufferevent_free(end);
    }
    for (auto* timer : conn->timers)
        event_free(timer);
    conn->owner->connections.remove_if([conn](const auto& other) { return other.get() == conn; });
}

/// Forwards the queued bytes that are due; sets a timer for the next ones.
void forward(proxied_connection* conn, int direction)
{
    auto& queue = conn->queues[direction];
    timeval now{};
    event_base_gettimeofday_cached(conn->owner->base, &now);
    while (!queue.empty() && !conn->owner->held[direction]) {
        timeval remaining{};
        timersub(&queue.front().due_at, &now, &remaining);
        if (remaining.tv_sec > 0 || (remaining.tv_sec == 0 && remaining.tv_usec > 0)) {
            event_add(conn->timers[direction], &remaining);
            return;
        }
        bufferevent_write(conn->ends[1 - direction], queue.front().bytes.data(),
                          queue.front().bytes.size());
        queue.pop_front();
    }
}

template <int direction>
void on_timer(int, short, void* arg)
{
    forward(static_cast<proxied_connection*>(arg), direction);
}

template <int direction>
void on_read(bufferevent* end, void* arg)
{
    auto* conn = static_cast<proxied_connection*>(arg);
    evbuffer* in = bufferevent_get_input(end);
    delayed_bytes chunk;
    chunk.bytes.resize(evbuffer_get_length(in));
    evbuffer_remove(in, chunk.bytes.data(), chunk.bytes.size());
    timeval now{};
    event_base_gettimeofday_cached(conn->owner->base, &now);
    const timeval delay{conn->owner->delay_ms / 1000, (conn->owner->delay_ms % 1000) * 1000};
    timeradd(&now, &delay, &chunk.due_at);
    conn->queues[direction].push_back(std::move(chunk));
    forward(conn, direction);
}

/// Handles the close of one side: the other side is closed after it has received all bytes that
/// were sent before. A connection error resets both sides at once.
template <int direction>
void on_event(bufferevent* end, short events, void* arg)
{
    auto* conn = static_cast<proxied_connection*>(arg);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
        return;
    bufferevent* other = conn->ends[1 - direction];
    const bool reset = (events & BEV_EVENT_ERROR) != 0;
    const bool has_unsent_bytes =
        !reset && (!conn->queues[direction].empty() ||
                   evbuffer_get_length(bufferevent_get_output(other)) > 0);
    if (!has_unsent_bytes) {
        close_connection(conn, reset);
        return;
    }
    // Checks every 20 ms whether all bytes have been sent. Held bytes keep the connection open
    // until a pass command.
    bufferevent_disable(end, EV_READ);
    const timeval retry_interval{0, 20'000};
    struct retry {
        proxied_connection* conn;
        proxy_link* owner;
        bufferevent* end;
    };
    event_base_once(
        conn->owner->base, -1, EV_TIMEOUT,
        [](int, short, void* raw_retry) {
            const std::unique_ptr<retry> r(static_cast<retry*>(raw_retry));
            for (const auto& open : r->owner->connections) {
                if (open.get() == r->conn && open->ends[direction] == r->end) {
                    on_event<direction>(r->end, BEV_EVENT_EOF, r->conn);
                    return;
                }
            }
        },
        new retry{conn, conn->owner, end}, &retry_interval);
}

/// Accepts a client and connects to the target, or resets the client if the link refuses.
void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
{
    auto* l = static_cast<proxy_link*>(arg);
    auto conn = std::make_unique<proxied_connection>();
    conn->owner = l;
    conn->ends[0] = bufferevent_socket_new(l->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (l->refuses) {
        reset_on_close(conn->ends[0]);
        bufferevent_free(conn->ends[0]);
        return;
    }
    conn->ends[1] = bufferevent_socket_new(l->base, -1, BEV_OPT_CLOSE_ON_FREE);
    conn->timers = {event_new(l->base, -1, 0, &on_timer<to_target>, conn.get()),
                    event_new(l->base, -1, 0, &on_timer<to_client>, conn.get())};
    bufferevent_setcb(conn->ends[0], &on_read<to_target>, nullptr, &on_event<to_target>,
                      conn.get());
    bufferevent_setcb(conn->ends[1], &on_read<to_client>, nullptr, &on_event<to_client>,
                      conn.get());
    proxied_connection* raw = conn.get();
    l->connections.push_back(std::move(conn));
    bufferevent_enable(raw->ends[0], EV_READ | EV_WRITE);
    bufferevent_enable(raw->ends[1], EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(raw->ends[1], reinterpret_cast<sockaddr*>(&l->target_address),
                                   sizeof l->target_address) != 0)
        close_connection(raw, true);
}

/// Carries out one command line; reports an unknown link on standard error.
void apply_command(std::vector<std::unique_ptr<proxy_link>>& links, const std::string& line)
{
    std::istringstream in(line);
    std::size_t n = links.size();
    std::string mode;
    std::string value;
    in >> n >> mode >> value;
    if (n >= links.size()) {
        std::cerr << "fault_proxy: no such link: " << line << "\n";
        return;
    }
    std::cout << line << std::endl; // run.sh compares these lines with the commands it sent
    proxy_link& l = *links[n];
    if (mode == "hold") {
        l.held[value == "to" ? to_target : to_client] = true;
    } else if (mode == "delay") {
        l.delay_ms = std::stol(value);
    } else if (mode == "refuse") {
        l.refuses = true;
    } else if (mode == "reset") {
        while (!l.connections.empty())
            close_connection(l.connections.front().get(), true);
    } else if (mode == "pass") {
        l.held = {};
        l.delay_ms = 0;
        l.refuses = false;
        for (const auto& conn : l.connections) {
            forward(conn.get(), to_target);
            forward(conn.get(), to_client);
        }
    }
}

/// Reads IP:PORT; false if it is no IPv4 address.
bool parse(const std::string& text, sockaddr_in& parsed)
{
    const auto colon = text.find(':');
    parsed.sin_family = AF_INET;
    if (colon == std::string::npos ||
        ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed.sin_addr) != 1)
        return false;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        std::cerr << "usage: fault_proxy IP:PORT=IP:PORT...\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_base* base = event_base_new();
    std::vector<std::unique_ptr<proxy_link>> links;
    for (int n = 1; n < argc; ++n) {
        const std::string text = argv[n];
        const auto separator = text.find('=');
        auto l = std::make_unique<proxy_link>();
        l->base = base;
        const bool is_valid = separator != std::string::npos &&
                              parse(text.substr(0, separator), l->listen_address) &&
                              parse(text.substr(separator + 1), l->target_address);
        if (!is_valid || evconnlistener_new_bind(base, &on_accept, l.get(),
                                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
                                                 reinterpret_cast<sockaddr*>(&l->listen_address),
                                                 sizeof l->listen_address) == nullptr) {
            std::cerr << "fault_proxy: can't serve " << text << "\n";
            return 1;
        }
        links.push_back(std::move(l));
    }
    bufferevent* commands = bufferevent_socket_new(base, 0, 0);
    evutil_make_socket_nonblocking(0);
    bufferevent_setcb(
        commands,
        [](bufferevent* b, void* link_list) {
            while (char* line =
                       evbuffer_readln(bufferevent_get_input(b), nullptr, EVBUFFER_EOL_LF)) {
                apply_command(*static_cast<std::vector<std::unique_ptr<proxy_link>>*>(link_list),
                              line);
                std::free(line);
            }
        },
        nullptr,
        [](bufferevent* b, short events, void*) {
            if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
                event_base_loopexit(bufferevent_get_base(b), nullptr);
        },
        &links);
    bufferevent_enable(commands, EV_READ);
    event_base_dispatch(base);
    return 0;
}
