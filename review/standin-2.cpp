// Stand-ins of the second review, in one program.
//
// serve LIST_ADDRESS LIST_FILE RUN_FILE [WORKER_ADDRESS=INSTANCE]...
//   Serves the platform's list of workers and some workers of a plain service. GET /instances is
//   answered with the present content of LIST_FILE, or of LIST_FILE.TOKEN if a page-token is named.
//   While there is a file LIST_FILE.close, each of these answers has "Connection: close", and the
//   connection is closed behind it. A worker answers a request that names another
//   instance with 421 and runs all others: it adds a line to RUN_FILE (milliseconds since the
//   epoch, instance, request id) and answers with 200.
// send ADDRESS TIMEOUT_MS METHOD PATH BODY_FILE [HEADER]...
//   Sends one request on a new connection; BODY_FILE may be "-" for none. Prints the status (0: no
//   answer) and the value of Location, if there is one.
// get ADDRESS TIMEOUT_MS PATH ANSWER_FILE
//   As send, with GET and without headers; writes the body of the answer to ANSWER_FILE.
// engine ADDRESS INSTANCE RUN_FILE CRASH_MS
//   A worker of a service of engines: answers with a stream of 70 events, one each 100 ms, behind
//   the Last-Event-Id if there is one. RUN_FILE as above. A request whose path has "/poison" ends
//   the process when it has run for CRASH_MS.
// stream ADDRESS TIMEOUT_MS PATH BODY_FILE [HEADER]...
//   Sends a POST and reads the stream to its end. Prints the status, the number of events and
//   whether the stream is whole (1) or not (0).
// now
//   Prints the milliseconds since the epoch.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <charconv>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace {

/// Time that a worker works on a request.
constexpr std::chrono::milliseconds work_time{40};

std::int64_t now_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

