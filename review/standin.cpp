// Stand-ins for the scripts of the review: the platform's list with its workers, and a client.
//
//   standin platform LIST RECORD WORKER...   serves GET /instances at LIST (IP:PORT) and each
//                                            WORKER (SERVICE,ID,IP:PORT); runs go to RECORD
//   standin call TO METHOD PATH [OPTION...]  sends one request to TO (IP:PORT) and prints the
//                                            status, how the answer ended, its size and its body
//
// A worker answers a path with /bytes/N in it with N bytes, and any other path with its own id;
// with /busy/MS in the path it works for so long before. POST /drain/ID at LIST lists a worker as
// draining, POST /end/ID ends it and its channels, and POST /entry with a body adds that text to
// the list as one more entry.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::int64_t wall_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::optional<sockaddr_in> parse_address(const std::string& text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos)
        return std::nullopt;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

bool send_all(int fd, const std::string& data)
{
    std::size_t sent = 0;
    while (sent < data.size()) {
        const auto n = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// First line and headers of a message; names of headers in lower case.
struct message_head {
    std::string first_line;
    std::map<std::string, std::string> headers;

    [[nodiscard]] std::string header(const std::string& name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }
};

/// Reads one connection.
class connection_reader {
public:
    explicit connection_reader(int fd) : fd_(fd) {}

    /// Reads up to `most` bytes more. Returns false at the end of the connection.
    bool fill(std::size_t most = 65'536)
    {
        std::string part(most, '\0');
        const auto n = ::recv(fd_, part.data(), part.size(), 0);
        if (n <= 0) {
            was_reset_ = n < 0;
            return false;
        }
        data_.append(part, 0, static_cast<std::size_t>(n));
        return true;
    }

    std::optional<message_head> read_head()
    {
        while (data_.find("\r\n\r\n") == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        message_head head;
        std::size_t at = 0;
        for (;;) {
            const auto end = data_.find("\r\n", at);
            const std::string line = data_.substr(at, end - at);
            at = end + 2;
            if (line.empty())
                break;
            const auto colon = line.find(':');
            if (head.first_line.empty()) {
                head.first_line = line;
            } else if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                head.headers[lower(line.substr(0, colon))] =
                    value == std::string::npos ? "" : line.substr(value);
            }
        }
        data_.erase(0, at);
        return head;
    }

    /// Reads a body with a length. Returns false if the connection ends before it.
    bool read_body(std::size_t length, std::string& body)
    {
        while (data_.size() < length) {
            if (!fill())
                return false;
        }
        body = data_.substr(0, length);
        data_.erase(0, length);
        return true;
    }

    std::string& data() { return data_; }
    [[nodiscard]] bool was_reset() const { return was_reset_; }

private:
    int fd_;
    std::string data_;
    bool was_reset_ = false;
};

// The platform and its workers.

struct worker {
    std::string service;
    std::string id;
    std::string address;
    std::atomic<bool> draining = false;
    std::atomic<bool> ended = false;
    std::mutex channels_mutex; ///< guards `channels`
    std::set<int> channels;    ///< open ones, and the listening socket
};

class platform {
public:
    explicit platform(const std::string& record) : record_(record, std::ios::app) {}

    std::map<std::string, worker> workers;

    void note(const std::string& line)
    {
        const std::lock_guard guard(mutex_);
        record_ << wall_ms() << " " << line << std::endl;
    }

    std::string list()
    {
        std::string text;
        const std::lock_guard guard(mutex_);
        text = entry_;
        for (const auto& [id, w] : workers)
            text += (text.empty() ? "" : ",") + ("{\"id\":\"" + id) + "\",\"service\":\"" +
                    w.service + "\",\"address\":\"" + w.address +
                    "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":16,\"state\":\"" +
                    (w.draining ? "draining" : "ready") + "\",\"cold-remaining-ms\":0}";
        return "{\"instances\":[" + text + "],\"next\":null}";
    }

    void serve_list(int fd)
    {
        connection_reader in(fd);
        while (const auto head = in.read_head()) {
            std::string sent_body;
            if (!in.read_body(
                    static_cast<std::size_t>(std::atoll(head->header("content-length").c_str())),
                    sent_body))
                break;
            change_list(head->first_line, sent_body);
            const std::string body = list();
            if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body))
                break;
        }
        ::close(fd);
    }

    void serve_worker(int fd, worker& w)
    {
        {
            const std::lock_guard guard(w.channels_mutex);
            w.channels.insert(fd);
        }
        connection_reader in(fd);
        std::string body;
        while (const auto head = in.read_head()) {
            const auto length =
                static_cast<std::size_t>(std::atoll(head->header("content-length").c_str()));
            if (!in.read_body(length, body) || !answer(fd, w, *head))
                break;
        }
        const std::lock_guard guard(w.channels_mutex);
        w.channels.erase(fd);
        ::close(fd);
    }

private:
    void change_list(const std::string& first_line, const std::string& body)
    {
        const auto target_at = first_line.find(' ') + 1;
        const std::string target =
            first_line.substr(target_at, first_line.find(' ', target_at) - target_at);
        const auto find = [&](const std::string& verb) {
            return target.starts_with(verb) ? workers.find(target.substr(verb.size()))
                                            : workers.end();
        };
        if (target == "/entry") {
            note("an entry of another writer is listed: " + body);
            const std::lock_guard guard(mutex_);
            entry_ = body;
        }
        if (const auto it = find("/drain/"); it != workers.end()) {
            it->second.draining = true;
            note("draining " + it->first);
        }
        if (const auto it = find("/end/"); it != workers.end()) {
            note("ends " + it->first);
            it->second.ended = true;
            const std::lock_guard guard(it->second.channels_mutex);
            for (const int fd : it->second.channels)
                ::shutdown(fd, SHUT_RDWR);
        }
    }

    bool answer(int fd, const worker& w, const message_head& head)
    {
        const std::string request = head.header("bluebellproxy-request-id");
        const auto path_at = head.first_line.find(' ') + 1;
        const std::string path =
            head.first_line.substr(path_at, head.first_line.find(' ', path_at) - path_at);
        std::string fields = "Bluebellproxy-Request-Id: " + request +
                             "\r\nBluebellproxy-Server-Stamp: stamp-" + w.id + "\r\n";
        std::string status = "200 OK";
        std::string text = w.id + "\n";
        const std::string wanted = head.header("bluebellproxy-expect-instance");
        if (path == "/health") {
            fields += "Bluebellproxy-Instance-Id: " + w.id + "\r\n";
        } else if (!wanted.empty() && wanted != w.id) {
            status = "421 Misdirected Request";
            fields += "Bluebellproxy-Not-Executed: 1\r\n";
        } else {
            note("run " + request + " worker=" + w.id + " tenant=" +
                 head.header("bluebellproxy-tenant-id") + " line=\"" + head.first_line + "\"");
            const std::string busy = "/busy/";
            const auto busy_at = path.find(busy);
            if (busy_at != std::string::npos)
                std::this_thread::sleep_for(
                    milliseconds(std::atoi(path.c_str() + busy_at + busy.size())));
            if (w.ended) {
                note("broke off " + request);
                return false;
            }
            const std::string sized = "/bytes/";
            const auto at = path.find(sized);
            if (at != std::string::npos)
                text = std::string(
                    static_cast<std::size_t>(std::atoll(path.c_str() + at + sized.size())), 'x');
        }
        const bool sent =
            send_all(fd, "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\n" + fields +
                             "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
        if (path != "/health")
            note("answered " + request + " status=" + status.substr(0, 3) +
                 " bytes=" + std::to_string(text.size()) + (sent ? "" : " broken off"));
        return sent;
    }

    std::mutex mutex_; ///< guards the two below
    std::ofstream record_;
    std::string entry_; ///< of another writer
};

/// Accepts connections on a thread of its own; each one gets a thread. Returns false if the address
/// can't be listened at.
template <class Handler>
bool listen_at(const std::string& address, Handler handler, worker* owner = nullptr)
{
    const auto local = parse_address(address);
    if (!local)
        return false;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&*local), sizeof *local) != 0 ||
        ::listen(fd, 128) != 0)
        return false;
    if (owner != nullptr)
        owner->channels.insert(fd);
    std::thread([fd, handler, owner] {
        while (owner == nullptr || !owner->ended) {
            const int accepted = ::accept(fd, nullptr, nullptr);
            if (accepted >= 0)
                std::thread([accepted, handler] { handler(accepted); }).detach();
        }
        ::close(fd);
    }).detach();
    return true;
}

