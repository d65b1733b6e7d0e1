// Runs callers and one operator that check the fleet's guarantees under faults. The checks compare
// the answers that they received with the workers' own count of runs. Each violation is printed as
// one line that starts with VIOLATION.

#include "soak_evacuations.h"
#include "soak_notices.h"
#include "soak_operator.h"

#include <cxxopts.hpp>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

using namespace bluebell::soak;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int caller_count = 12;
/// Timeout of one request of the checks after the faults.
constexpr milliseconds check_timeout{4'000};
/// Within this time an acknowledged table is in force on every router (the platform's
/// config-apply-ms).
constexpr milliseconds table_apply_time{2'000};
/// Within this time after the last fault everything must work again (the platform's recover-s).
constexpr milliseconds recovery_time{15'000};
/// How many workers may run one request: the `attempts` of every route.
constexpr int max_runs = 3;
/// How many workers may end under one request before a router refuses it, also without control.
constexpr std::size_t max_ended_workers = 3;
/// How many may end under requests that share a part of their prompts: the platform allows five,
/// those that end until the fleet knows, and three more.
constexpr std::size_t max_ended_by_part = 10;
/// Time between two requests that end their workers.
constexpr milliseconds crashing_interval{300};

/// Reads one of the lists that the stand-in workers keep.
std::string read_workers_list(soak_results& results, const address& workers,
                              const std::string& name)
{
    const connection c = connection::open(workers);
    answer a;
    if (c.is_open() && c.send("GET /" + name + " HTTP/1.1\r\nHost: w\r\n\r\n"))
        a = read_answer(c, steady_clock::now() + check_timeout);
    if (a.status != 200 || !a.complete)
        results.violate("the workers' list of " + name + " could not be read");
    return a.body;
}

/// Compares the runs that the workers counted with the answers that the callers received.
void check_runs(soak_results& results, const std::string& list)
{
    std::istringstream in(list);
    std::string id;
    int runs = 0;
    while (in >> id >> runs) {
        const auto it = results.sent().find(id);
        const auto report = [&](const std::string& reason) {
            results.violate(reason + " request=" + id + " runs=" + std::to_string(runs));
        };
        if (it == results.sent().end()) {
            report("ran, but no caller sent it");
            continue;
        }
        const request_kind kind = it->second.kind;
        const int status = it->second.status;
        const bool may_rerun = kind == request_kind::safe || kind == request_kind::resumable;
        const bool was_refused = status == 429 || status == 503 || status == 408 || status == 421;
        if (!may_rerun && runs > 1)
            report("ran twice");
        if (!may_rerun && was_refused)
            report("ran although it was refused with status " + std::to_string(status));
        if (runs > max_runs)
            report("more runs than attempts");
    }
}

/// Sends the same request, which ends each worker that runs it, again and again.
void send_crashing_requests(soak_results& results, const std::vector<address>& fronts,
                            steady_clock::time_point end)
{
    for (std::size_t n = 0; steady_clock::now() < end; ++n) {
        const address& front = fronts[n % fronts.size()];
        const std::string id = "crash-" + std::to_string(n);
        results.record_request(id, {request_kind::safe, 0, front.port, wall_ms(), 0});
        const connection c = connection::open(front);
        if (c.is_open() &&
            c.send("GET /safe/crash/1 HTTP/1.1\r\nHost: h\r\nBluebellproxy-Request-Id: " + id +
                   "\r\nBluebellproxy-Credential: key1\r\n"
                   "Bluebellproxy-Request-Timeout-Ms: 1000\r\n\r\n") &&
            read_answer(c, steady_clock::now() + check_timeout).status == 200)
            results.violate("a request that ends its worker was answered request=" + id);
        std::this_thread::sleep_for(crashing_interval);
    }
}

/// Sends a request to a stream's route whose prompt has these parts before its own last one. Its
/// body is its id: equal requests would be quarantined as a whole.
int send_prompt(soak_results& results, const address& front, const std::string& id,
                const std::string& parts)
{
    results.record_request(id, {request_kind::resumable, 0, front.port, wall_ms(), 0});
    const connection c = connection::open(front);
    if (!c.is_open() ||
        !c.send("POST /stream/2 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(id.size()) + "\r\nBluebellproxy-Request-Id: " + id +
                "\r\nBluebellproxy-Credential: key1\r\nBluebellproxy-Request-Timeout-Ms: 2000\r\n"
                "Bluebellproxy-Model: m\r\nBluebellproxy-Token-Usage: 90,9\r\n"
                "Bluebellproxy-Prefix-Hash: " +
                parts + "," + id + ":30\r\n\r\n" + id))
        return 0;
    const answer a = read_answer(c, steady_clock::now() + check_timeout);
    return a.complete ? a.status : 0;
}

constexpr const char* bad_parts = "shared:30,bad:30";

/// Sends requests that have nothing in common but their caller, route and two parts of their
/// prompts; the second part ends each worker that begins to answer.
void send_bad_prompts(soak_results& results, const std::vector<address>& fronts,
                      steady_clock::time_point end)
{
    for (std::size_t n = 0; steady_clock::now() < end; ++n) {
        const std::string id = "bad-" + std::to_string(n);
        if (send_prompt(results, fronts[n % fronts.size()], id, bad_parts) == 200)
            results.violate("a request that ends its worker was answered request=" + id);
        std::this_thread::sleep_for(crashing_interval);
    }
}

/// Each start of a router may forget what its process knew; control must not be needed for the
/// rest.
void check_ended_workers(soak_results& results, const std::string& ends, const std::string& outages)
{
    const auto count_lines = [](const std::string& text, const std::string& part) {
        std::istringstream in(text);
        std::size_t n = 0;
        for (std::string line; std::getline(in, line);)
            n += line.find(part) != std::string::npos ? 1 : 0;
        return n;
    };
    const std::size_t starts = count_lines(outages, "router-");
    const auto check = [&](const char* service, std::size_t max_for_start, const char* cause) {
        const std::size_t ended = count_lines(ends, service);
        if (ended > max_for_start * starts)
            results.violate(std::to_string(ended) + " workers ended under " + cause + ", with " +
                            std::to_string(starts) + " starts of routers");
    };
    check(" plain-", max_ended_workers, "one request");
    check(" engine-", max_ended_by_part, "requests with one part");
}

/// After the faults: requests that share their caller and first part with those that ended workers
/// are answered by every router.
void check_sound_prompts(soak_results& results, const std::vector<address>& fronts)
{
    const auto end = steady_clock::now() + recovery_time;
    for (const auto& front : fronts) {
        int status = 0;
        for (int n = 0; status != 200 && steady_clock::now() < end; ++n) {
            status = send_prompt(results, front,
                                 "sound-" + std::to_string(front.port) + "-" + std::to_string(n),
                                 "shared:30,session:30");
            if (status != 200)
                std::this_thread::sleep_for(milliseconds(200));
        }
        if (status != 200)
            results.violate("a sound prompt is not answered: port " + std::to_string(front.port) +
                            " status " + std::to_string(status));
    }
}

/// After the faults: a new table is acknowledged, it can be read back, and every router serves it.
void check_recovery(soak_results& results, table_operator& op, const std::vector<address>& fronts)
{
    const auto end = steady_clock::now() + recovery_time;
    const int acknowledged_before = op.acknowledged();
    bool is_acknowledged = false;
    while (!is_acknowledged && steady_clock::now() < end)
        is_acknowledged = op.submit_next();
    if (!is_acknowledged)
        results.violate("no table was acknowledged after the faults");
    int version = 0;
    while (version == 0 && steady_clock::now() < end)
        version = op.read_version();
    if (version < acknowledged_before)
        results.violate("the acknowledged table version " + std::to_string(acknowledged_before) +
                        " is not read back");
    for (const auto& front : fronts) {
        const std::string path = "/v" + std::to_string(op.acknowledged()) + "/x";
        int status = 0;
        for (int n = 0; status != 200 && steady_clock::now() < end; ++n) {
            const connection c = connection::open(front);
            const std::string id = "last-" + std::to_string(front.port) + "-" + std::to_string(n);
            results.record_request(id, {request_kind::safe, 0, front.port, wall_ms(), 0});
            if (c.is_open() && c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n" +
                                      "Bluebellproxy-Request-Id: " + id +
                                      "\r\nBluebellproxy-Credential: key1\r\n\r\n"))
                status = read_answer(c, steady_clock::now() + check_timeout).status;
            if (status != 200)
                std::this_thread::sleep_for(milliseconds(200));
        }
        if (status != 200)
            results.violate("a router doesn't serve the newest table: port " +
                            std::to_string(front.port) + " status " + std::to_string(status));
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("soak_client",
                             "Runs callers and an operator and checks the guarantees.");
    options.add_options()("fronts", "IP:PORT of each router", cxxopts::value<std::string>())(
        "controls", "IP:PORT of each control process", cxxopts::value<std::string>())(
        "workers", "IP:PORT of the stand-in platform", cxxopts::value<std::string>())(
        "seed", "seed of all random choices", cxxopts::value<std::uint64_t>())(
        "seconds", "how long callers and operator run, in seconds", cxxopts::value<int>())(
        "outages", "file with the restarts of routers and the faults of links",
        cxxopts::value<std::string>())("begun", "file to create when the faults may begin",
                                       cxxopts::value<std::string>())(
        "healed", "file that is created when the faults are over", cxxopts::value<std::string>())(
        "crashing", "also send a request that ends the workers that run it")(
        "bad-prompts", "also send requests of which one part ends workers");
    const auto args = options.parse(argc, argv);
    const auto fronts = parse_addresses(args["fronts"].as<std::string>());
    const auto seed = args["seed"].as<std::uint64_t>();
    soak_results results;
    table_operator op(results, parse_addresses(args["controls"].as<std::string>()), seed);
    // The first table must be in force everywhere before the first request and the first fault.
    if (!op.submit_next()) {
        std::cout << "VIOLATION the first table isn't acknowledged\n";
        return 1;
    }
    std::this_thread::sleep_for(table_apply_time);
    std::ofstream(args["begun"].as<std::string>()) << "begun\n";
    const auto end = steady_clock::now() + std::chrono::seconds(args["seconds"].as<int>());
    std::vector<std::thread> threads;
    threads.reserve(caller_count + 4);
    for (int n = 0; n < caller_count; ++n)
        threads.emplace_back(
            [&, n] { caller(results, fronts, "c" + std::to_string(n), seed * 100 + n).run(end); });
    threads.emplace_back([&] { op.run(end); });
    evacuation_caller evacuations(parse_addresses(args["controls"].as<std::string>()), seed);
    threads.emplace_back([&] { evacuations.run(end); });
    if (args["crashing"].as<bool>())
        threads.emplace_back([&] { send_crashing_requests(results, fronts, end); });
    if (args["bad-prompts"].as<bool>())
        threads.emplace_back([&] { send_bad_prompts(results, fronts, end); });
    for (auto& t : threads)
        t.join();
    while (::access(args["healed"].as<std::string>().c_str(), F_OK) != 0)
        std::this_thread::sleep_for(milliseconds(50));
    if (!evacuations.is_taken_back())
        results.violate("the end of an evacuation was not acknowledged");
    check_recovery(results, op, fronts);
    check_sound_prompts(results, fronts);
    const address workers = parse_addresses(args["workers"].as<std::string>()).at(0);
    check_runs(results, read_workers_list(results, workers, "runs"));
    std::ostringstream outages;
    outages << std::ifstream(args["outages"].as<std::string>()).rdbuf();
    check_ended_workers(results, read_workers_list(results, workers, "ends"), outages.str());
    check_notices(results, fronts, read_workers_list(results, workers, "arrivals"), outages.str());
    check_evacuations(results, evacuations.windows(), fronts,
                      read_workers_list(results, workers, "arrivals"), outages.str());
    std::cout << "evacuations=" << evacuations.windows().size() << " ";
    std::cout << "tables=" << op.acknowledged() << " requests=" << results.sent().size();
    for (const auto& [status, n] : results.by_status())
        std::cout << " " << status << ":" << n;
    std::cout << "\n";
    return results.violations() == 0 ? 0 : 1;
}
