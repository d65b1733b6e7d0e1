// Concurrent callers, operators and observers of one run; writes down what each was told.

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
constexpr int poll_gap_ms = 150;
constexpr int most_sends = 8;

struct place {
    std::string host;
    std::uint16_t port = 0;
};

std::vector<place> places(const std::string& text)
{
    std::vector<place> all;
    std::istringstream in(text);
    for (std::string w; in >> w;) {
        const auto colon = w.rfind(':');
        all.push_back(
            {w.substr(0, colon), static_cast<std::uint16_t>(std::stoi(w.substr(colon + 1)))});
    }
    return all;
}

/// Everything that the actors share.
struct client {
    event_base* base = nullptr;
    std::mt19937_64 random;
    std::ofstream out;
    std::vector<place> routers;
    std::vector<place> controls;
    std::vector<place> nodes;
    std::string token;
    std::string run;
    std::int64_t last_start = 0; ///< no new work after this time
    std::uint64_t made = 0;

    void write(const entry& e) { out << history::to_line(e) << std::endl; }
    const place& any(const std::vector<place>& from) { return from[random() % from.size()]; }
    bool over() const { return history::now_us() >= last_start; }

    void later(int ms, std::function<void()> action)
    {
        auto* f = new std::function<void()>(std::move(action));
        const timeval tv{ms / 1000, (ms % 1000) * 1000};
        event_base_once(
            base, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* self) {
                const std::unique_ptr<std::function<void()>> g(
                    static_cast<std::function<void()>*>(self));
                (*g)();
            },
            f, &tv);
    }
};

struct reply {
    int status = 0; ///< 0: no whole answer
    std::string body;
};
using on_reply = std::function<void(const reply&)>;

/// One request on a connection of its own; owns itself until its callback.
struct exchange {
    evhttp_connection* conn = nullptr;
    on_reply done;
};

