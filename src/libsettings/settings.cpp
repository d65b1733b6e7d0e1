// Reads INI files and checks every key against its rule.

#include <bluebell/settings/settings.h>

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <sstream>

namespace bluebell::settings {

using namespace core;

namespace {

/// One key as found.
struct entry {
    int line = 0;
    std::string value;
};

/// The file's lines are counted by the reader, which inih calls once per line.
struct reader {
    std::FILE* file = nullptr;
    int line = 0;
    std::map<std::string, entry> entries;

    static char* next_line(char* buf, int n, void* self)
    {
        auto* r = static_cast<reader*>(self);
        r->line += 1;
        return std::fgets(buf, n, r->file);
    }
    static int take(void* self, const char* section, const char* name, const char* value)
    {
        auto* r = static_cast<reader*>(self);
        r->entries[std::string(section) + "." + name] = {r->line, value};
        return 1;
    }
};

std::vector<std::string> words(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> all;
    for (std::string w; in >> w;)
        all.push_back(w);
    return all;
}

bool read_endpoint(const std::string& text, endpoint& to)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    const char* end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data() + colon + 1, end, to.port);
    to.host = text.substr(0, colon);
    return ec == std::errc() && at == end && to.port != 0;
}

/// A key's rule: whether it is required for a role, what is allowed, and how it is taken.
struct rule {
    std::string key;
    std::string required_for; ///< space-separated roles
    std::string allowed;
    std::function<bool(node_settings&, const std::string&)> take;
};

template <class Id>
bool take_id(Id& to, const std::string& text)
{
    auto id = Id::make(text);
    if (id)
        to = std::move(*id);
    return id.has_value();
}

bool take_role(node_settings& s, const std::string& v)
{
    for (const node_role r : {node_role::router, node_role::agent, node_role::control}) {
        if (to_string(r) == v) {
            s.self.role = r;
            return true;
        }
    }
    return false;
}

bool take_controls(node_settings& s, const std::string& v)
{
    for (const auto& word : words(v)) {
        const auto eq = word.find('=');
        endpoint at;
        node_info n;
        if (eq == std::string::npos || !read_endpoint(word.substr(eq + 1), at) ||
            !take_id(n.id, word.substr(0, eq)))
            return false;
        n.role = node_role::control;
        n.address = "tcp://" + word.substr(eq + 1);
        s.controls.push_back(std::move(n));
    }
    return !s.controls.empty() && s.controls.size() <= 7;
}

template <class Id>
bool take_ids(std::vector<Id>& to, const std::string& v)
{
    for (const auto& word : words(v)) {
        to.emplace_back();
        if (!take_id(to.back(), word))
            return false;
    }
    return true;
}

bool take_slots(node_settings& s, const std::string& v)
{
    const char* end = v.data() + v.size();
    const auto [at, ec] = std::from_chars(v.data(), end, s.offer.slots);
    return ec == std::errc() && at == end && s.offer.slots >= 1 && s.offer.slots <= 4096;
}

const std::vector<rule>& rules()
{
    static const std::vector<rule> all{
        {"node.role", "any", "router, agent or control", take_role},
        {"node.id", "any", "1 to 128 visible characters",
         [](auto& s, const auto& v) { return take_id(s.self.id, v); }},
        {"node.region", "any", "1 to 128 visible characters",
         [](auto& s, const auto& v) { return take_id(s.self.region, v); }},
        {"node.availability_zone", "any", "1 to 128 visible characters",
         [](auto& s, const auto& v) { return take_id(s.self.zone, v); }},
        {"node.listen", "any", "IP:PORT",
         [](auto& s, const auto& v) {
             endpoint at;
             s.self.address = "tcp://" + v;
             return read_endpoint(v, at);
         }},
        {"control.replicas", "any", "1 to 7 words ID=IP:PORT", take_controls},
        {"http.listen", "router", "IP:PORT",
         [](auto& s, const auto& v) { return read_endpoint(v, s.http); }},
        {"engine.address", "agent", "IP:PORT",
         [](auto& s, const auto& v) { return read_endpoint(v, s.engine); }},
        {"engine.models", "", "words",
         [](auto& s, const auto& v) { return take_ids(s.offer.models, v); }},
        {"engine.services", "", "words",
         [](auto& s, const auto& v) { return take_ids(s.offer.services, v); }},
        {"engine.slots", "agent", "1 to 4096", take_slots},
    };
    return all;
}

} // namespace

std::string to_string(const problem& p)
{
    return p.file + ":" + std::to_string(p.line) + ": " + p.key + " = " + p.value + ": allowed " +
           p.allowed;
}

tl::expected<node_settings, std::vector<problem>> load(const std::string& file)
{
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> in(std::fopen(file.c_str(), "r"),
                                                             &std::fclose);
    if (!in)
        return tl::unexpected(std::vector<problem>{{file, 0, "", "", "a readable file"}});
    reader r;
    r.file = in.get();
    std::vector<problem> problems;
    if (const int line = ini_parse_stream(&reader::next_line, &r, &reader::take, &r); line != 0)
        problems.push_back({file, line, "", "", "[section] or key = value"});
    node_settings s;
    for (const auto& [key, found] : r.entries) {
        const auto it = std::find_if(rules().begin(), rules().end(),
                                     [&wanted = key](const rule& x) { return x.key == wanted; });
        if (it == rules().end())
            problems.push_back({file, found.line, key, found.value, "no such key"});
        else if (!it->take(s, found.value))
            problems.push_back({file, found.line, key, found.value, it->allowed});
    }
    const std::string role(to_string(s.self.role));
    for (const auto& x : rules()) {
        const bool required = x.required_for == "any" || x.required_for == role;
        if (required && !r.entries.contains(x.key))
            problems.push_back({file, 0, x.key, "", x.allowed});
    }
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return s;
}

} // namespace bluebell::settings
