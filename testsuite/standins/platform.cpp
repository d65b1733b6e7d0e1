// Stand-in for the platform: serves its list of workers and runs four workers. Two are engines,
// which answer with event streams, and two are plain services, which answer with a short text.

#include <bluebell/runtime/http_server.h>

#include <cxxopts.hpp>

#include <charconv>
#include <iostream>
#include <map>

using namespace bluebell;
using runtime::find_header;
using runtime::http_session;
using runtime::message_head;

namespace {

constexpr core::microseconds event_interval{20'000};

/// One worker and its HTTP server.
struct worker {
    std::string instance;
    std::string service;
    std::uint16_t port = 0;
    bool draining = false;
    std::shared_ptr<runtime::http_server> server;
};

/// A stream in progress.
struct stream {
    std::shared_ptr<http_session> session;
    std::uint64_t next = 1;      ///< id of the next event
    std::uint64_t last = 0;      ///< id of the last event
    std::uint64_t cut_after = 0; ///< aborts within the next event after this one; 0: never
    std::unique_ptr<runtime::watcher> timer;
};

class platform_standin {
public:
    platform_standin(std::shared_ptr<runtime::event_loop> loop, std::uint16_t port,
                     std::uint16_t listed_port)
        : loop_(std::move(loop)), port_(port), listed_port_(listed_port)
    {
    }

    /// Listens on all five ports; false if one can't be opened.
    bool open()
    {
        list_server_ = listen(port_, [this](const auto& s, const auto& head, const std::string&) {
            handle_list_request(s, head);
        });
        const char* services[] = {"engine", "engine", "plain", "plain"};
        for (std::uint16_t n = 0; n < 4; ++n) {
            worker w;
            w.service = services[n];
            w.instance = w.service + "-" + std::to_string(n);
            w.port = static_cast<std::uint16_t>(port_ + 1 + n);
            w.server =
                listen(w.port, [this, n](const auto& s, const auto& head, const std::string&) {
                    handle_request(workers_[n], s, head);
                });
            if (w.server == nullptr)
                return false;
            workers_.push_back(std::move(w));
        }
        return list_server_ != nullptr;
    }

private:
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

    /// Serves GET /instances, POST /drain/INSTANCE and GET /runs (each request id that ran and how
    /// often). Any other target gets the list of workers, too.
    void handle_list_request(const std::shared_ptr<http_session>& s, const message_head& head)
    {
        const std::string drain = "/drain/";
        if (head.target.starts_with(drain)) {
            for (auto& w : workers_)
                w.draining = w.draining || w.instance == head.target.substr(drain.size());
            s->reply(200, {}, "");
            return;
        }
        std::string text;
        if (head.target == "/runs") {
            for (const auto& [id, n] : runs_)
                text += id + " " + std::to_string(n) + "\n";
        } else {
            for (const auto& w : workers_)
                text += (text.empty() ? "" : ",") + ("{\"id\":\"" + w.instance) +
                        "\",\"service\":\"" + w.service + "\",\"address\":\"127.0.0.1:" +
                        std::to_string(listed_port_ + w.port - port_) +
                        "\",\"zone\":\"a\",\"slots\":4,\"state\":\"" +
                        (w.draining ? "draining" : "ready") + "\",\"cold-remaining-ms\":0}";
            text = "{\"instances\":[" + text + "],\"next\":null}";
        }
        s->reply(200, {}, text);
    }

    std::vector<core::header_field> answer_headers(const worker& w, const message_head& head)
    {
        return {{"Bluebellproxy-Request-Id",
                 std::string(find_header(head.headers, "Bluebellproxy-Request-Id"))},
                {"Bluebellproxy-Server-Stamp", "stamp-" + w.instance},
                {"Bluebellproxy-Server-Load", "1,0,4"}};
    }

    /// Runs a request, unless it was meant for another worker: that is answered with 421.
    void handle_request(const worker& w, const std::shared_ptr<http_session>& s,
                        const message_head& head)
    {
        auto answer = answer_headers(w, head);
        if (find_header(head.headers, "Bluebellproxy-Expect-Instance") != w.instance) {
            answer.push_back({"Bluebellproxy-Not-Executed", "1"});
            s->reply(421, answer, "");
            return;
        }
        runs_[std::string(find_header(head.headers, "Bluebellproxy-Request-Id"))] += 1;
        if (w.service == "plain") {
            const std::string tenant(find_header(head.headers, "Bluebellproxy-Tenant-Id"));
            s->reply(200, answer, head.method + " " + head.target + " for " + tenant + "\n");
            return;
        }
        answer.push_back({"Content-Type", "text/event-stream"});
        start_stream(s, head, answer);
    }

    /// The path ends with the number of events. With /cut/ in the path a request without
    /// Last-Event-Id is aborted in the middle of the fourth event.
    void start_stream(const std::shared_ptr<http_session>& s, const message_head& head,
                      const std::vector<core::header_field>& answer)
    {
        auto made = std::make_unique<stream>();
        const std::string_view last_event_header = find_header(head.headers, "Last-Event-Id");
        std::uint64_t last = 0;
        std::from_chars(last_event_header.data(),
                        last_event_header.data() + last_event_header.size(), last);
        const auto count_at = head.target.rfind('/') + 1;
        std::from_chars(head.target.data() + count_at, head.target.data() + head.target.size(),
                        made->last);
        made->session = s;
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
    std::uint16_t port_;        ///< of the list; the workers have the next four
    std::uint16_t listed_port_; ///< the list shows this in place of port_: a proxy's first port
    std::shared_ptr<runtime::http_server> list_server_;
    std::vector<worker> workers_;
    std::vector<std::unique_ptr<stream>> streams_;
    std::map<std::string, int> runs_; ///< by request id
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_platform", "The platform's list on PORT, workers behind it.");
    options.add_options()("port", "first of five ports", cxxopts::value<std::uint16_t>())(
        "shown", "first port as the list shows it, if another", cxxopts::value<std::uint16_t>())(
        "seconds", "stops by itself", cxxopts::value<int>()->default_value("60"));
    const auto args = options.parse(argc, argv);
    const auto loop = *runtime::event_loop::make();
    const auto port = args["port"].as<std::uint16_t>();
    platform_standin platform(loop, port,
                              args.count("shown") != 0 ? args["shown"].as<std::uint16_t>() : port);
    if (!platform.open()) {
        std::cerr << "standin_platform: can't listen on its ports\n";
        return 1;
    }
    const auto stop_timer = runtime::watcher::timer(*loop, [&] { loop->stop(); });
    stop_timer->arm(core::seconds(args["seconds"].as<int>()));
    loop->run();
    return 0;
}
