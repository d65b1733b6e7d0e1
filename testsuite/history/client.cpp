// Runs concurrent callers, operators and status pollers and writes the result of each of their
// requests to a history file.

#include "history.h"

#include <cxxopts.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

namespace {

using history::entry;
using nlohmann::json;

constexpr int claim_timeout_s = 5;
constexpr int change_timeout_s = 8;
constexpr int poll_timeout_s = 1;
constexpr int poll_interval_ms = 150;
constexpr int max_sends = 8; ///< of one claim or one change

struct endpoint {
    std::string host;
    std::uint16_t port = 0;
};

/// Parses a list of HOST:PORT, separated by blanks.
std::vector<endpoint> parse_endpoints(const std::string& text)
{
    std::vector<endpoint> endpoints;
    std::istringstream in(text);
    for (std::string word; in >> word;) {
        const auto colon = word.rfind(':');
        endpoints.push_back(
            {word.substr(0, colon), static_cast<std::uint16_t>(std::stoi(word.substr(colon + 1)))});
    }
    return endpoints;
}

/// State that all callers, operators and pollers share. Everything runs on one event loop.
struct run_context {
    event_base* base = nullptr;
    std::mt19937_64 random;
    std::ofstream history_file;
    std::vector<endpoint> routers;
    std::vector<endpoint> controls;
    std::vector<endpoint> nodes;
    std::string token;
    std::string run_name;
    std::int64_t stop_at_us = 0; ///< monotonic clock; nothing new is started after it
    std::uint64_t request_count = 0;

    void write(const entry& e) { history_file << history::to_line(e) << std::endl; }
    const endpoint& pick_any(const std::vector<endpoint>& from)
    {
        return from[random() % from.size()];
    }
    bool is_over() const { return history::now_us() >= stop_at_us; }

    /// Runs the action once, `ms` milliseconds from now.
    void run_after(int ms, std::function<void()> action)
    {
        auto* stored_action = new std::function<void()>(std::move(action));
        const timeval delay{ms / 1000, (ms % 1000) * 1000};
        event_base_once(
            base, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* self) {
                const std::unique_ptr<std::function<void()>> owned_action(
                    static_cast<std::function<void()>*>(self));
                (*owned_action)();
            },
            stored_action, &delay);
    }
};

struct reply {
    int status = 0; ///< 0 if no complete answer was received
    std::string body;
};
using on_reply = std::function<void(const reply&)>;

/// One request on its own connection; evhttp's callback deletes it.
struct exchange {
    evhttp_connection* conn = nullptr;
    on_reply done;
};