std::string read_file(const std::string& name)
{
    std::ifstream in(name, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

sockaddr_in parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

bool send_all(int fd, std::string_view data)
{
    while (!data.empty()) {
        const ssize_t n = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/// Reads more bytes; false at the end of the connection.
bool receive_more(int fd, std::string& buf)
{
    char part[16 * 1024];
    const ssize_t n = ::recv(fd, part, sizeof part, 0);
    if (n <= 0)
        return false;
    buf.append(part, static_cast<std::size_t>(n));
    return true;
}

/// Returns the value of a header, without regard to case; empty if there is none.
std::string find_header(const std::string& head, const std::string& name)
{
    const auto lower = [](std::string text) {
        for (char& c : text)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return text;
    };
    const auto at = lower(head).find("\r\n" + lower(name) + ":");
    if (at == std::string::npos)
        return "";
    auto first = at + 2 + name.size() + 1;
    while (first < head.size() && head[first] == ' ')
        first += 1;
    return head.substr(first, head.find("\r\n", first) - first);
}

/// Reads one message with a length, or without a body. Returns its head, empty at the end.
std::string read_message(int fd, std::string& buf, std::string* body = nullptr)
{
    constexpr std::string_view blank_line = "\r\n\r\n";
    while (buf.find(blank_line) == std::string::npos) {
        if (!receive_more(fd, buf))
            return "";
    }
    std::string head = buf.substr(0, buf.find(blank_line) + blank_line.size());
    buf.erase(0, head.size());
    const std::string length_text = find_header(head, "Content-Length");
    std::size_t length = 0;
    std::from_chars(length_text.data(), length_text.data() + length_text.size(), length);
    while (buf.size() < length) {
        if (!receive_more(fd, buf))
            return "";
    }
    if (body != nullptr)
        *body = buf.substr(0, length);
    buf.erase(0, length);
    return head;
}

/// Returns a dot and the page-token of a request for the list; empty for the first page.
std::string page_suffix(const std::string& head)
{
    constexpr std::string_view name = "page-token=";
    const auto at = head.find(name);
    if (at == std::string::npos)
        return "";
    const auto first = at + name.size();
    return "." + head.substr(first, head.find_first_of(" &", first) - first);
}

std::string make_answer(const std::string& status, const std::string& fields,
                        const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections in a thread of its own. The function answers a request on its connection and
/// returns whether the connection goes on.
template <class Answer>
bool serve_connections(const std::string& address, Answer answer)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = parse_address(address);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 ||
        ::listen(listener, 128) != 0) {
        std::cerr << "standin-2: can't listen on " << address << "\n";
        return false;
    }
    std::thread([listener, answer] {
        for (int fd = ::accept(listener, nullptr, nullptr); fd >= 0;
             fd = ::accept(listener, nullptr, nullptr)) {
            std::thread([fd, answer] {
                std::string buf;
                for (std::string head = read_message(fd, buf); !head.empty() && answer(fd, head);
                     head = read_message(fd, buf)) {
                }
                ::close(fd);
            }).detach();
        }
    }).detach();
    return true;
}

/// As serve_connections; the function returns the whole answer.
template <class Answer>
bool serve(const std::string& address, Answer answer)
{
    return serve_connections(address, [answer](int fd, const std::string& head) {
        const std::string text = answer(head);
        return send_all(fd, text) && find_header(text, "Connection") != "close";
    });
}

int run_servers(const std::vector<std::string>& args)
{
    static std::mutex runs_mutex;
    const std::string& list_file = args[1];
    const std::string& run_file = args[2];
    bool is_open = serve(args[0], [list_file](const std::string& head) {
        const bool closes = std::ifstream(list_file + ".close").good();
        return make_answer("200 OK",
                           std::string("Content-Type: application/json\r\n") +
                               (closes ? "Connection: close\r\n" : ""),
                           read_file(list_file + page_suffix(head)));
    });
    for (std::size_t n = 3; n < args.size() && is_open; ++n) {
        const auto eq = args[n].find('=');
        const std::string instance = args[n].substr(eq + 1);
        is_open = serve(args[n].substr(0, eq), [run_file, instance](const std::string& head) {
            const std::string id = find_header(head, "Bluebellproxy-Request-Id");
            std::string fields = "Bluebellproxy-Request-Id: " + id + "\r\n";
            if (find_header(head, "Bluebellproxy-Expect-Instance") != instance)
                return make_answer("421 Misdirected Request",
                                   fields + "Bluebellproxy-Not-Executed: 1\r\n", "");
            {
                const std::lock_guard guard(runs_mutex);
                std::ofstream(run_file, std::ios::app)
                    << now_ms() << " " << instance << " " << id << "\n";
            }
            std::this_thread::sleep_for(work_time);
            fields += "Bluebellproxy-Server-Stamp: stamp." + instance +
                      "\r\nBluebellproxy-Server-Load: 1,0,6\r\n";
            return make_answer("200 OK", fields, "run by " + instance + "\n");
        });
    }
    if (!is_open)
        return 2;
    ::pause();
    return 0;
}

/// Connects with this time limit on each call; -1 if that fails.
int connect_to(const std::string& address, const std::string& timeout_text)
{
    int timeout_ms = 0;
    std::from_chars(timeout_text.data(), timeout_text.data() + timeout_text.size(), timeout_ms);
    const timeval timeout{timeout_ms / 1'000, (timeout_ms % 1'000) * 1'000};
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const sockaddr_in remote = parse_address(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) == 0)
        return fd;
    ::close(fd);
    return -1;
}

/// Sends the request and prints the status and the value of Location. Returns the body.
std::string exchange(const std::string& address, const std::string& timeout_text,
                     const std::string& request)
{
    const int fd = connect_to(address, timeout_text);
    std::string buf;
    std::string head;
    std::string body;
    if (fd >= 0 && send_all(fd, request))
        head = read_message(fd, buf, &body);
    ::close(fd);
    constexpr std::size_t status_at = 9; // behind "HTTP/1.1 "
    std::cout << (head.empty() ? "0" : head.substr(status_at, 3)) << " "
              << find_header(head, "Location") << "\n";
    return body;
}

/// Sends the events of a stream as chunks; ends the process on the way if the request is poison.
void run_stream(int fd, const std::string& head, int crash_ms)
{
    constexpr int last_event = 70;
    constexpr std::chrono::milliseconds event_interval{100};
    const std::string last_text = find_header(head, "Last-Event-Id");
    int event = 0;
    std::from_chars(last_text.data(), last_text.data() + last_text.size(), event);
    const bool is_poison = head.substr(0, head.find("\r\n")).find("/poison") != std::string::npos;
    const std::int64_t began_at = now_ms();
    while (event < last_event) {
        event += 1;
        const std::string text = "id: " + std::to_string(event) + "\ndata: e\n\n";
        std::ostringstream chunk;
        chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
        if (!send_all(fd, chunk.str()))
            return;
        std::this_thread::sleep_for(event_interval);
        if (is_poison && now_ms() - began_at >= crash_ms)
            ::_exit(1);
    }
    (void)send_all(fd, "0\r\n\r\n");
}

int run_engine(const std::vector<std::string>& args)
{
    int crash_ms = 0;
    std::from_chars(args[3].data(), args[3].data() + args[3].size(), crash_ms);
    const std::string& instance = args[1];
    const std::string& run_file = args[2];
    const bool is_open = serve_connections(args[0], [instance, run_file,
                                                     crash_ms](int fd, const std::string& head) {
        const std::string id = find_header(head, "Bluebellproxy-Request-Id");
        const std::string id_field = "Bluebellproxy-Request-Id: " + id + "\r\n";
        if (find_header(head, "Bluebellproxy-Expect-Instance") != instance)
            return send_all(fd, make_answer("421 Misdirected Request",
                                            id_field + "Bluebellproxy-Not-Executed: 1\r\n", ""));
        std::ofstream(run_file, std::ios::app) << now_ms() << " " << instance << " " << id << "\n";
        if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + id_field +
                              "Bluebellproxy-Server-Stamp: stamp." + instance +
                              "\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        run_stream(fd, head, crash_ms);
        return true;
    });
    if (!is_open)
        return 2;
    ::pause();
    return 0;
}

int read_stream(const std::vector<std::string>& args)
{
    const std::string body = read_file(args[3]);
    std::string request = "POST " + args[2] + " HTTP/1.1\r\n";
    for (std::size_t n = 4; n < args.size(); ++n)
        request += args[n] + "\r\n";
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const int fd = connect_to(args[0], args[1]);
    std::string answer;
    constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";
    const auto is_whole = [&] { return answer.ends_with(last_chunk); };
    const auto has_error = [&] {
        return answer.find("\r\n\r\n") != std::string::npos &&
               answer.find("chunked") == std::string::npos;
    };
    if (fd >= 0 && send_all(fd, request)) {
        while (!is_whole() && !has_error() && receive_more(fd, answer)) {
        }
    }
    ::close(fd);
    int events = 0;
    for (auto at = answer.find("\nid: "); at != std::string::npos;
         at = answer.find("\nid: ", at + 1))
        events += 1;
    constexpr std::size_t status_at = 9; // behind "HTTP/1.1 "
    std::cout << (answer.size() < status_at ? "0" : answer.substr(status_at, 3)) << " " << events
              << " " << (is_whole() ? 1 : 0) << "\n";
    return 0;
}

int send_request(const std::vector<std::string>& args)
{
    const std::string body = args[4] == "-" ? "" : read_file(args[4]);
    std::string request = args[2] + " " + args[3] + " HTTP/1.1\r\n";
    for (std::size_t n = 5; n < args.size(); ++n)
        request += args[n] + "\r\n";
    if (args[4] != "-")
        request +=
            "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n";
    exchange(args[0], args[1], request + "\r\n" + body);
    return 0;
}

int get(const std::vector<std::string>& args)
{
    const std::string body =
        exchange(args[0], args[1], "GET " + args[2] + " HTTP/1.1\r\nHost: " + args[0] + "\r\n\r\n");
    std::ofstream(args[3], std::ios::binary) << body;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> args(argv + 1, argv + argc);
    const std::string verb = args.empty() ? "" : args[0];
    const std::vector<std::string> rest(args.begin() + (args.empty() ? 0 : 1), args.end());
    constexpr std::size_t serve_args = 3;
    constexpr std::size_t send_args = 5;
    constexpr std::size_t get_args = 4;
    constexpr std::size_t engine_args = 4;
    constexpr std::size_t stream_args = 4;
    if (verb == "serve" && rest.size() >= serve_args)
        return run_servers(rest);
    if (verb == "send" && rest.size() >= send_args)
        return send_request(rest);
    if (verb == "get" && rest.size() == get_args)
        return get(rest);
    if (verb == "engine" && rest.size() == engine_args)
        return run_engine(rest);
    if (verb == "stream" && rest.size() >= stream_args)
        return read_stream(rest);
    if (verb == "now") {
        std::cout << now_ms() << "\n";
        return 0;
    }
    std::cerr << "usage: standin-2 serve|send|get|engine|stream|now ...\n";
    return 2;
}
