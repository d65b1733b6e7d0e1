// Stand-in for the platform with one sound worker: it serves the list of workers on PORT, and on
// the next port a worker that answers a path that ends with /bytes/N with N bytes.

#include <bluebell/runtime/http_server.h>

#include <cxxopts.hpp>

#include <charconv>
#include <csignal>
#include <iostream>

using namespace bluebell;
using runtime::find_header;

namespace {

std::shared_ptr<runtime::http_server> listen(const std::shared_ptr<runtime::event_loop>& loop,
                                             std::uint16_t port,
                                             decltype(runtime::http_server::callbacks::request) run)
{
    runtime::http_server::callbacks handlers;
    handlers.request = std::move(run);
    handlers.disconnected = [](const auto&) {};
    auto made = runtime::http_server::make(loop, {"127.0.0.1", port, {}}, std::move(handlers));
    return made ? *made : nullptr;
}

std::size_t size_of_answer(const std::string& target)
{
    const auto at = target.rfind('/') + 1;
    std::size_t n = 0;
    std::from_chars(target.data() + at, target.data() + target.size(), n);
    return n;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_sized", "A list on PORT, a worker behind it.");
    options.add_options()("port", "first of two ports", cxxopts::value<std::uint16_t>())(
        "seconds", "stops by itself", cxxopts::value<int>()->default_value("110"));
    const auto args = options.parse(argc, argv);
    const auto port = args["port"].as<std::uint16_t>();
    std::signal(SIGPIPE, SIG_IGN);
    const auto loop = *runtime::event_loop::make();
    const auto list = listen(loop, port, [port](const auto& session, const auto&, auto) {
        session->reply(200, {},
                       "{\"instances\":[{\"id\":\"plain-1\",\"service\":\"plain\",\"address\":"
                       "\"127.0.0.1:" +
                           std::to_string(port + 1) +
                           "\",\"zone\":\"a\",\"slots\":64,\"state\":\"ready\","
                           "\"cold-remaining-ms\":0}],\"next\":null}");
    });
    const auto worker = listen(
        loop, static_cast<std::uint16_t>(port + 1),
        [](const auto& session, const runtime::message_head& head, auto) {
            const std::string id(find_header(head.headers, "Bluebellproxy-Request-Id"));
            session->reply(
                200, {{"Bluebellproxy-Request-Id", id}, {"Bluebellproxy-Server-Stamp", "stamp"}},
                std::string(size_of_answer(head.target), 'x'));
        });
    if (list == nullptr || worker == nullptr) {
        std::cerr << "standin_sized: can't listen on its ports\n";
        return 1;
    }
    const auto stop_timer = runtime::watcher::timer(*loop, [&] { loop->stop(); });
    stop_timer->arm(core::seconds(args["seconds"].as<int>()));
    loop->run();
    return 0;
}