/// Sends a GET, or a POST if there is a body. `done` is called once, also on failure or timeout.
void send_request(run_context& c, const endpoint& target, const std::string& path,
                  const std::string& body, const std::map<std::string, std::string>& headers,
                  int timeout_s, on_reply done)
{
    auto* pending =
        new exchange{evhttp_connection_base_new(c.base, nullptr, target.host.c_str(), target.port),
                     std::move(done)};
    evhttp_connection_set_timeout(pending->conn, timeout_s);
    evhttp_connection_free_on_completion(pending->conn);
    evhttp_request* r = evhttp_request_new(
        [](evhttp_request* request, void* self) {
            const std::unique_ptr<exchange> owned(static_cast<exchange*>(self));
            reply result;
            if (request != nullptr) {
                result.status = evhttp_request_get_response_code(request);
                evbuffer* buf = evhttp_request_get_input_buffer(request);
                result.body.resize(evbuffer_get_length(buf));
                evbuffer_remove(buf, result.body.data(), result.body.size());
            }
            owned->done(result);
        },
        pending);
    auto* h = evhttp_request_get_output_headers(r);
    evhttp_add_header(h, "Host", target.host.c_str());
    evhttp_add_header(h, "Connection", "close");
    for (const auto& [name, value] : headers)
        evhttp_add_header(h, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
    if (evhttp_make_request(pending->conn, r, body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                            path.c_str()) != 0) {
        const on_reply failed = pending->done;
        delete pending;
        failed({});
    }
}

/// The outcome as the caller sees it: done, the outcome that an error names, or none.
std::string outcome_of(const reply& r)
{
    if (r.status == 200)
        return "done";
    const json doc = json::parse(r.body, nullptr, false);
    if (r.status == 0 || !doc.is_object() || !doc.contains("error"))
        return "none";
    return doc["error"].value("outcome", "none");
}

/// Registers claims one after another. A claim is sent again with the same key through random
/// routers until it succeeds, was sent max_sends times or the run ends. One successful claim in 8
/// is sent again, too, to check that the answer stays the same.
class caller : public std::enable_shared_from_this<caller> {
public:
    static void start(run_context& c, int number)
    {
        std::shared_ptr<caller> s(new caller(c, number));
        s->next_claim();
    }

private:
    caller(run_context& c, int number) : context_(c), number_(number) {}

    void next_claim()
    {
        if (context_.is_over())
            return;
        key_ = context_.run_name + "-k" + std::to_string(number_) + "-" +
               std::to_string(++claim_count_);
        send_count_ = 0;
        // One claim in 8 is sent twice at the same time, through random routers.
        sends_twice_ = context_.random() % 8 == 0;
        send();
        if (sends_twice_)
            send_duplicate();
    }

    std::string post_claim(const on_reply& done)
    {
        std::string request = context_.run_name + "-q" + std::to_string(++context_.request_count);
        send_request(context_, context_.pick_any(context_.routers),
                     "/v1/services/lots/claims?" + key_, "{\"lot\":7}",
                     {{"X-Bluebell-Workspace", "w" + std::to_string(number_ % 4)},
                      {"Idempotency-Key", key_},
                      {"X-Request-Id", request},
                      {"Content-Type", "application/json"}},
                     claim_timeout_s, done);
        return request;
    }

    void send()
    {
        send_count_ += 1;
        auto request = std::make_shared<std::string>();
        const std::int64_t sent_at = history::now_us();
        *request = post_claim([self = shared_from_this(), request, sent_at](const reply& r) {
            self->handle_reply(*request, sent_at, r);
        });
    }

    void send_duplicate()
    {
        auto request = std::make_shared<std::string>();
        const std::int64_t sent_at = history::now_us();
        *request =
            post_claim([self = shared_from_this(), request, sent_at, key = key_](const reply& r) {
                self->write_claim(key, *request, sent_at, r);
            });
    }

    void write_claim(const std::string& key, const std::string& request, std::int64_t sent_at,
                     const reply& r)
    {
        entry e;
        e.kind = "claim";
        e.call = sent_at;
        e.end = history::now_us();
        e.key = key;
        e.request = request;
        e.outcome = outcome_of(r);
        e.body = r.status == 200 ? r.body : "";
        context_.write(e);
    }

    void handle_reply(const std::string& request, std::int64_t sent_at, const reply& r)
    {
        write_claim(key_, request, sent_at, r);
        const bool done = r.status == 200;
        const bool sends_again = done ? context_.random() % 8 == 0 && send_count_ < max_sends
                                      : send_count_ < max_sends && !context_.is_over();
        context_.run_after(done ? 5 : 150, [self = shared_from_this(), sends_again] {
            if (sends_again)
                self->send();
            else
                self->next_claim();
        });
    }

    run_context& context_;
    int number_;
    int claim_count_ = 0;
    int send_count_ = 0;
    bool sends_twice_ = false;
    std::string key_;
};

/// Changes one default repeatedly: reads the configuration, submits a change of that revision, and
/// sends the change again with the same operation id if no answer was received.
class operator_actor : public std::enable_shared_from_this<operator_actor> {
public:
    static void start(run_context& c, int number)
    {
        std::shared_ptr<operator_actor> s(new operator_actor(c, number));
        s->read();
    }

private:
    operator_actor(run_context& c, int number) : context_(c), number_(number) {}

    std::map<std::string, std::string> headers() const
    {
        return {{"Authorization", "Bearer " + context_.token}};
    }

    void read()
    {
        if (context_.is_over())
            return;
        send_request(context_, context_.pick_any(context_.controls), "/v1/config", "", headers(),
                     poll_timeout_s,
                     [self = shared_from_this()](const reply& r) { self->submit_change(r); });
    }

    void submit_change(const reply& r)
    {
        const json config = json::parse(r.body, nullptr, false);
        if (r.status != 200 || !config.is_object() || !config.contains("revision")) {
            schedule_next();
            return;
        }
        operation_ = context_.run_name + "-op" + std::to_string(number_) + "-" +
                     std::to_string(++operation_count_);
        json body{{"operation", operation_},
                  {"made_from", config["revision"]},
                  {"why", "a race"},
                  {"defaults", config["defaults"]},
                  {"exceptions", config["exceptions"]}};
        body["defaults"]["load_bound_permille"] = std::to_string(1200 + context_.random() % 200);
        body_ = body.dump();
        send_count_ = 0;
        send();
    }

    void send()
    {
        send_count_ += 1;
        const std::int64_t sent_at = history::now_us();
        send_request(context_, context_.pick_any(context_.controls), "/v1/config", body_, headers(),
                     change_timeout_s, [self = shared_from_this(), sent_at](const reply& r) {
                         self->handle_reply(sent_at, r);
                     });
    }

    void handle_reply(std::int64_t sent_at, const reply& r)
    {
        const json doc = json::parse(r.body, nullptr, false);
        entry e;
        e.kind = "change";
        e.call = sent_at;
        e.end = history::now_us();
        e.key = operation_;
        const bool accepted = r.status == 200 && doc.is_object() && doc.contains("revision");
        const bool refused = r.status == 409 || r.status == 400;
        e.outcome = accepted ? "accepted" : refused ? "refused" : "none";
        e.revision = accepted ? doc["revision"].get<std::uint64_t>() : 0;
        context_.write(e);
        if (!accepted && !refused && send_count_ < max_sends && !context_.is_over())
            context_.run_after(100, [self = shared_from_this()] { self->send(); });
        else
            schedule_next();
    }

    void schedule_next()
    {
        context_.run_after(50, [self = shared_from_this()] { self->read(); });
    }

    run_context& context_;
    int number_;
    int operation_count_ = 0;
    int send_count_ = 0;
    std::string operation_;
    std::string body_;
};

/// Reads a node's status at an interval and records its revision and whether its lease is valid.
void poll_node(run_context& c, std::size_t n)
{
    if (c.is_over())
        return;
    const std::int64_t sent_at = history::now_us();
    send_request(c, c.nodes[n], "/v1/status", "", {{"Authorization", "Bearer " + c.token}},
                 poll_timeout_s, [&c, n, sent_at](const reply& r) {
                     const json doc = json::parse(r.body, nullptr, false);
                     if (r.status == 200 && doc.is_object()) {
                         entry e;
                         e.kind = "poll";
                         e.call = sent_at;
                         e.end = history::now_us();
                         e.node = doc.value("node", "");
                         e.revision = std::stoull(doc.value("config_revision", "0"));
                         e.serves = std::stoll(doc.value("lease_left_ms", "0")) > 0;
                         c.write(e);
                     }
                     c.run_after(poll_interval_ms, [&c, n] { poll_node(c, n); });
                 });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("history_client", "Runs callers, operators and observers.");
    auto add = options.add_options();
    const auto text = [] { return cxxopts::value<std::string>(); };
    add("routers", "Callers' ports", text());
    add("controls", "Operators' ports of control replicas", text());
    add("nodes", "Operators' ports of routers and agents", text());
    add("token", "Operator's token", text());
    add("run", "Name of the run, part of all ids", text());
    add("out", "History file", text());
    add("callers", "Callers side by side", cxxopts::value<int>()->default_value("12"));
    add("operators", "Operators side by side", cxxopts::value<int>()->default_value("2"));
    add("seconds", "Time of the run", cxxopts::value<int>()->default_value("10"));
    add("seed", "Seed of all choices", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto args = options.parse(argc, argv);
    run_context c;
    c.base = event_base_new();
    c.random.seed(args["seed"].as<std::uint64_t>());
    c.history_file.open(args["out"].as<std::string>(), std::ios::app);
    c.routers = parse_endpoints(args["routers"].as<std::string>());
    c.controls = parse_endpoints(args["controls"].as<std::string>());
    c.nodes = parse_endpoints(args["nodes"].as<std::string>());
    c.token = args["token"].as<std::string>();
    c.run_name = args["run"].as<std::string>();
    const int run_s = args["seconds"].as<int>();
    c.stop_at_us = history::now_us() + std::int64_t{1'000'000} * run_s;
    for (int i = 0; i < args["callers"].as<int>(); ++i)
        caller::start(c, i);
    for (int i = 0; i < args["operators"].as<int>(); ++i)
        operator_actor::start(c, i);
    for (std::size_t n = 0; n < c.nodes.size(); ++n)
        poll_node(c, n);
    const timeval time_limit{run_s + change_timeout_s + 1, 0};
    event_base_loopexit(c.base, &time_limit);
    event_base_dispatch(c.base);
    return EXIT_SUCCESS;
}
