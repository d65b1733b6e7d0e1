// Forwards loopback connections and disturbs them as told on standard input, a command a line:
//   LINK pass           forwards again what was held
//   LINK hold to|back   lets nothing through in that direction; what comes waits
//   LINK delay MS       forwards everything so much later
//   LINK reset          resets the connections that are open now
//   LINK refuse         resets new connections at once, until pass
// LINK is the number of the link on the command line, from 0. Each order is repeated on standard
// output as it is carried out.

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
constexpr int back = 1;

struct proxy_link;

/// Bytes on their way, and when they may leave.
struct parcel {
    timeval due{};
    std::string bytes;
};

/// One connection: near is the side that connected.
struct pipe_pair {
    proxy_link* owner = nullptr;
    std::array<bufferevent*, 2> ends{}; ///< near, far
    std::array<std::deque<parcel>, 2> way;
    std::array<event*, 2> timers{};
};

struct proxy_link {
    event_base* base = nullptr;
    sockaddr_in from{};
    sockaddr_in to{};
    std::array<bool, 2> held{};
    long delay_ms = 0;
    bool refuses = false;
    std::list<std::unique_ptr<pipe_pair>> pipes;
};

void set_linger(bufferevent* end)
{
    const linger hard{1, 0};
    ::setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

void end_pipe(pipe_pair* p, bool reset)
{
    for (auto* end : p->ends) {
        if (reset)
            set_linger(end);
        bufferevent_free(end);
    }
    for (auto* t : p->timers)
        event_free(t);
    p->owner->pipes.remove_if([p](const auto& other) { return other.get() == p; });
}

void forward(pipe_pair* p, int way)
{
    auto& queue = p->way[way];
    timeval now{};
    event_base_gettimeofday_cached(p->owner->base, &now);
    while (!queue.empty() && !p->owner->held[way]) {
        timeval left{};
        timersub(&queue.front().due, &now, &left);
        if (left.tv_sec > 0 || (left.tv_sec == 0 && left.tv_usec > 0)) {
            event_add(p->timers[way], &left);
            return;
        }
        bufferevent_write(p->ends[1 - way], queue.front().bytes.data(), queue.front().bytes.size());
        queue.pop_front();
    }
}

template <int way>
void on_timer(int, short, void* arg)
{
    forward(static_cast<pipe_pair*>(arg), way);
}

template <int way>
void on_read(bufferevent* end, void* arg)
{
    auto* p = static_cast<pipe_pair*>(arg);
    evbuffer* in = bufferevent_get_input(end);
    parcel what;
    what.bytes.resize(evbuffer_get_length(in));
    evbuffer_remove(in, what.bytes.data(), what.bytes.size());
    timeval now{};
    event_base_gettimeofday_cached(p->owner->base, &now);
    const timeval delay{p->owner->delay_ms / 1000, (p->owner->delay_ms % 1000) * 1000};
    timeradd(&now, &delay, &what.due);
    p->way[way].push_back(std::move(what));
    forward(p, way);
}

/// One side closed: what it sent before still goes out, then the other side is closed, too.
template <int way>
void on_event(bufferevent* end, short what, void* arg)
{
    auto* p = static_cast<pipe_pair*>(arg);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
        return;
    bufferevent* other = p->ends[1 - way];
    const bool reset = (what & BEV_EVENT_ERROR) != 0;
    const bool waits =
        !reset && (!p->way[way].empty() || evbuffer_get_length(bufferevent_get_output(other)) > 0);
    if (!waits) {
        end_pipe(p, reset);
        return;
    }
    // Looks again when the rest may have left; what is held stays until the link passes.
    bufferevent_disable(end, EV_READ);
    const timeval soon{0, 20'000};
    struct retry {
        pipe_pair* p;
        proxy_link* owner;
        bufferevent* end;
    };
    event_base_once(
        p->owner->base, -1, EV_TIMEOUT,
        [](int, short, void* again) {
            const std::unique_ptr<retry> r(static_cast<retry*>(again));
            for (const auto& open : r->owner->pipes) {
                if (open.get() == r->p && open->ends[way] == r->end) {
                    on_event<way>(r->end, BEV_EVENT_EOF, r->p);
                    return;
                }
            }
        },
        new retry{p, p->owner, end}, &soon);
}

void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
{
    auto* l = static_cast<proxy_link*>(arg);
    auto p = std::make_unique<pipe_pair>();
    p->owner = l;
    p->ends[0] = bufferevent_socket_new(l->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (l->refuses) {
        set_linger(p->ends[0]);
        bufferevent_free(p->ends[0]);
        return;
    }
    p->ends[1] = bufferevent_socket_new(l->base, -1, BEV_OPT_CLOSE_ON_FREE);
    p->timers = {event_new(l->base, -1, 0, &on_timer<to_target>, p.get()),
                 event_new(l->base, -1, 0, &on_timer<back>, p.get())};
    bufferevent_setcb(p->ends[0], &on_read<to_target>, nullptr, &on_event<to_target>, p.get());
    bufferevent_setcb(p->ends[1], &on_read<back>, nullptr, &on_event<back>, p.get());
    pipe_pair* raw = p.get();
    l->pipes.push_back(std::move(p));
    bufferevent_enable(raw->ends[0], EV_READ | EV_WRITE);
    bufferevent_enable(raw->ends[1], EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(raw->ends[1], reinterpret_cast<sockaddr*>(&l->to),
                                   sizeof l->to) != 0)
        end_pipe(raw, true);
}

void disturb(std::vector<std::unique_ptr<proxy_link>>& links, const std::string& line)
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
    std::cout << line << std::endl; // the order is known to have come
    proxy_link& l = *links[n];
    if (mode == "hold") {
        l.held[value == "to" ? to_target : back] = true;
    } else if (mode == "delay") {
        l.delay_ms = std::stol(value);
    } else if (mode == "refuse") {
        l.refuses = true;
    } else if (mode == "reset") {
        while (!l.pipes.empty())
            end_pipe(l.pipes.front().get(), true);
    } else if (mode == "pass") {
        l.held = {};
        l.delay_ms = 0;
        l.refuses = false;
        for (const auto& p : l.pipes) {
            forward(p.get(), to_target);
            forward(p.get(), back);
        }
    }
}

bool parse(const std::string& text, sockaddr_in& at)
{
    const auto colon = text.find(':');
    at.sin_family = AF_INET;
    if (colon == std::string::npos ||
        ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &at.sin_addr) != 1)
        return false;
    at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
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
        const auto sign = text.find('=');
        auto l = std::make_unique<proxy_link>();
        l->base = base;
        const bool good = sign != std::string::npos && parse(text.substr(0, sign), l->from) &&
                          parse(text.substr(sign + 1), l->to);
        if (!good || evconnlistener_new_bind(
                         base, &on_accept, l.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
                         reinterpret_cast<sockaddr*>(&l->from), sizeof l->from) == nullptr) {
            std::cerr << "fault_proxy: can't serve " << text << "\n";
            return 1;
        }
        links.push_back(std::move(l));
    }
    bufferevent* orders = bufferevent_socket_new(base, 0, 0);
    evutil_make_socket_nonblocking(0);
    bufferevent_setcb(
        orders,
        [](bufferevent* b, void* all) {
            while (char* line =
                       evbuffer_readln(bufferevent_get_input(b), nullptr, EVBUFFER_EOL_LF)) {
                disturb(*static_cast<std::vector<std::unique_ptr<proxy_link>>*>(all), line);
                std::free(line);
            }
        },
        nullptr,
        [](bufferevent* b, short what, void*) {
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
                event_base_loopexit(bufferevent_get_base(b), nullptr);
        },
        &links);
    bufferevent_enable(orders, EV_READ);
    event_base_dispatch(base);
    return 0;
}
