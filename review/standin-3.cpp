// Stand-ins of the third review, in one program.
//
// "platform": serves the platform's list of workers at IP:PORT, and runs plain workers at
// IP:PORT+1, IP:PORT+2 and so on. A worker runs up to SLOTS requests at once, queues as many more,
// and refuses others with 503 and Bluebellproxy-Not-Executed. A request runs for WORK-MS, and at
// each further worker for SLOWER-MS more. With SIGNS, a folder: while the file torn is there, the
// list has its content as an entry of another writer, behind the second worker's. With UNFRAMED 1,
// the list has no length and ends with its connection.
//
// "engines": as "platform", but the workers are engines of streams. A stream has an event each 50
// ms, 40 of them. CRASH-AFTER-MS after the head of its answer, a request whose path contains /bad/
// ends the worker that runs it: the worker's channels close, its address refuses new ones, and
// after 3 s it is back there as another instance, or with SAME-ID 1 under the id that it had. Until
// then it stays on the list. 0: no request does that.
//
// "clients": sends COUNT unsafe requests at once, each on a new channel, and waits for their
// answers. Nothing is sent twice.
//
// These add lines to the record: what was sent, run, and answered.
//
// "call": makes one call of METHOD to IP:PORT with HEADERS (lines) and BODY, follows up to two
// redirections, and prints the status (000: none) and the body. Fails unless the answer is whole.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace {

using arguments = std::map<std::string, std::string>;

std::string find_or_empty(const arguments& args, const std::string& name)
{
    const auto it = args.find(name);
    return it == args.end() ? std::string() : it->second;
}

