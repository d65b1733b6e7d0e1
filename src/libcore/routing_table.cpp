// Finds routes in the routing table and chooses among the services of a route.

#include <bluebell/core/routing_table.h>

#include <cstdio>
#include <numeric>

namespace bluebell::core {

std::string text_hash(const routing_document& document)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx",
                  static_cast<unsigned long long>(hash_of(document.text.view())));
    return buf;
}

const route* find_route(const routing_table& table, std::string_view host, std::string_view target)
{
    std::string path(target.substr(0, target.find('?')));
    // Tries the prefixes that end with a slash, the longest first.
    for (auto end = path.rfind('/'); end != std::string::npos; end = path.rfind('/')) {
        path.resize(end + 1);
        const auto it = table.routes.find({std::string(host), path});
        if (it != table.routes.end())
            return &it->second;
        path.pop_back();
    }
    return nullptr;
}

const service_id& choose_service(const route& r, std::uint64_t random)
{
    const auto sum =
        std::accumulate(r.services.begin(), r.services.end(), std::uint64_t{0},
                        [](std::uint64_t n, const weighted_service& s) { return n + s.weight; });
    std::uint64_t position = random % std::max<std::uint64_t>(1, sum);
    for (const auto& s : r.services) {
        if (position < s.weight)
            return s.service;
        position -= s.weight;
    }
    return r.services.front().service;
}

} // namespace bluebell::core
