// A bounded memory of decisions by request.

#include <bluebell/telemetry/trace.h>

#include <algorithm>

namespace bluebell::telemetry {

using namespace core;

namespace {

bool is_control(char c)
{
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

/// A value that could be taken for more than one is quoted; no value may begin a line of its own.
void add_value(std::string& text, const std::string& value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=") == std::string::npos &&
                       std::none_of(value.begin(), value.end(), is_control);
    if (plain) {
        text += value;
        return;
    }
    text += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += is_control(c) ? '?' : c;
    }
    text += '"';
}

} // namespace

std::string format(const log_line& line)
{
    std::string text = line.component + ": " + line.text;
    if (!line.request.empty())
        text += " request=" + line.request.str();
    for (const auto& f : line.fields) {
        text += ' ';
        text += f.name;
        text += '=';
        add_value(text, f.value);
    }
    return text;
}

void trace::add(microseconds wall, const log_line& line)
{
    if (line.request.empty())
        return;
    auto& mine = lines_[line.request];
    if (mine.size() >= max_lines_of_request)
        return;
    mine.push_back({wall, line});
    order_.push_back(line.request);
    if (order_.size() <= max_lines)
        return;
    const auto it = lines_.find(order_.front());
    order_.pop_front();
    it->second.pop_front();
    if (it->second.empty())
        lines_.erase(it);
}

std::vector<trace_entry> trace::explain(const request_id& request) const
{
    const auto it = lines_.find(request);
    if (it == lines_.end())
        return {};
    return {it->second.begin(), it->second.end()};
}

} // namespace bluebell::telemetry
