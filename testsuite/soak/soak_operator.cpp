// Tables offered and read back through the control processes.

#include "soak_operator.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace bluebell::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Longest wait for an operator's call.
constexpr milliseconds operator_patience{2'500};

} // namespace

std::string table_operator::table(int version)
{
    const auto route = [](const std::string& name, const std::string& more) {
        return R"({"name":")" + name + R"(","host":"h","path-prefix":"/)" + name + "/\"," + more +
               "}";
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
           R"("tenants":[{"name":"lenas","api-keys":["key1"]}]})";
}

void table_operator::run(steady_clock::time_point end)
{
    while (steady_clock::now() < end) {
        (void)offer(); // a failure is checked by what is read later
        (void)read();
        std::this_thread::sleep_for(milliseconds(100 + random_() % 300));
    }
}

bool table_operator::offer()
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

int table_operator::read()
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

answer table_operator::call(const std::string& method, const std::string& path,
                            const std::string& body)
{
    address to = controls_[random_() % controls_.size()];
    const auto deadline = steady_clock::now() + operator_patience;
    answer a;
    for (int hops = 0; hops < 3; ++hops) {
        const connection c = connection::open(to);
        if (!c.is_open() ||
            !c.send(method + " " + path +
                    " HTTP/1.1\r\nHost: control\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\nContent-Type: application/json\r\n\r\n" + body))
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

} // namespace bluebell::soak
