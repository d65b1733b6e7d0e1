// A crowd of clients outside the limits, on one address. Each connection sends what its kind says
// and stays open; one that the server closes is opened again, a bounded number of times. It prints
// how many connections were opened, closed by the server, and answered with which status.
//
// Kinds of connections:
//   chunked   a body in chunks of 60 kB up to 990 kB, without its end
//   bytes     a body in 100,000 chunks of one byte, without its end
//   announce  a body with a Content-Length of 900 MB, sent as fast as it is taken
//   endless   chunks without end
//   pipeline  2,000 requests one after another; reads nothing
//   heads     one byte of a header each 200 ms
//   idle      nothing
//   drip      one request; reads one byte of the answer a second
//   steady    one request whose body of 40 kB takes eight seconds
//   paced     one request; reads 8 kB of the answer each 50 ms by a receive buffer of 32 kB
//   large     one request with a body of 990 kB, as fast as it is taken

#include <arpa/inet.h>
#include <cxxopts.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace {

using steady_clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Stands in the text of a request for its id.
constexpr std::string_view id_mark = "@request-number@";
constexpr std::size_t no_end = std::size_t(-1);
constexpr int opens_per_connection = 4; ///< bound of the load: further closes aren't replaced
constexpr milliseconds loop_interval{10};

/// What one kind of connection sends: the start, then the rest a number of times.
struct behaviour {
    std::string start;
    std::string rest;
    std::size_t repeats = 0;
    milliseconds send_interval{0}; ///< between two sends of the rest; 0: as fast as it is taken
    bool reads = true;
    milliseconds read_interval{0}; ///< between two reads; 0: reads all
    std::size_t read_bytes = 1;    ///< of a read after an interval
    int receive_buffer = 0;        ///< bytes; 0: the system's own size
    std::size_t expected = 0;      ///< bytes of the answer's body; 0: not counted
};

struct target {
    sockaddr_in address{};
    std::string path;
    std::string headers;
    std::size_t answer_bytes = 0;  ///< of paced connections
    milliseconds read_interval{0}; ///< between two reads of 8 kB of paced connections
};

