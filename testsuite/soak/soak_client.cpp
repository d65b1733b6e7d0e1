// Callers and one operator that check the fleet's promises while faults go on, from what they see
// themselves and what the workers say ran. Every violation is one line on standard output.

#include <arpa/inet.h>
#include <cxxopts.hpp>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Longest wait of a caller; routes of the soak have shorter limits.
constexpr milliseconds caller_patience{4'000};
/// Longest wait for an operator's call.
constexpr milliseconds operator_patience{2'500};
/// An acknowledged table is in force everywhere after this (config-apply-ms).
constexpr milliseconds apply_time{2'000};
constexpr int caller_count = 12;
/// After the faults: the time in which everything must work again (recover-s).
constexpr milliseconds recovery_time{15'000};
/// Most workers that a request may reach: the routes' attempts.
constexpr int most_runs = 3;

struct address {
    std::string ip;
    std::uint16_t port = 0;
};

std::vector<address> parse_addresses(const std::string& text)
{
    std::vector<address> all;
    std::istringstream in(text);
    for (std::string one; in >> one;) {
        const auto colon = one.find(':');
        all.push_back(
            {one.substr(0, colon), static_cast<std::uint16_t>(std::stoi(one.substr(colon + 1)))});
    }
    return all;
}

/// A blocking connection with a deadline on every step.
class connection {
public:
    connection() = default;
    connection(connection&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    connection& operator=(connection&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~connection()
    {
        if (fd_ >= 0)
            ::close(fd_);
    }

    static connection open(const address& to)
    {
        connection c;
        c.fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(to.port);
        ::inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
        if (::connect(c.fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
            return {};
        return c;
    }

    [[nodiscard]] bool is_open() const { return fd_ >= 0; }

    bool send(const std::string& text) const
    {
        return ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(text.size());
    }

    /// Adds what comes next; false at the close or the deadline.
    bool receive(std::string& text, steady_clock::time_point deadline) const
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
        pollfd wait{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        char buf[16 * 1024];
        const ssize_t n = ::recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        text.append(buf, static_cast<std::size_t>(n));
        return true;
    }

private:
    int fd_ = -1;
};

struct answer {
    int status = 0; ///< 0: none came
    std::map<std::string, std::string> fields;
    std::string body;
    bool whole = false; ///< by its own framing
    std::string rest;   ///< bytes behind it
};

/// Takes chunks off `raw` into the body; true at the last one.
bool take_chunks(std::string& raw, std::string& body)
{
    for (;;) {
        const auto line = raw.find("\r\n");
        if (line == std::string::npos)
            return false;
        const std::size_t size = std::stoul(raw.substr(0, line), nullptr, 16);
        if (raw.size() < line + 2 + size + 2)
            return false;
        body += raw.substr(line + 2, size);
        raw.erase(0, line + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

bool take_head(std::string& raw, answer& a)
{
    const auto end = raw.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    std::istringstream head(raw.substr(0, end));
    std::string line;
    std::getline(head, line);
    a.status = line.size() > 12 ? std::atoi(line.c_str() + 9) : -1;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        if (colon != std::string::npos)
            a.fields[name] = line.substr(colon + 2);
    }
    raw.erase(0, end + 4);
    return true;
}

answer read_answer(const connection& from, steady_clock::time_point deadline)
{
    answer a;
    std::string raw;
    while (a.status == 0 && !take_head(raw, a)) {
        if (!from.receive(raw, deadline))
            return a;
    }
    const auto length = a.fields.find("content-length");
    const std::size_t wanted = length == a.fields.end() ? 0 : std::stoul(length->second);
    for (;;) {
        a.whole = length != a.fields.end() ? raw.size() >= wanted : take_chunks(raw, a.body);
        if (a.whole || !from.receive(raw, deadline))
            break;
    }
    if (length != a.fields.end()) {
        a.body = raw.substr(0, wanted);
        raw.erase(0, std::min(raw.size(), wanted));
    }
    a.rest = raw;
    return a;
}

enum class kind { safe, unsafe, resumable, once };

struct sent_request {
    kind what = kind::safe;
    int status = 0;
};

/// What all threads share.
class witness {
public:
    void violate(const std::string& what)
    {
        const std::lock_guard guard(lock_);
        std::cout << "VIOLATION " << what << std::endl;
        violations_ += 1;
    }
    void note(const std::string& id, const sent_request& what)
    {
        const std::lock_guard guard(lock_);
        sent_[id] = what;
    }
    [[nodiscard]] const std::map<std::string, sent_request>& sent() const { return sent_; }
    [[nodiscard]] std::map<int, int> by_status() const
    {
        std::map<int, int> all;
        for (const auto& [id, what] : sent_)
            all[what.status] += 1;
        return all;
    }
    [[nodiscard]] int violations() const { return violations_; }

private:
    std::mutex lock_;
    std::map<std::string, sent_request> sent_;
    int violations_ = 0;
};

std::string events(int first, int last)
{
    std::string text;
    for (int n = first; n <= last; ++n)
        text += "id: " + std::to_string(n) + "\ndata: e" + std::to_string(n) + "\n\n";
    return text;
}

/// One caller: requests one after the other, on kept and on new connections.
class caller {
public:
    caller(witness& seen, std::vector<address> fronts, std::string name, std::uint64_t seed)
        : seen_(seen), fronts_(std::move(fronts)), name_(std::move(name)), random_(seed)
    {
    }

    void run(steady_clock::time_point end)
    {
        while (steady_clock::now() < end) {
            ask(fronts_[pick(fronts_.size())]);
            std::this_thread::sleep_for(milliseconds(pick(60)));
        }
    }

    /// Sends one request to this front; its status.
    int ask(const address& front)
    {
        const auto what = static_cast<kind>(pick(4));
        const std::string id = name_ + "-" + std::to_string(++count_);
        const int length = static_cast<int>(1 + pick(40));
        const bool kept = kept_.is_open() && kept_to_.ip == front.ip &&
                          kept_to_.port == front.port && pick(3) != 0;
        if (!kept)
            kept_ = connection::open(front);
        kept_to_ = front;
        sent_request done{what, 0};
        seen_.note(id, done);
        if (!kept_.is_open() || !kept_.send(text_of(what, id, length))) {
            kept_ = {};
            return 0;
        }
        const answer a = read_answer(kept_, steady_clock::now() + caller_patience);
        check(what, id, length, a);
        done.status = a.status;
        seen_.note(id, done);
        const auto closes = a.fields.find("connection");
        if (!a.whole || closes != a.fields.end())
            kept_ = {};
        return a.status;
    }

private:
    std::size_t pick(std::size_t bound) { return random_() % bound; }

    [[nodiscard]] static std::string path_of(kind what, int length)
    {
        const std::string n = std::to_string(length);
        switch (what) {
        case kind::safe:
            return "/safe/" + n;
        case kind::unsafe:
            return "/unsafe/" + n;
        case kind::resumable:
            return n.back() == '7' ? "/stream/cut/" + n : "/stream/" + n;
        case kind::once:
            return "/once/" + n;
        }
        return "";
    }

    std::string text_of(kind what, const std::string& id, int length)
    {
        const bool posts = what != kind::safe;
        std::string text = std::string(posts ? "POST " : "GET ") + path_of(what, length) +
                           " HTTP/1.1\r\nHost: h\r\nBluebellproxy-Request-Id: " + id +
                           "\r\nBluebellproxy-Credential: key1\r\n"
                           "Bluebellproxy-Request-Timeout-Ms: 3000\r\n";
        if (!posts)
            return text + "\r\n";
        const std::string body(pick(20'000), 'b');
        if (pick(2) == 0)
            return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::ostringstream size;
        size << std::hex << body.size();
        text += "Transfer-Encoding: chunked\r\n\r\n";
        if (!body.empty())
            text += size.str() + "\r\n" + body + "\r\n";
        return text + "0\r\n\r\n";
    }

    void check(kind what, const std::string& id, int length, const answer& a)
    {
        const auto bad = [&](const std::string& why) {
            seen_.violate(why + " request=" + id + " status=" + std::to_string(a.status));
        };
        if (!a.rest.empty())
            bad("bytes behind the answer");
        if (a.status == 0)
            return;
        const auto answered = a.fields.find("bluebellproxy-request-id");
        if (answered != a.fields.end() && answered->second != id)
            bad("the answer of another request: " + answered->second);
        const bool success = a.status >= 200 && a.status < 300;
        if (a.status == 400 || a.status == 401 || a.status == 404)
            bad("denied");
        if (!success)
            return;
        if (!a.fields.contains("bluebellproxy-server-stamp"))
            bad("a success without a worker's stamp");
        const bool stream = what == kind::resumable || what == kind::once;
        const std::string wanted = stream ? events(1, length)
                                          : std::string(what == kind::safe ? "GET " : "POST ") +
                                                path_of(what, length) + " for lenas\n";
        if (a.whole ? a.body != wanted : !wanted.starts_with(a.body))
            bad("not the worker's bytes");
    }

    witness& seen_;
    std::vector<address> fronts_;
    std::string name_;
    std::mt19937_64 random_;
    std::uint64_t count_ = 0;
    connection kept_;
    address kept_to_;
};

/// The operator: ever newer tables, and reads that may never show an older one than acknowledged.
class table_operator {
public:
    table_operator(witness& seen, std::vector<address> controls, std::uint64_t seed)
        : seen_(seen), controls_(std::move(controls)), random_(seed)
    {
    }

    static std::string table(int version)
    {
        const auto route = [](const std::string& name, const std::string& more) {
            return R"({"name":")" + name + R"(","host":"h","path-prefix":"/)" + name + "/\"," +
                   more + "}";
        };
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
               route("safe", R"("kind":"safe","timeout-ms":2000,"service":"plain","attempts":3)") +
               "," + route("unsafe", R"("kind":"unsafe","timeout-ms":2000,"service":"plain")") +
               "," +
               route("stream", R"("kind":"streaming","timeout-ms":3000,"service":"engine",)"
                               R"("attempts":3,"stream-resume":true)") +
               "," +
               route("once", R"("kind":"streaming","timeout-ms":3000,"service":"engine",)"
                             R"("attempts":3)") +
               "," +
               route("v" + std::to_string(version),
                     R"("kind":"safe","timeout-ms":2000,"service":"plain")") +
               R"(],"services":[{"name":"plain"},{"name":"engine","engine":)"
               R"({"slots":4,"kv-capacity-tokens":1000}}],"limits":{},)"
               R"("tenants":[{"name":"lenas","api-keys":["key1"]}]})";
    }

    void run(steady_clock::time_point end)
    {
        while (steady_clock::now() < end) {
            offer();
            read();
            std::this_thread::sleep_for(milliseconds(100 + random_() % 300));
        }
    }

    /// Offers the next version, again until it is acknowledged or the time is over.
    bool offer()
    {
        version_ += 1;
        for (int tries = 0; tries < 5; ++tries) {
            const answer a = call("POST", "/Config.Put", table(version_));
            if (a.status == 200 && a.whole) {
                acknowledged_ = version_;
                return true;
            }
            if (a.status == 400)
                seen_.violate("a valid table was refused: " + a.body);
        }
        return false;
    }

    /// The version that is read; 0 if none came.
    int read()
    {
        const int known = acknowledged_;
        const answer a = call("GET", "/Config.Get", "");
        if (a.status != 200 || !a.whole)
            return 0;
        const auto found = nlohmann::json::parse(a.body, nullptr, false);
        const int version = found.is_discarded() ? -1 : found.value("version", -1);
        if (version < known)
            seen_.violate("an older table was read: " + std::to_string(version) + " after " +
                          std::to_string(known));
        if (version > 0 && a.body != table(version))
            seen_.violate("another content under version " + std::to_string(version));
        return version;
    }

    [[nodiscard]] int acknowledged() const { return acknowledged_; }

private:
    answer call(const std::string& method, const std::string& path, const std::string& body)
    {
        address to = controls_[random_() % controls_.size()];
        const auto deadline = steady_clock::now() + operator_patience;
        answer a;
        for (int hops = 0; hops < 3; ++hops) {
            const connection c = connection::open(to);
            if (!c.is_open() ||
                !c.send(method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\nContent-Type: application/json\r\n\r\n" +
                        body))
                return {};
            a = read_answer(c, deadline);
            if (a.status != 307)
                return a;
            const std::string& where = a.fields["location"];
            const auto host = where.find("//") + 2;
            const auto end = where.find('/', host);
            to = parse_addresses(where.substr(host, end - host)).at(0);
        }
        return a;
    }

    witness& seen_;
    std::vector<address> controls_;
    std::mt19937_64 random_;
    int version_ = 1;
    int acknowledged_ = 0;
};

/// What the workers say ran, against what the callers were told.
void check_runs(witness& seen, const address& workers)
{
    const connection c = connection::open(workers);
    if (!c.is_open() || !c.send("GET /runs HTTP/1.1\r\nHost: w\r\n\r\n")) {
        seen.violate("the workers don't tell what ran");
        return;
    }
    const answer a = read_answer(c, steady_clock::now() + operator_patience);
    std::istringstream in(a.body);
    std::string id;
    int runs = 0;
    while (in >> id >> runs) {
        const auto it = seen.sent().find(id);
        const auto bad = [&](const std::string& why) {
            seen.violate(why + " request=" + id + " runs=" + std::to_string(runs));
        };
        if (it == seen.sent().end()) {
            bad("ran unasked");
            continue;
        }
        const auto& [what, status] = it->second;
        const bool repeatable = what == kind::safe || what == kind::resumable;
        const bool promised = status == 429 || status == 503 || status == 408 || status == 421;
        if (!repeatable && runs > 1)
            bad("ran twice");
        if (!repeatable && promised)
            bad("ran though refused with " + std::to_string(status));
        if (runs > most_runs)
            bad("more runs than attempts");
    }
}

/// After the faults everything works: each front serves, and the newest table is read and served.
void check_recovery(witness& seen, table_operator& op, const std::vector<address>& fronts)
{
    const auto end = steady_clock::now() + recovery_time;
    const int known = op.acknowledged();
    bool offered = false;
    while (!offered && steady_clock::now() < end)
        offered = op.offer();
    if (!offered)
        seen.violate("no table is acknowledged after the faults");
    int version = 0;
    while (version == 0 && steady_clock::now() < end)
        version = op.read();
    if (version < known)
        seen.violate("the acknowledged table " + std::to_string(known) + " is not read back");
    for (const auto& front : fronts) {
        const std::string path = "/v" + std::to_string(op.acknowledged()) + "/x";
        int status = 0;
        for (int n = 0; status != 200 && steady_clock::now() < end; ++n) {
            const connection c = connection::open(front);
            const std::string id = "last-" + std::to_string(front.port) + "-" + std::to_string(n);
            seen.note(id, {kind::safe, 0});
            if (c.is_open() && c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n" +
                                      "Bluebellproxy-Request-Id: " + id +
                                      "\r\nBluebellproxy-Credential: key1\r\n\r\n"))
                status = read_answer(c, steady_clock::now() + caller_patience).status;
            if (status != 200)
                std::this_thread::sleep_for(milliseconds(200));
        }
        if (status != 200)
            seen.violate("a front doesn't serve the newest table: port " +
                         std::to_string(front.port) + " status " + std::to_string(status));
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("soak_client", "Callers and an operator that check the promises.");
    options.add_options()("fronts", "IP:PORT of each router", cxxopts::value<std::string>())(
        "controls", "IP:PORT of each control process", cxxopts::value<std::string>())(
        "workers", "IP:PORT of the stand-in", cxxopts::value<std::string>())(
        "seed", "of all random choices", cxxopts::value<std::uint64_t>())("seconds", "with faults",
                                                                          cxxopts::value<int>())(
        "begun", "a file to make when the faults may begin", cxxopts::value<std::string>())(
        "healed", "a file that appears when the faults are over", cxxopts::value<std::string>());
    const auto args = options.parse(argc, argv);
    const auto fronts = parse_addresses(args["fronts"].as<std::string>());
    const auto seed = args["seed"].as<std::uint64_t>();
    witness seen;
    table_operator op(seen, parse_addresses(args["controls"].as<std::string>()), seed);
    // Callers' routes are in force everywhere before the first caller asks and the first fault
    // comes.
    if (!op.offer()) {
        std::cout << "VIOLATION the first table isn't acknowledged\n";
        return 1;
    }
    std::this_thread::sleep_for(apply_time);
    std::ofstream(args["begun"].as<std::string>()) << "begun\n";
    const auto end = steady_clock::now() + std::chrono::seconds(args["seconds"].as<int>());
    std::vector<std::thread> threads;
    threads.reserve(caller_count + 1);
    for (int n = 0; n < caller_count; ++n)
        threads.emplace_back(
            [&, n] { caller(seen, fronts, "c" + std::to_string(n), seed * 100 + n).run(end); });
    threads.emplace_back([&] { op.run(end); });
    for (auto& t : threads)
        t.join();
    while (::access(args["healed"].as<std::string>().c_str(), F_OK) != 0)
        std::this_thread::sleep_for(milliseconds(50));
    check_recovery(seen, op, fronts);
    check_runs(seen, parse_addresses(args["workers"].as<std::string>()).at(0));
    std::cout << "tables=" << op.acknowledged() << " requests=" << seen.sent().size();
    for (const auto& [status, n] : seen.by_status())
        std::cout << " " << status << ":" << n;
    std::cout << "\n";
    return seen.violations() == 0 ? 0 : 1;
}
