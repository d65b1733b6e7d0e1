// Callers and one operator that check the fleet's promises while faults go on, from what they see
// themselves and what the workers say ran. Every violation is one line on standard output.

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
/// Longest wait for one answer of the checks at the end.
constexpr milliseconds check_patience{4'000};
/// An acknowledged table is in force everywhere after this (config-apply-ms).
constexpr milliseconds apply_time{2'000};
/// After the faults: the time in which everything must work again (recover-s).
constexpr milliseconds recovery_time{15'000};
/// Most workers that a request may reach: the routes' attempts.
constexpr int most_runs = 3;

/// What the workers say ran, against what the callers were told.
void check_runs(witness& seen, const address& workers)
{
    const connection c = connection::open(workers);
    if (!c.is_open() || !c.send("GET /runs HTTP/1.1\r\nHost: w\r\n\r\n")) {
        seen.violate("the workers don't tell what ran");
        return;
    }
    const answer a = read_answer(c, steady_clock::now() + check_patience);
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
                status = read_answer(c, steady_clock::now() + check_patience).status;
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