behaviour make_behaviour(const std::string& kind, const target& to)
{
    const std::string post = "POST " + to.path + "3 HTTP/1.1\r\n" + to.headers;
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "ea60\r\n" + std::string(60'000, 'x') + "\r\n";
    if (kind == "chunked")
        return {chunked, "ea60\r\n" + std::string(60'000, 'x') + "\r\n", 16};
    if (kind == "bytes")
        return {chunked, "1\r\nx\r\n", 100'000};
    if (kind == "announce")
        return {post + "Content-Length: 900000000\r\n\r\n", std::string(60'000, 'x'), no_end};
    if (kind == "endless")
        return {chunked, chunk, no_end};
    if (kind == "pipeline")
        return {"", "GET " + to.path + "200000 HTTP/1.1\r\n" + to.headers + "\r\n", 2'000,
                milliseconds{0}, false};
    if (kind == "heads")
        return {"GET " + to.path + "3 HTTP/1.1\r\nX-Long: ", "x", no_end, milliseconds{200}};
    if (kind == "drip")
        return {"GET " + to.path + "900000 HTTP/1.1\r\n" + to.headers + "\r\n",
                "",
                0,
                milliseconds{0},
                true,
                milliseconds{1'000}};
    if (kind == "paced") {
        behaviour b{"GET " + to.path + std::to_string(to.answer_bytes) + " HTTP/1.1\r\n" +
                        to.headers + "\r\n",
                    "", 0};
        b.read_interval = to.read_interval;
        b.read_bytes = 8'000;
        b.receive_buffer = 32'768;
        b.expected = to.answer_bytes;
        return b;
    }
    if (kind == "steady")
        return {post + "Content-Length: 40000\r\n\r\n", std::string(1'000, 'x'), 40,
                milliseconds{200}};
    if (kind == "large")
        return {post + "Content-Length: 990000\r\n\r\n", std::string(990'000, 'x'), 1};
    return {};
}

/// One client. It keeps its place in the endless text that its behaviour describes.
struct connection {
    const behaviour* does = nullptr;
    int fd = -1;
    int opened = 0;
    std::size_t serial = 0; ///< of this opening of any connection
    std::size_t sent = 0;   ///< bytes of the current piece
    std::size_t piece = 0;  ///< 0: the start; then the repeats of the rest
    steady_clock::time_point next_send{};
    steady_clock::time_point next_read{};
    bool answered = false;
    std::size_t received = 0;   ///< bytes of the answer, its head included
    std::size_t whole_size = 0; ///< of the answer, its head included
};

class crowd {
public:
    explicit crowd(target to) : to_(std::move(to)) {}

    void add(const std::string& kind, int count)
    {
        const auto it = behaviours_.emplace(kind, make_behaviour(kind, to_)).first;
        for (int n = 0; n < count; ++n) {
            connections_.push_back({});
            connections_.back().does = &it->second;
        }
    }

    void run(milliseconds time)
    {
        const auto end = steady_clock::now() + time;
        while (steady_clock::now() < end) {
            for (auto& c : connections_) {
                if (c.fd < 0 && c.opened < opens_per_connection)
                    open(c);
            }
            step();
        }
        std::cout << "clients: opened=" << opened_ << " closed_by_server=" << closed_
                  << " whole=" << whole_;
        for (const auto& [status, n] : statuses_)
            std::cout << " status_" << status << "=" << n;
        std::cout << std::endl;
    }

private:
    void open(connection& c)
    {
        c.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (c.fd < 0)
            return;
        (void)::connect(c.fd, reinterpret_cast<const sockaddr*>(&to_.address), sizeof to_.address);
        if (c.does->receive_buffer != 0)
            (void)::setsockopt(c.fd, SOL_SOCKET, SO_RCVBUF, &c.does->receive_buffer,
                               sizeof c.does->receive_buffer);
        c.opened += 1;
        opened_ += 1;
        c.serial = static_cast<std::size_t>(opened_);
        c.sent = c.piece = 0;
        c.answered = false;
        c.received = 0;
        c.next_send = c.next_read = steady_clock::now();
    }

    static bool has_more(const connection& c)
    {
        return c.piece == 0 || c.piece - 1 < c.does->repeats;
    }

    void step()
    {
        const auto now = steady_clock::now();
        std::vector<pollfd> polled;
        std::vector<connection*> owners;
        for (auto& c : connections_) {
            if (c.fd < 0)
                continue;
            short events = 0;
            if (has_more(c) && now >= c.next_send)
                events |= POLLOUT;
            if (c.does->reads && now >= c.next_read)
                events |= POLLIN;
            polled.push_back({c.fd, events, 0});
            owners.push_back(&c);
        }
        ::poll(polled.data(), polled.size(), static_cast<int>(loop_interval.count()));
        for (std::size_t n = 0; n < polled.size(); ++n) {
            auto& c = *owners[n];
            if ((polled[n].revents & POLLIN) != 0)
                read(c);
            if (c.fd >= 0 && (polled[n].revents & POLLOUT) != 0)
                write(c);
            if (c.fd >= 0 && (polled[n].revents & (POLLERR | POLLHUP)) != 0)
                close(c);
        }
    }

    /// Returns a piece of the connection's text with an id of its own in the place of the mark.
    static std::string with_request_id(const connection& c, std::size_t piece, std::string text)
    {
        const auto at = text.find(id_mark);
        if (at == std::string::npos)
            return text;
        std::string number = std::to_string(c.serial * 10'000 + piece);
        number.insert(0, id_mark.size() - number.size(), '0');
        return text.replace(at, id_mark.size(), number);
    }

    void write(connection& c)
    {
        const behaviour& b = *c.does;
        while (has_more(c)) {
            // Small pieces are sent many at a time.
            std::string text;
            std::size_t piece = c.piece;
            const auto at = [&](std::size_t p) -> const std::string& {
                return p == 0 ? b.start : b.rest;
            };
            text = with_request_id(c, piece, at(piece)).substr(c.sent);
            while (b.send_interval.count() == 0 && text.size() < 60'000 && piece < b.repeats) {
                piece += 1;
                text += with_request_id(c, piece, at(piece));
            }
            const ssize_t n = text.empty() ? 0 : ::send(c.fd, text.data(), text.size(), 0);
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                return;
            if (n < 0) {
                close(c);
                return;
            }
            c.sent += static_cast<std::size_t>(n);
            while (has_more(c) && c.sent >= at(c.piece).size()) {
                c.sent -= at(c.piece).size();
                c.piece += 1;
                if (c.sent == 0 && c.piece > 1)
                    break;
            }
            if (b.send_interval.count() != 0) {
                c.next_send = steady_clock::now() + b.send_interval;
                return;
            }
            if (static_cast<std::size_t>(n) < text.size())
                return;
        }
    }

    void read(connection& c)
    {
        static std::array<char, 65'536> buf;
        const bool drips = c.does->read_interval.count() != 0;
        const ssize_t n = ::recv(c.fd, buf.data(),
                                 drips ? std::min(c.does->read_bytes, buf.size()) : buf.size(), 0);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (n <= 0) {
            close(c);
            return;
        }
        c.next_read += c.does->read_interval;
        const std::size_t received_before = c.received;
        c.received += static_cast<std::size_t>(n);
        const std::string_view text(buf.data(), static_cast<std::size_t>(n));
        if (received_before == 0)
            c.whole_size = text.find("\r\n\r\n") + 4 + c.does->expected;
        if (c.does->expected != 0 && received_before < c.whole_size && c.received >= c.whole_size)
            whole_ += 1;
        if (!c.answered && text.starts_with("HTTP/1.1 ") && text.size() >= 12) {
            c.answered = true;
            statuses_[std::string(text.substr(9, 3))] += 1;
        }
    }

    void close(connection& c)
    {
        if (c.does->expected != 0 && c.received != 0 && c.received < c.whole_size)
            std::cout << "clients: cut after " << c.received << " bytes\n";
        ::close(c.fd);
        c.fd = -1;
        closed_ += 1;
    }

    target to_;
    std::map<std::string, behaviour> behaviours_;
    std::vector<connection> connections_;
    std::map<std::string, int> statuses_;
    int opened_ = 0;
    int closed_ = 0;
    int whole_ = 0; ///< answers of paced connections that arrived in whole
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_clients", "Clients outside the limits.");
    options.add_options()("port", "of the server", cxxopts::value<std::uint16_t>())(
        "path", "path of requests, up to the size of the answer",
        cxxopts::value<std::string>()->default_value("/plain/bytes/"))(
        "crowd", "KIND=COUNT, any number of times", cxxopts::value<std::vector<std::string>>())(
        "answer-bytes", "size of a paced answer",
        cxxopts::value<std::size_t>()->default_value("1200000"))(
        "pace-ms", "time between two reads of paced connections",
        cxxopts::value<int>()->default_value("50"))("seconds", "stops after this time",
                                                    cxxopts::value<int>()->default_value("6"));
    const auto args = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    target to;
    to.address.sin_family = AF_INET;
    to.address.sin_port = htons(args["port"].as<std::uint16_t>());
    to.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.path = args["path"].as<std::string>();
    to.answer_bytes = args["answer-bytes"].as<std::size_t>();
    to.read_interval = milliseconds(args["pace-ms"].as<int>());
    to.headers = "Host: h\r\nBluebellproxy-Credential: key1\r\n"
                 "Bluebellproxy-Request-Id: " +
                 std::string(id_mark) +
                 "\r\n"
                 "Bluebellproxy-Request-Timeout-Ms: 30000\r\n";
    crowd clients(to);
    for (const auto& item : args["crowd"].as<std::vector<std::string>>()) {
        const auto equals = item.find('=');
        clients.add(item.substr(0, equals), std::stoi(item.substr(equals + 1)));
    }
    clients.run(std::chrono::seconds(args["seconds"].as<int>()));
    return 0;
}
