// Submits routing tables to the control processes and reads them back.

#include "soak_operator.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace bluebell::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Timeout of one call, redirects included.
constexpr milliseconds operator_timeout{2'500};

} // namespace

std::string table_operator::table_json(int version)
{
    const auto route = [](const std::string& name, const std::string& attributes) {
        return R"({"name":")" + name + R"(","host":"h","path-prefix":"/)" + name + "/\"," +
               attributes + "}";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           route("safe", R"("kind":"safe","timeout-ms":2000,"service":"plain","attempts":3)") +
           "," +
           route("unsafe", R"("kind":"unsafe","timeout-ms":2000,"service":"plain","attempts":3)") +
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
           R"("tenants":[{"name":"lenas","api-keys":["key1","a)" +
           std::to_string(version) + R"("]}]})";
}

void table_operator::run(steady_clock::time_point end)
{
    while (steady_clock::now() < end) {
        (void)submit_next(); // if not acknowledged, the table may be in force or not
        (void)read_version();
        std::this_thread::sleep_for(milliseconds(100 + random_() % 300));
    }
}

bool table_operator::submit_next()
{
    last_submitted_ += 1;
    for (int attempt = 0; attempt < 5; ++attempt) {
        const answer a = send_call("POST", "/Config.Put", table_json(last_submitted_));
        if (a.status == 200 && a.complete) {
            acknowledged_ = last_submitted_;
            return true;
        }
        if (a.status == 400)
            results_.violate("a valid table was refused: " + a.body);
    }
    return false;
}

int table_operator::read_version()
{
    const int acknowledged_before = acknowledged_;
    const answer a = send_call("GET", "/Config.Get", "");
    if (a.status != 200 || !a.complete)
        return 0;
    const auto document = nlohmann::json::parse(a.body, nullptr, false);
    const int version = document.is_discarded() ? -1 : document.value("version", -1);
    if (version < acknowledged_before)
        results_.violate("an older table than acknowledged was read: version " +
                         std::to_string(version) + " after " + std::to_string(acknowledged_before));
    if (version > 0 && a.body != table_json(version))
        results_.violate("the table that was read differs from the one submitted as version " +
                         std::to_string(version));
    return version;
}

answer table_operator::send_call(const std::string& method, const std::string& path,
                                 const std::string& body)
{
    address to = controls_[random_() % controls_.size()];
    const auto deadline = steady_clock::now() + operator_timeout;
    answer a;
    for (int hop = 0; hop < 3; ++hop) {
        const connection c = connection::open(to);
        if (!c.is_open() ||
            !c.send(method + " " + path +
                    " HTTP/1.1\r\nHost: control\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\nContent-Type: application/json\r\n\r\n" + body))
            return {};
        a = read_answer(c, deadline);
        if (a.status != 307)
            return a;
        const std::string& location = a.headers["location"];
        const auto host = location.find("//") + 2;
        const auto end = location.find('/', host);
        to = parse_addresses(location.substr(host, end - host)).at(0);
    }
    return a;
}

} // namespace bluebell::soak
