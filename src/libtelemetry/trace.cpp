// Formats log lines and keeps those of recent requests in bounded memory.

#include <bluebell/telemetry/trace.h>

#include <algorithm>

namespace bluebell::telemetry {

using namespace core;

namespace {

bool is_control(char c)
{
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

/// Adds a value to a line. A value that could be misread as several fields is quoted. Control
/// characters become `?`, so that no value can forge a line of its own.
void add_value(std::string& text, const std::string& value)
{
    const bool needs_no_quotes = !value.empty() &&
                                 value.find_first_of(" \"=") == std::string::npos &&
                                 std::none_of(value.begin(), value.end(), is_control);
    if (needs_no_quotes) {
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

void trace::add(microseconds written_at, const log_line& line)
{
    if (line.request.empty())
        return;
    auto& request_lines = lines_by_request_[line.request];
    if (request_lines.size() >= max_lines_of_request)
        return;
    request_lines.push_back({written_at, line});
    requests_by_age_.push_back(line.request);
    if (requests_by_age_.size() <= max_lines)
        return;
    const auto it = lines_by_request_.find(requests_by_age_.front());
    requests_by_age_.pop_front();
    it->second.pop_front();
    if (it->second.empty())
        lines_by_request_.erase(it);
}

std::vector<trace_entry> trace::explain(const request_id& request) const
{
    const auto it = lines_by_request_.find(request);
    if (it == lines_by_request_.end())
        return {};
    return {it->second.begin(), it->second.end()};
}

} // namespace bluebell::telemetry
