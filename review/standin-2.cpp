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

/// Accepts connections in a thread of its own, and answers each request on them by the function.
template <class Answer>
bool serve(const std::string& address, Answer answer)
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
                for (std::string head = read_message(fd, buf); !head.empty();
                     head = read_message(fd, buf)) {
                    const std::string text = answer(head);
                    if (!send_all(fd, text) || find_header(text, "Connection") == "close")
                        break;
                }
                ::close(fd);
            }).detach();
        }
    }).detach();
    return true;
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

/// Sends the request and prints the status and the value of Location. Returns the body.
std::string exchange(const std::string& address, const std::string& timeout_text,
                     const std::string& request)
{
    int timeout_ms = 0;
    std::from_chars(timeout_text.data(), timeout_text.data() + timeout_text.size(), timeout_ms);
    const timeval timeout{timeout_ms / 1'000, (timeout_ms % 1'000) * 1'000};
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const sockaddr_in remote = parse_address(address);
    std::string buf;
    std::string head;
    std::string body;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) == 0 &&
        send_all(fd, request))
        head = read_message(fd, buf, &body);
    ::close(fd);
    constexpr std::size_t status_at = 9; // behind "HTTP/1.1 "
    std::cout << (head.empty() ? "0" : head.substr(status_at, 3)) << " "
              << find_header(head, "Location") << "\n";
    return body;
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
    if (verb == "serve" && rest.size() >= serve_args)
        return run_servers(rest);
    if (verb == "send" && rest.size() >= send_args)
        return send_request(rest);
    if (verb == "get" && rest.size() == get_args)
        return get(rest);
    if (verb == "now") {
        std::cout << now_ms() << "\n";
        return 0;
    }
    std::cerr << "usage: standin-2 serve|send|get|now ...\n";
    return 2;
}