std::string read_file(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Writes lines of the record, each with the time in milliseconds since the epoch.
class record_file {
public:
    explicit record_file(const std::string& path) : out_(path, std::ios::app) {}
    void add(const std::string& line)
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        const std::lock_guard guard(mutex_);
        out_ << ms << " " << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

sockaddr_in make_address(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Returns a listening socket; ends the program if the address can't be used.
int listen_at(const std::string& ip, int port)
{
    constexpr int backlog = 512;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = make_address(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, backlog) != 0) {
        std::cerr << "can't listen at " << ip << ":" << port << "\n";
        std::_Exit(2);
    }
    return fd;
}

void send_all(int fd, const std::string& data)
{
    for (std::size_t at = 0; at < data.size();) {
        const ssize_t n = ::send(fd, data.data() + at, data.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return;
        at += static_cast<std::size_t>(n);
    }
}

/// One HTTP message: its first line, its headers by name in lower case, and its body.
struct message {
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

message parse_head(const std::string& head)
{
    message m;
    std::size_t at = head.find("\r\n");
    m.first_line = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t begin = at + 2;
        at = head.find("\r\n", begin);
        const std::string line = head.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        m.headers[name] = line.substr(std::min(line.size(), colon + 2));
    }
    return m;
}

/// Reads messages with a length from a connection.
class message_source {
public:
    explicit message_source(int fd) : fd_(fd) {}
    /// Returns false if the connection ends before a whole message.
    bool read(message& m)
    {
        std::size_t end = 0;
        while ((end = unread_.find("\r\n\r\n")) == std::string::npos) {
            if (!receive())
                return false;
        }
        m = parse_head(unread_.substr(0, end + 2));
        unread_.erase(0, end + 4);
        const auto length = m.headers.find("content-length");
        const std::size_t size =
            length == m.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
        while (unread_.size() < size) {
            if (!receive())
                return false;
        }
        m.body = unread_.substr(0, size);
        unread_.erase(0, size);
        return true;
    }

    /// Reads up to the end of a line.
    bool read_line(std::string& line)
    {
        std::size_t end = 0;
        while ((end = unread_.find("\r\n")) == std::string::npos) {
            if (!receive())
                return false;
        }
        line = unread_.substr(0, end);
        unread_.erase(0, end + 2);
        return true;
    }
    bool read_bytes(std::size_t size, std::string& bytes)
    {
        while (unread_.size() < size) {
            if (!receive())
                return false;
        }
        bytes = unread_.substr(0, size);
        unread_.erase(0, size);
        return true;
    }

private:
    bool receive()
    {
        char buf[16384];
        const ssize_t n = ::recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        unread_.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string unread_;
};

bool has_closed(int fd)
{
    pollfd p{fd, POLLIN | POLLRDHUP, 0};
    return ::poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/// One plain worker.
class worker {
public:
    worker(std::string ip, int port, std::string instance, const arguments& args,
           record_file& record)
        : ip_(std::move(ip)), port_(port), instance_(std::move(instance)),
          slots_(std::stoi(args.at("slots"))), work_ms_(std::stoi(args.at("work-ms"))),
          record_(record)
    {
    }

    /// Accepts connections. Runs until the program ends.
    void run()
    {
        const int listener = listen_at(ip_, port_);
        for (;;) {
            const int fd = ::accept(listener, nullptr, nullptr);
            if (fd >= 0)
                std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    [[nodiscard]] std::string listed() const
    {
        return R"({"id":")" + instance_ + R"(","service":"plain","address":")" + ip_ + ":" +
               std::to_string(port_) + R"(","zone":"a","version":"v1","slots":)" +
               std::to_string(slots_) + R"(,"state":"ready","cold-remaining-ms":0})";
    }

private:
    void serve(int fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        message_source source(fd);
        for (message m; source.read(m);)
            handle(fd, m);
        ::close(fd);
    }

    /// Runs the request, or refuses it.
    void handle(int fd, const message& m)
    {
        const auto header = [&](const std::string& name) {
            const auto it = m.headers.find(name);
            return it == m.headers.end() ? std::string() : it->second;
        };
        const std::string id = header("bluebellproxy-request-id");
        if (header("bluebellproxy-expect-instance") != instance_) {
            refuse(fd, id, "421 Misdirected Request");
            return;
        }
        std::unique_lock lock(mutex_);
        if (running_ + waiting_ >= 2 * slots_) {
            lock.unlock();
            refuse(fd, id, "503 Service Unavailable");
            return;
        }
        waiting_ += 1;
        changed_.wait(lock, [&] { return running_ < slots_; });
        waiting_ -= 1;
        if (has_closed(fd))
            return;
        running_ += 1;
        record_.add("run " + id + " at " + instance_);
        lock.unlock();
        const bool is_whole = work(fd);
        lock.lock();
        running_ -= 1;
        const std::string load = load_text();
        lock.unlock();
        changed_.notify_all();
        record_.add((is_whole ? "end " : "dropped ") + id + " at " + instance_);
        if (!is_whole)
            ::shutdown(fd, SHUT_RDWR);
        else
            send_all(fd, "HTTP/1.1 200 OK\r\nBluebellproxy-Request-Id: " + id +
                             "\r\nBluebellproxy-Server-Stamp: stamp-" + instance_ + load +
                             "\r\nContent-Length: 3\r\n\r\nok\n");
    }

    /// Works for the time of one request. Returns false if its channel closes meanwhile.
    bool work(int fd) const
    {
        constexpr int step_ms = 20;
        for (int ms = 0; ms < work_ms_; ms += step_ms) {
            std::this_thread::sleep_for(std::chrono::milliseconds(step_ms));
            if (has_closed(fd))
                return false;
        }
        return true;
    }

    void refuse(int fd, const std::string& id, const std::string& status)
    {
        std::unique_lock lock(mutex_);
        const std::string load = load_text();
        lock.unlock();
        record_.add("refused " + id + " at " + instance_);
        send_all(fd, "HTTP/1.1 " + status + "\r\nBluebellproxy-Request-Id: " + id +
                         "\r\nBluebellproxy-Instance-Id: " + instance_ +
                         "\r\nBluebellproxy-Not-Executed: 1" + load +
                         "\r\nContent-Length: 0\r\n\r\n");
    }

    [[nodiscard]] std::string load_text() const
    {
        return "\r\nBluebellproxy-Server-Load: " + std::to_string(running_) + "," +
               std::to_string(waiting_) + "," + std::to_string(slots_);
    }

    std::string ip_;
    int port_;
    std::string instance_;
    int slots_;
    int work_ms_;
    record_file& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
    int waiting_ = 0;
};

/// One engine.
class engine {
public:
    engine(std::string ip, int port, std::string name, const arguments& args, record_file& record)
        : ip_(std::move(ip)), port_(port), name_(std::move(name)), instance_(name_ + ".1"),
          crash_after_ms_(std::stoi(args.at("crash-after-ms"))),
          keeps_id_(find_or_empty(args, "same-id") == "1"), record_(record)
    {
    }

    /// Accepts connections, and comes back after each crash. Runs until the program ends.
    void run()
    {
        constexpr auto down_time = std::chrono::seconds(3);
        for (int life = 1;; ++life) {
            const int listener = listen_at(ip_, port_);
            {
                const std::lock_guard guard(mutex_);
                listener_ = listener;
                if (!keeps_id_)
                    instance_ = name_ + "." + std::to_string(life);
            }
            for (int fd = 0; (fd = ::accept(listener, nullptr, nullptr)) >= 0;)
                std::thread([this, fd] { serve(fd); }).detach();
            ::close(listener);
            std::this_thread::sleep_for(down_time);
        }
    }

    [[nodiscard]] std::string listed()
    {
        const std::lock_guard guard(mutex_);
        return R"({"id":")" + instance_ + R"(","service":"engine","address":")" + ip_ + ":" +
               std::to_string(port_) + R"(","zone":"a","version":"v1","slots":16)" +
               R"(,"state":"ready","cold-remaining-ms":0})";
    }

private:
    void serve(int fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard guard(mutex_);
            channels_.insert(fd);
        }
        message_source source(fd);
        for (message m; source.read(m) && stream(fd, m);) {
        }
        const std::lock_guard guard(mutex_);
        channels_.erase(fd);
        ::close(fd);
    }

    /// Answers with a stream. Returns false if its channel can't be used any more.
    bool stream(int fd, const message& m)
    {
        constexpr int events = 40;
        constexpr int event_ms = 50;
        const std::string id = m.headers.at("bluebellproxy-request-id");
        std::unique_lock lock(mutex_);
        const std::string instance = instance_;
        lock.unlock();
        const std::string common =
            "\r\nBluebellproxy-Request-Id: " + id + "\r\nBluebellproxy-Instance-Id: " + instance;
        if (m.headers.at("bluebellproxy-expect-instance") != instance) {
            send_all(fd, "HTTP/1.1 421 Misdirected Request" + common +
                             "\r\nBluebellproxy-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        record_.add("run " + id + " at " + instance);
        const bool is_bad = crash_after_ms_ > 0 && m.first_line.find("/bad/") != std::string::npos;
        send_all(fd, "HTTP/1.1 200 OK" + common + "\r\nBluebellproxy-Server-Stamp: stamp-" +
                         instance + "\r\nContent-Type: text/event-stream" +
                         "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int n = 1; n <= events; ++n) {
            std::this_thread::sleep_for(std::chrono::milliseconds(event_ms));
            if (is_bad && n * event_ms > crash_after_ms_) {
                crash(id, instance);
                return false;
            }
            if (has_closed(fd)) {
                record_.add("broken off " + id + " at " + instance);
                return false;
            }
            const std::string event =
                "id: " + std::to_string(n) + "\ndata: e" + std::to_string(n) + "\n\n";
            std::ostringstream chunk;
            chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
            send_all(fd, chunk.str());
        }
        send_all(fd, "0\r\n\r\n");
        record_.add("end " + id + " at " + instance);
        return true;
    }

    void crash(const std::string& id, const std::string& instance)
    {
        record_.add("crash of " + instance + " by " + id);
        const std::lock_guard guard(mutex_);
        ::shutdown(listener_, SHUT_RDWR);
        for (const int fd : channels_)
            ::shutdown(fd, SHUT_RDWR);
    }

    std::string ip_;
    int port_;
    std::string name_;
    std::string instance_;
    int crash_after_ms_;
    bool keeps_id_;
    record_file& record_;
    std::mutex mutex_;
    int listener_ = -1;
    std::set<int> channels_;
};

void serve_list(int fd, bool is_unframed, const std::function<std::string()>& list)
{
    message_source source(fd);
    for (message m; source.read(m);) {
        const std::string text = list();
        const std::string length =
            is_unframed ? "Connection: close" : "Content-Length: " + std::to_string(text.size());
        send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + length + "\r\n\r\n" +
                         text);
        if (is_unframed)
            break;
    }
    ::shutdown(fd, SHUT_WR);
    ::close(fd);
}

/// Runs the list and the workers, whose names begin with `name`.
template <class Worker>
void run_platform(const arguments& args, const std::string& name, record_file& record)
{
    const std::string& ip = args.at("ip");
    const int port = std::stoi(args.at("port"));
    std::vector<std::unique_ptr<Worker>> workers;
    for (int n = 1; n <= std::stoi(args.at("workers")); ++n) {
        arguments own = args;
        own["work-ms"] = std::to_string(std::atoi(own["work-ms"].c_str()) +
                                        (n - 1) * std::atoi(own["slower-ms"].c_str()));
        workers.push_back(
            std::make_unique<Worker>(ip, port + n, name + std::to_string(n), own, record));
        std::thread([w = workers.back().get()] { w->run(); }).detach();
    }
    const std::string torn_sign = find_or_empty(args, "signs") + "/torn";
    const auto list = [&workers, torn_sign] {
        constexpr std::size_t torn_at = 2;
        std::string entries;
        for (std::size_t n = 0; n < workers.size(); ++n) {
            if (n == torn_at && ::access(torn_sign.c_str(), F_OK) == 0)
                entries += "," + read_file(torn_sign);
            entries += (entries.empty() ? "" : ",") + workers[n]->listed();
        }
        return R"({"instances":[)" + entries + R"(],"next":null})";
    };
    const bool is_unframed = find_or_empty(args, "unframed") == "1";
    const int listener = listen_at(ip, port);
    for (;;) {
        const int fd = ::accept(listener, nullptr, nullptr);
        if (fd >= 0)
            std::thread([fd, is_unframed, list] { serve_list(fd, is_unframed, list); }).detach();
    }
}

/// Sends one request and records its answer.
void ask(const arguments& args, const std::string& id, record_file& record)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int timeout_ms = std::stoi(args.at("timeout-ms"));
    const timeval timeout{timeout_ms / 1000 + 1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const sockaddr_in address = make_address(args.at("ip"), std::stoi(args.at("port")));
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        record.add("no channel for " + id);
        ::close(fd);
        return;
    }
    record.add("sent " + id);
    send_all(fd, "POST " + args.at("path") + " HTTP/1.1\r\nHost: h\r\nBluebellproxy-Request-Id: " +
                     id + "\r\nBluebellproxy-Credential: key1" +
                     "\r\nBluebellproxy-Request-Timeout-Ms: " + std::to_string(timeout_ms) +
                     "\r\nContent-Length: 5\r\n\r\nclaim");
    message_source source(fd);
    message answer;
    record.add("answer " + id + ": " +
               (source.read(answer) ? answer.first_line : std::string("none")));
    ::close(fd);
}

void run_clients(const arguments& args, record_file& record)
{
    std::vector<std::thread> clients;
    for (int n = 1; n <= std::stoi(args.at("count")); ++n)
        clients.emplace_back(ask, std::cref(args), args.at("name") + "-" + std::to_string(n),
                             std::ref(record));
    for (auto& c : clients)
        c.join();
}

/// The answer to one call.
struct call_answer {
    message head;
    bool is_whole = false;
};

/// Reads chunks up to the last one. Returns whether it came.
bool read_chunks(message_source& source, std::string& body)
{
    for (;;) {
        std::string line;
        if (!source.read_line(line))
            return false;
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string chunk;
        if (!source.read_bytes(size + 2, chunk))
            return false;
        if (size == 0)
            return true;
        body += chunk.substr(0, size);
    }
}

call_answer call(const arguments& args, const std::string& ip, int port, const std::string& path)
{
    call_answer answer;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int timeout_ms = std::stoi(args.at("timeout-ms"));
    const timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const sockaddr_in address = make_address(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        std::string body = find_or_empty(args, "body");
        if (const std::string file = find_or_empty(args, "body-file"); !file.empty())
            body = read_file(file);
        std::string request = args.at("method") + " " + path + " HTTP/1.1\r\n";
        std::istringstream headers(args.at("headers"));
        for (std::string line; std::getline(headers, line);)
            request += line + "\r\n";
        if (!body.empty())
            request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        send_all(fd, request + "\r\n" + body);
        message_source source(fd);
        answer.is_whole = source.read(answer.head);
        const auto coding = answer.head.headers.find("transfer-encoding");
        if (answer.is_whole && coding != answer.head.headers.end())
            answer.is_whole = read_chunks(source, answer.head.body);
    }
    ::close(fd);
    return answer;
}

/// Prints the answer. Returns whether it is whole.
bool run_call(const arguments& args)
{
    constexpr int max_redirections = 2;
    std::string ip = args.at("ip");
    int port = std::stoi(args.at("port"));
    std::string path = args.at("path");
    call_answer answer = call(args, ip, port, path);
    for (int n = 0; n < max_redirections; ++n) {
        const std::string location = answer.head.headers["location"];
        constexpr std::string_view scheme = "http://";
        const auto colon = location.find(':', scheme.size());
        const auto slash = location.find('/', scheme.size());
        if (!location.starts_with(scheme) || colon == std::string::npos ||
            slash == std::string::npos)
            break;
        ip = location.substr(scheme.size(), colon - scheme.size());
        port = std::atoi(location.c_str() + colon + 1);
        path = location.substr(slash);
        answer = call(args, ip, port, path);
    }
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_length = 3;
    const std::string& line = answer.head.first_line;
    std::cout << (line.size() > status_at ? line.substr(status_at, status_length) : "000") << " "
              << answer.head.body << std::endl;
    return answer.is_whole;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int failure = 2;
    if (argc < 2)
        return failure;
    std::signal(SIGPIPE, SIG_IGN);
    arguments args;
    for (int n = 2; n + 1 < argc; n += 2)
        args[std::string(argv[n]).substr(2)] = argv[n + 1];
    const std::string mode = argv[1];
    if (mode == "call")
        return run_call(args) ? 0 : 1;
    record_file record(args.at("record"));
    if (mode == "platform")
        run_platform<worker>(args, "plain-", record);
    else if (mode == "engines")
        run_platform<engine>(args, "engine-", record);
    else if (mode == "clients")
        run_clients(args, record);
    else
        return failure;
    return 0;
}