void ask(client& c, const place& at, const std::string& path, const std::string& body,
         const std::map<std::string, std::string>& headers, int timeout_s, on_reply done)
{
    auto* x = new exchange{evhttp_connection_base_new(c.base, nullptr, at.host.c_str(), at.port),
                           std::move(done)};
    evhttp_connection_set_timeout(x->conn, timeout_s);
    evhttp_connection_free_on_completion(x->conn);
    evhttp_request* r = evhttp_request_new(
        [](evhttp_request* request, void* self) {
            const std::unique_ptr<exchange> mine(static_cast<exchange*>(self));
            reply got;
            if (request != nullptr) {
                got.status = evhttp_request_get_response_code(request);
                evbuffer* buf = evhttp_request_get_input_buffer(request);
                got.body.resize(evbuffer_get_length(buf));
                evbuffer_remove(buf, got.body.data(), got.body.size());
            }
            mine->done(got);
        },
        x);
    auto* h = evhttp_request_get_output_headers(r);
    evhttp_add_header(h, "Host", at.host.c_str());
    evhttp_add_header(h, "Connection", "close");
    for (const auto& [name, value] : headers)
        evhttp_add_header(h, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
    if (evhttp_make_request(x->conn, r, body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                            path.c_str()) != 0) {
        const on_reply failed = x->done;
        delete x;
        failed({});
    }
}

std::string outcome_of(const reply& r)
{
    if (r.status == 200)
        return "done";
    const json doc = json::parse(r.body, nullptr, false);
    if (r.status == 0 || !doc.is_object() || !doc.contains("error"))
        return "none";
    return doc["error"].value("outcome", "none");
}

/// Registers claims one after another; each is sent again, through any router, until it is done.
class caller : public std::enable_shared_from_this<caller> {
public:
    static void start(client& c, int number)
    {
        std::shared_ptr<caller> s(new caller(c, number));
        s->next_claim();
    }

private:
    caller(client& c, int number) : client_(c), number_(number) {}

    void next_claim()
    {
        if (client_.over())
            return;
        key_ = client_.run + "-k" + std::to_string(number_) + "-" + std::to_string(++claims_);
        sends_ = 0;
        // Some claims are sent twice at once, through two routers.
        twice_ = client_.random() % 8 == 0;
        send();
        if (twice_)
            send_extra();
    }

    std::string post(const on_reply& done)
    {
        std::string request = client_.run + "-q" + std::to_string(++client_.made);
        ask(client_, client_.any(client_.routers), "/v1/services/lots/claims?" + key_,
            "{\"lot\":7}",
            {{"X-Bluebell-Workspace", "w" + std::to_string(number_ % 4)},
             {"Idempotency-Key", key_},
             {"X-Request-Id", request},
             {"Content-Type", "application/json"}},
            claim_timeout_s, done);
        return request;
    }

    void send()
    {
        sends_ += 1;
        auto request = std::make_shared<std::string>();
        const std::int64_t began = history::now_us();
        *request = post([self = shared_from_this(), request, began](const reply& r) {
            self->told(*request, began, r);
        });
    }

    void send_extra()
    {
        auto request = std::make_shared<std::string>();
        const std::int64_t began = history::now_us();
        *request = post([self = shared_from_this(), request, began, key = key_](const reply& r) {
            self->record(key, *request, began, r);
        });
    }

    void record(const std::string& key, const std::string& request, std::int64_t began,
                const reply& r)
    {
        entry e;
        e.kind = "claim";
        e.call = began;
        e.end = history::now_us();
        e.key = key;
        e.request = request;
        e.outcome = outcome_of(r);
        e.body = r.status == 200 ? r.body : "";
        client_.write(e);
    }

    void told(const std::string& request, std::int64_t began, const reply& r)
    {
        record(key_, request, began, r);
        const bool done = r.status == 200;
        const bool resend = done ? client_.random() % 8 == 0 && sends_ < most_sends
                                 : sends_ < most_sends && !client_.over();
        client_.later(done ? 5 : 150, [self = shared_from_this(), resend] {
            if (resend)
                self->send();
            else
                self->next_claim();
        });
    }

    client& client_;
    int number_;
    int claims_ = 0;
    int sends_ = 0;
    bool twice_ = false;
    std::string key_;
};

/// Changes one default again and again, from the newest revision it can read; resends what got no
/// answer with the same operation.
class operator_actor : public std::enable_shared_from_this<operator_actor> {
public:
    static void start(client& c, int number)
    {
        std::shared_ptr<operator_actor> s(new operator_actor(c, number));
        s->read();
    }

private:
    operator_actor(client& c, int number) : client_(c), number_(number) {}

    std::map<std::string, std::string> headers() const
    {
        return {{"Authorization", "Bearer " + client_.token}};
    }

    void read()
    {
        if (client_.over())
            return;
        ask(client_, client_.any(client_.controls), "/v1/config", "", headers(), poll_timeout_s,
            [self = shared_from_this()](const reply& r) { self->propose(r); });
    }

    void propose(const reply& r)
    {
        const json now = json::parse(r.body, nullptr, false);
        if (r.status != 200 || !now.is_object() || !now.contains("revision")) {
            again();
            return;
        }
        operation_ = client_.run + "-op" + std::to_string(number_) + "-" + std::to_string(++made_);
        json body{{"operation", operation_},
                  {"made_from", now["revision"]},
                  {"why", "a race"},
                  {"defaults", now["defaults"]},
                  {"exceptions", now["exceptions"]}};
        body["defaults"]["load_bound_permille"] = std::to_string(1200 + client_.random() % 200);
        body_ = body.dump();
        sends_ = 0;
        send();
    }

    void send()
    {
        sends_ += 1;
        const std::int64_t began = history::now_us();
        ask(client_, client_.any(client_.controls), "/v1/config", body_, headers(),
            change_timeout_s,
            [self = shared_from_this(), began](const reply& r) { self->told(began, r); });
    }

    void told(std::int64_t began, const reply& r)
    {
        const json doc = json::parse(r.body, nullptr, false);
        entry e;
        e.kind = "change";
        e.call = began;
        e.end = history::now_us();
        e.key = operation_;
        const bool accepted = r.status == 200 && doc.is_object() && doc.contains("revision");
        const bool refused = r.status == 409 || r.status == 400;
        e.outcome = accepted ? "accepted" : refused ? "refused" : "none";
        e.revision = accepted ? doc["revision"].get<std::uint64_t>() : 0;
        client_.write(e);
        if (!accepted && !refused && sends_ < most_sends && !client_.over())
            client_.later(100, [self = shared_from_this()] { self->send(); });
        else
            again();
    }

    void again()
    {
        client_.later(50, [self = shared_from_this()] { self->read(); });
    }

    client& client_;
    int number_;
    int made_ = 0;
    int sends_ = 0;
    std::string operation_;
    std::string body_;
};

/// Reads a node's revision and lease again and again.
void observe(client& c, std::size_t n)
{
    if (c.over())
        return;
    const std::int64_t began = history::now_us();
    ask(c, c.nodes[n], "/v1/status", "", {{"Authorization", "Bearer " + c.token}}, poll_timeout_s,
        [&c, n, began](const reply& r) {
            const json doc = json::parse(r.body, nullptr, false);
            if (r.status == 200 && doc.is_object()) {
                entry e;
                e.kind = "poll";
                e.call = began;
                e.end = history::now_us();
                e.node = doc.value("node", "");
                e.revision = std::stoull(doc.value("config_revision", "0"));
                e.serves = std::stoll(doc.value("lease_left_ms", "0")) > 0;
                c.write(e);
            }
            c.later(poll_gap_ms, [&c, n] { observe(c, n); });
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
    client c;
    c.base = event_base_new();
    c.random.seed(args["seed"].as<std::uint64_t>());
    c.out.open(args["out"].as<std::string>(), std::ios::app);
    c.routers = places(args["routers"].as<std::string>());
    c.controls = places(args["controls"].as<std::string>());
    c.nodes = places(args["nodes"].as<std::string>());
    c.token = args["token"].as<std::string>();
    c.run = args["run"].as<std::string>();
    const int run_s = args["seconds"].as<int>();
    c.last_start = history::now_us() + std::int64_t{1'000'000} * run_s;
    for (int i = 0; i < args["callers"].as<int>(); ++i)
        caller::start(c, i);
    for (int i = 0; i < args["operators"].as<int>(); ++i)
        operator_actor::start(c, i);
    for (std::size_t n = 0; n < c.nodes.size(); ++n)
        observe(c, n);
    const timeval life{run_s + change_timeout_s + 1, 0};
    event_base_loopexit(c.base, &life);
    event_base_dispatch(c.base);
    return EXIT_SUCCESS;
}