int run_platform(const std::vector<std::string>& args)
{
    platform p(args[1]);
    for (std::size_t n = 2; n < args.size(); ++n) {
        const auto first = args[n].find(',');
        const auto second = args[n].find(',', first + 1);
        worker& w = p.workers[args[n].substr(first + 1, second - first - 1)];
        w.service = args[n].substr(0, first);
        w.id = args[n].substr(first + 1, second - first - 1);
        w.address = args[n].substr(second + 1);
    }
    bool open = listen_at(args[0], [&p](int fd) { p.serve_list(fd); });
    for (auto& [id, w] : p.workers)
        open = open && listen_at(
                           w.address, [&p, &w = w](int fd) { p.serve_worker(fd, w); }, &w);
    if (!open) {
        std::cerr << "standin: can't listen\n";
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(150));
    return 0;
}

// The client.

struct call_options {
    std::string fields; ///< headers
    std::string id;     ///< of the request
    std::string body;
    std::string first_path;      ///< asked for before, on the same channel; empty: none
    std::size_t bytes_per_s = 0; ///< reads no faster; 0: as fast as it can
    int window = 0;              ///< receive buffer in bytes; 0: the system's own size
    int timeout_ms = 5'000;
};

/// Reads the rest of a body at the rate of the options.
void read_slowly(connection_reader& in, const call_options& options, std::size_t length)
{
    constexpr std::size_t steps_per_s = 20;
    const std::size_t step = std::max<std::size_t>(1, options.bytes_per_s / steps_per_s);
    auto next = steady_clock::now();
    while (in.data().size() < length) {
        const std::size_t goal = std::min(length, in.data().size() + step);
        while (in.data().size() < goal) {
            if (!in.fill(goal - in.data().size()))
                return;
        }
        next += milliseconds(1'000 / steps_per_s);
        std::this_thread::sleep_until(next);
    }
}

int run_call(const std::vector<std::string>& args)
{
    call_options options;
    for (std::size_t n = 3; n + 1 < args.size(); n += 2) {
        if (args[n] == "--header")
            options.fields += args[n + 1] + "\r\n";
        else if (args[n] == "--id")
            options.id = args[n + 1];
        else if (args[n] == "--body")
            options.body = args[n + 1];
        else if (args[n] == "--rate")
            options.bytes_per_s = static_cast<std::size_t>(std::atoll(args[n + 1].c_str()));
        else if (args[n] == "--first")
            options.first_path = args[n + 1];
        else if (args[n] == "--window")
            options.window = std::atoi(args[n + 1].c_str());
        else if (args[n] == "--timeout-ms")
            options.timeout_ms = std::atoi(args[n + 1].c_str());
    }
    const auto remote = parse_address(args[0]);
    if (!remote)
        return 2;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.window != 0) {
        // Segments as on a network, not the loopback's.
        const int segment = 1'400;
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.window, sizeof options.window);
    }
    const timeval limit{options.timeout_ms / 1'000, (options.timeout_ms % 1'000) * 1'000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto began = steady_clock::now();
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&*remote), sizeof *remote) != 0) {
        std::cout << "000 unreachable 0 0\n";
        return 0;
    }
    connection_reader in(fd);
    const auto send_request = [&](const std::string& path, const std::string& id_suffix) {
        return send_all(fd, args[1] + " " + path + " HTTP/1.1\r\n" + options.fields +
                                "Bluebellproxy-Request-Id: " + options.id + id_suffix +
                                "\r\nContent-Length: " + std::to_string(options.body.size()) +
                                "\r\n\r\n" + options.body);
    };
    if (!options.first_path.empty()) {
        const auto first =
            send_request(options.first_path, "-first") ? in.read_head() : std::nullopt;
        std::string body;
        if (!first || !first->first_line.starts_with("HTTP/1.1 200") ||
            !in.read_body(
                static_cast<std::size_t>(std::atoll(first->header("content-length").c_str())),
                body)) {
            std::cout << "000 no first answer\n";
            return 0;
        }
    }
    const auto head = send_request(args[2], "") ? in.read_head() : std::nullopt;
    if (!head) {
        std::cout << "000 closed 0 0\n";
        return 0;
    }
    const auto length =
        static_cast<std::size_t>(std::atoll(head->header("content-length").c_str()));
    if (options.bytes_per_s != 0)
        read_slowly(in, options, length);
    std::string body;
    const bool complete = in.read_body(length, body);
    const auto passed =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - began).count();
    const std::size_t got = complete ? body.size() : in.data().size();
    std::cout << head->first_line.substr(9, 3)
              << (complete ? " complete " : (in.was_reset() ? " reset " : " cut ")) << got << "/"
              << length << " " << passed << "ms\n";
    if (complete && options.bytes_per_s == 0)
        std::cout << body;
    ::close(fd);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> args(argv + std::min(argc, 2), argv + argc);
    const std::string verb = argc > 1 ? argv[1] : "";
    if (verb == "platform" && args.size() > 2)
        return run_platform(args);
    if (verb == "call" && args.size() > 2)
        return run_call(args);
    std::cerr << "standin: platform or call\n";
    return 2;
}
