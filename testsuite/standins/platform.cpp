// Stand-in for the platform: serves its list of workers and runs some workers. Two or more are
// engines, which answer with event streams, and two are plain services, which answer with a short
// text. On demand, workers leave and restart under a new id, or refuse requests for some time, and
// say so in their answers. A request whose path contains /crash/ ends each worker that runs it, and
// one whose prompt has a part named bad ends each engine that has begun to answer it.

#include <bluebell/runtime/http_server.h>

#include <cxxopts.hpp>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <map>
#include <random>

using namespace bluebell;
using runtime::find_header;
using runtime::http_session;
using runtime::message_head;

namespace {

constexpr core::microseconds event_interval{20'000};
/// Time between two decisions of workers to leave or to pause.
constexpr core::microseconds notice_interval{1'500'000};
/// A worker that leaves is listed as draining after this time, and restarts after restart_delay.
constexpr core::microseconds listing_delay{4'000'000};
constexpr core::microseconds restart_delay{6'000'000};
constexpr int max_pause_s = 3;
/// A worker that a request has ended comes back after this time.
constexpr core::microseconds crash_down_time{3'000'000};

/// How the stand-in is started.
struct standin_options {
    std::uint16_t port = 0;        ///< of the list; the workers have the next ones
    std::uint16_t listed_port = 0; ///< the list shows this in place of port: a proxy's first port
    int engines = 0;
    int zones = 0;          ///< number of availability zones
    int plain_cold_ms = 0;  ///< for which the list always says that plain workers stay cold
    bool keeps_ids = false; ///< a worker that a request has ended comes back under its id
};

/// Milliseconds since the epoch, which the other programs of a test read, too.
std::int64_t wall_ms()
{
    return std::chrono::duration_cast<core::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// One worker and its HTTP server.
struct worker {
    std::string instance;
    std::string service;
    std::uint16_t port = 0;
    bool draining = false;
    bool keeps_id = false; ///< it comes back as the instance that it was
    std::shared_ptr<runtime::http_server> server;
    int restarts = 0;
    core::instant leaving_since = core::instant::max();
    core::instant paused_until{};
    std::unique_ptr<runtime::watcher> restart_timer; ///< set while its process is gone
};

/// A stream in progress.
struct stream {
    std::shared_ptr<http_session> session;
    std::uint16_t port = 0;      ///< of its worker
    std::uint64_t next = 1;      ///< id of the next event
    std::uint64_t last = 0;      ///< id of the last event
    std::uint64_t cut_after = 0; ///< aborts within the next event after this one; 0: never
    std::unique_ptr<runtime::watcher> timer;
};

class platform_standin {
public:
    platform_standin(std::shared_ptr<runtime::event_loop> loop, standin_options options)
        : loop_(std::move(loop)), options_(options)
    {
    }

    /// Listens on all ports; false if one can't be opened.
    bool open()
    {
        list_server_ =
            listen(options_.port, [this](const auto& s, const auto& head, const std::string&) {
                handle_list_request(s, head);
            });
        constexpr int plain_workers = 2;
        for (int n = 0; n < options_.engines + plain_workers; ++n) {
            worker w;
            w.service = n < options_.engines ? "engine" : "plain";
            w.instance = w.service + "-" + std::to_string(n);
            w.port = static_cast<std::uint16_t>(options_.port + 1 + n);
            workers_.push_back(std::move(w));
            if (!start_worker(static_cast<std::size_t>(n)))
                return false;
        }
        return list_server_ != nullptr;
    }

private:
    /// Returns false if the worker's port can't be opened.
    bool start_worker(std::size_t n)
    {
        worker& w = workers_[n];
        w.server = listen(w.port, [this, n](const auto& s, const auto& head, const std::string&) {
            handle_request(workers_[n], s, head);
        });
        return w.server != nullptr;
    }

    /// Ends the worker's process, which comes back later.
    void end_worker(std::size_t n)
    {
        worker& w = workers_[n];
        if (w.server == nullptr)
            return;
        ends_ += std::to_string(wall_ms()) + " " + w.instance + "\n";
        for (const auto& st : std::exchange(streams_, {})) {
            if (st->port == w.port)
                st->session->abort();
            else
                streams_.push_back(st);
        }
        w.server->close_idle();
        w.server.reset();
        w.keeps_id = options_.keeps_ids;
        w.restart_timer = runtime::watcher::timer(*loop_, [this, n] { restart_worker(n); });
        w.restart_timer->arm(crash_down_time);
    }

    void restart_worker(std::size_t n)
    {
        worker& w = workers_[n];
        if (!start_worker(n)) {
            w.restart_timer->arm(notice_interval);
            return;
        }
        if (!std::exchange(w.keeps_id, false))
            set_next_instance(w);
        w.draining = false;
        w.leaving_since = core::instant::max();
        w.paused_until = {};
    }

    void set_next_instance(worker& w) const
    {
        w.restarts += 1;
        w.instance = w.service + "-" + std::to_string(w.port - options_.port - 1) + "." +
                     std::to_string(w.restarts);
    }

    /// Returns null if the port can't be opened.
    template <class Handler>
    std::shared_ptr<runtime::http_server> listen(std::uint16_t port, Handler handler)
    {
        runtime::http_server::callbacks handlers;
        handlers.request = handler;
        handlers.disconnected = [this](const auto& session) {
            std::erase_if(streams_, [&](const auto& s) { return s->session == session; });
        };
        auto made = runtime::http_server::make(loop_, {"127.0.0.1", port, {}}, std::move(handlers));
        return made ? *made : nullptr;
    }

    /// Serves GET /instances, POST /drain/INSTANCE, GET /runs (each request id that ran and how
    /// often), GET /arrivals (see record_arrival), GET /ends (the time in ms since the epoch and
    /// the instance of each worker that a request has ended) and POST /notices/SEED, after which
    /// workers leave and pause until /notices/0. Any other target gets the list of workers, too.
    void handle_list_request(const std::shared_ptr<http_session>& s, const message_head& head)
    {
        const std::string drain = "/drain/";
        const std::string notices = "/notices/";
        if (head.target.starts_with(drain)) {
            for (auto& w : workers_)
                w.draining = w.draining || w.instance == head.target.substr(drain.size());
            s->reply(200, {}, "");
            return;
        }
        if (head.target.starts_with(notices)) {
            start_notices(head.target.substr(notices.size()));
            s->reply(200, {}, "");
            return;
        }
        std::string text;
        if (head.target == "/runs") {
            for (const auto& [id, n] : runs_)
                text += id + " " + std::to_string(n) + "\n";
        } else if (head.target == "/arrivals") {
            text = arrivals_;
        } else if (head.target == "/ends") {
            text = ends_;
        } else {
            for (auto& w : workers_)
                update_leaving(w);
            for (const auto& w : workers_)
                text += (text.empty() ? "" : ",") + ("{\"id\":\"" + w.instance) +
                        "\",\"service\":\"" + w.service + "\",\"address\":\"127.0.0.1:" +
                        std::to_string(options_.listed_port + w.port - options_.port) +
                        "\",\"zone\":\"" + zone_of(w) + "\",\"slots\":4,\"state\":\"" +
                        (w.draining ? "draining" : "ready") + "\",\"cold-remaining-ms\":" +
                        std::to_string(w.service == "plain" ? options_.plain_cold_ms : 0) + "}";
            text = "{\"instances\":[" + text + "],\"next\":null}";
        }
        s->reply(200, {}, text);
    }

    /// Zones are named a, b and so on; workers are in them in turn.
    [[nodiscard]] std::string zone_of(const worker& w) const
    {
        return std::string(1,
                           static_cast<char>('a' + (w.port - options_.port - 1) % options_.zones));
    }

    void start_notices(const std::string& seed_text)
    {
        std::uint64_t seed = 0;
        std::from_chars(seed_text.data(), seed_text.data() + seed_text.size(), seed);
        notice_timer_.reset();
        if (seed == 0)
            return;
        random_.seed(seed);
        notice_timer_ = runtime::watcher::timer(*loop_, [this] { change_worker(); });
        notice_timer_->arm(notice_interval);
    }

    /// Lets a worker leave, or refuse all requests for some seconds. At most one worker of each
    /// service leaves at a time, but all may refuse requests.
    void change_worker()
    {
        notice_timer_->arm(notice_interval);
        worker& w = workers_[random_() % workers_.size()];
        const bool pauses = random_() % 3 != 0;
        const int pause_s = 1 + static_cast<int>(random_() % max_pause_s);
        const bool service_has_leaving =
            std::any_of(workers_.begin(), workers_.end(), [&](const worker& other) {
                return other.service == w.service && other.leaving_since != core::instant::max();
            });
        if (pauses)
            w.paused_until = loop_->now() + core::seconds(pause_s);
        else if (!service_has_leaving)
            w.leaving_since = loop_->now();
    }

    /// Lists a leaving worker as draining, and restarts it at last. Called for each request.
    void update_leaving(worker& w)
    {
        if (w.leaving_since == core::instant::max())
            return;
        const auto time = loop_->now() - w.leaving_since;
        w.draining = time >= listing_delay && time < restart_delay;
        if (time < restart_delay)
            return;
        w.leaving_since = core::instant::max();
        set_next_instance(w);
    }

    /// Adds a line to the list of arrivals: the time in ms since the epoch, the request's id, the
    /// instance, whether its answer says that it leaves (0 or 1), and the pause that it asks for in
    /// seconds (0: none).
    void record_arrival(const worker& w, const message_head& head, bool leaves,
                        std::int64_t pause_s)
    {
        arrivals_ += std::to_string(wall_ms()) + " " +
                     std::string(find_header(head.headers, "Bluebellproxy-Request-Id")) + " " +
                     w.instance + (leaves ? " 1 " : " 0 ") + std::to_string(pause_s) + "\n";
    }

    std::vector<core::header_field> answer_headers(const worker& w, const message_head& head)
    {
        std::vector<core::header_field> fields{
            {"Bluebellproxy-Request-Id",
             std::string(find_header(head.headers, "Bluebellproxy-Request-Id"))},
            {"Bluebellproxy-Server-Stamp", "stamp-" + w.instance},
            {"Bluebellproxy-Server-Load", "1,0,4"}};
        if (w.leaving_since != core::instant::max())
            fields.push_back({"Server-Leaving", "1"});
        return fields;
    }

    /// Runs a request, unless it was meant for another worker, which is answered with 421, or the
    /// worker refuses all requests for some time.
    void handle_request(worker& w, const std::shared_ptr<http_session>& s, const message_head& head)
    {
        update_leaving(w);
        auto answer = answer_headers(w, head);
        if (find_header(head.headers, "Bluebellproxy-Expect-Instance") != w.instance) {
            answer.push_back({"Bluebellproxy-Not-Executed", "1"});
            s->reply(421, answer, "");
            return;
        }
        const auto paused = w.paused_until - loop_->now();
        const std::int64_t pause_s =
            paused.count() > 0 ? std::chrono::ceil<core::seconds>(paused).count() : 0;
        record_arrival(w, head, w.leaving_since != core::instant::max(), pause_s);
        if (pause_s > 0) {
            answer.push_back({"Bluebellproxy-Not-Executed", "1"});
            answer.push_back({"Retry-After", std::to_string(pause_s)});
            s->reply(503, answer, "");
            return;
        }
        runs_[std::string(find_header(head.headers, "Bluebellproxy-Request-Id"))] += 1;
        const auto n = static_cast<std::size_t>(w.port - options_.port - 1);
        if (head.target.find("/crash/") != std::string::npos) {
            loop_->defer([this, s, n] {
                s->abort();
                end_worker(n);
            });
            return;
        }
        if (w.service == "plain") {
            const std::string tenant(find_header(head.headers, "Bluebellproxy-Tenant-Id"));
            s->reply(200, answer, head.method + " " + head.target + " for " + tenant + "\n");
            return;
        }
        answer.push_back({"Content-Type", "text/event-stream"});
        const std::string prompt(find_header(head.headers, "Bluebellproxy-Prefix-Hash"));
        if (("," + prompt).find(",bad:") != std::string::npos) {
            s->start_response(200, answer, std::nullopt);
            s->send("id: 1\ndata: e1\n\n");
            loop_->defer([this, s, n] {
                s->abort();
                end_worker(n);
            });
            return;
        }
        start_stream(w, s, head, answer);
    }

    /// The path ends with the number of events. With /cut/ in the path a request without
    /// Last-Event-Id is aborted in the middle of the fourth event.
    void start_stream(const worker& w, const std::shared_ptr<http_session>& s,
                      const message_head& head, const std::vector<core::header_field>& answer)
    {
        auto made = std::make_shared<stream>();
        const std::string_view last_event_header = find_header(head.headers, "Last-Event-Id");
        std::uint64_t last = 0;
        std::from_chars(last_event_header.data(),
                        last_event_header.data() + last_event_header.size(), last);
        const auto count_at = head.target.rfind('/') + 1;
        std::from_chars(head.target.data() + count_at, head.target.data() + head.target.size(),
                        made->last);
        made->session = s;
        made->port = w.port;
        made->next = last + 1;
        if (last_event_header.empty() && head.target.find("/cut/") != std::string::npos)
            made->cut_after = 3;
        made->timer =
            runtime::watcher::timer(*loop_, [this, raw = made.get()] { send_next_event(raw); });
        s->start_response(200, answer, std::nullopt);
        made->timer->arm(event_interval);
        streams_.push_back(std::move(made));
    }

    /// Sends the next event, and ends or aborts the stream after its last one.
    void send_next_event(stream* st)
    {
        const std::string id = std::to_string(st->next);
        const bool cut = st->cut_after != 0 && st->next > st->cut_after;
        st->session->send(cut ? "id: " + id + "\nda" : "id: " + id + "\ndata: e" + id + "\n\n");
        if (!cut && st->next < st->last) {
            st->next += 1;
            st->timer->arm(event_interval);
            return;
        }
        const auto session = st->session;
        loop_->defer([this, st, session, cut] {
            std::erase_if(streams_, [&](const auto& s) { return s.get() == st; });
            if (cut)
                session->abort();
            else
                session->finish_response();
        });
    }

    std::shared_ptr<runtime::event_loop> loop_;
    standin_options options_;
    std::shared_ptr<runtime::http_server> list_server_;
    std::vector<worker> workers_;
    std::vector<std::shared_ptr<stream>> streams_;
    std::map<std::string, int> runs_; ///< by request id
    std::string arrivals_;            ///< one line for each request to a worker
    std::string ends_;                ///< one line for each end of a worker
    std::mt19937_64 random_;
    std::unique_ptr<runtime::watcher> notice_timer_;
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_platform", "The platform's list on PORT, workers behind it.");
    options.add_options()("port", "first of the ports", cxxopts::value<std::uint16_t>())(
        "shown", "first port as the list shows it, if another", cxxopts::value<std::uint16_t>())(
        "engines", "number of engines", cxxopts::value<int>()->default_value("2"))(
        "zones", "number of availability zones", cxxopts::value<int>()->default_value("1"))(
        "cold-ms", "plain workers are always cold for this time",
        cxxopts::value<int>()->default_value("0"))(
        "same-id", "workers that a request has ended come back under their ids")(
        "seconds", "stops by itself", cxxopts::value<int>()->default_value("60"));
    const auto args = options.parse(argc, argv);
    const auto loop = *runtime::event_loop::make();
    standin_options o;
    o.port = args["port"].as<std::uint16_t>();
    o.listed_port = args.count("shown") != 0 ? args["shown"].as<std::uint16_t>() : o.port;
    o.engines = args["engines"].as<int>();
    o.zones = args["zones"].as<int>();
    o.plain_cold_ms = args["cold-ms"].as<int>();
    o.keeps_ids = args.count("same-id") != 0;
    platform_standin platform(loop, o);
    if (!platform.open()) {
        std::cerr << "standin_platform: can't listen on its ports\n";
        return 1;
    }
    const auto stop_timer = runtime::watcher::timer(*loop, [&] { loop->stop(); });
    stop_timer->arm(core::seconds(args["seconds"].as<int>()));
    loop->run();
    return 0;
}
