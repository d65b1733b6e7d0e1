// Parses requests of the callers' HTTP API and formats its replies.

#include <bluebell/wire/bounded_json.h>
#include <bluebell/wire/chat_http.h>

#include <charconv>

namespace bluebell::wire {

using namespace core;
using nlohmann::json;

namespace {

/// Estimate of the bytes of text per token. The router has no tokenizer.
constexpr std::size_t bytes_per_token = 4;
/// Tokens that an answer is assumed to have if the request sets no `max_tokens`.
constexpr std::uint32_t default_max_tokens = 256;

/// Limits on the body of a chat. Tools are described by nested schemas.
constexpr json_limits chat_limits{512, 1'000'000};

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view requests_root = "/v1/requests/";
constexpr std::string_view services_root = "/v1/services/";

std::string path_without_query(const http_request& request)
{
    return request.path.substr(0, request.path.find('?'));
}

/// Parses a whole decimal number. Returns false if the text holds anything else.
template <class Number>
bool parse_number(std::string_view text, Number& number)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

/// Returns the value of a header, or an empty string if it is absent.
std::string header_value(const http_request& request, std::string_view name)
{
    const auto it = request.headers.find(std::string(name));
    return it == request.headers.end() ? std::string() : it->second;
}

/// Parses a header that holds an identifier. Returns an empty identifier if it is absent.
template <class Id>
result<Id> parse_optional_id(const http_request& request, std::string_view name)
{
    const std::string text = header_value(request, name);
    if (text.empty())
        return Id();
    return Id::make(text);
}

/// Parses the deadline header. Returns 0 if it is absent.
result<microseconds> parse_deadline(const http_request& request)
{
    const std::string text = header_value(request, header_deadline);
    if (text.empty())
        return microseconds{0};
    std::uint32_t ms = 0;
    if (!parse_number(text, ms) || ms == 0)
        return fail(error_code::invalid_argument, "parse deadline", "",
                    std::string(header_deadline) + " must be a whole number of milliseconds");
    return microseconds(milliseconds(ms));
}

/// Parses the headers that chats and calls of plain services have in common, and takes the body.
result<call> parse_common_headers(const http_request& request, const request_id& fallback)
{
    call c;
    auto workspace = workspace_id::make(header_value(request, header_workspace));
    if (!workspace)
        return fail(error_code::invalid_argument, "parse workspace", "",
                    std::string(header_workspace) + " is required");
    auto id = parse_optional_id<request_id>(request, header_request_id);
    auto key = parse_optional_id<idempotency_key>(request, header_idempotency_key);
    auto budget = parse_deadline(request);
    const std::string rank_name = header_value(request, header_rank);
    auto r = rank_name.empty() ? result<rank>(rank::normal) : parse_rank(rank_name);
    if (!id)
        return tl::unexpected(id.error());
    if (!key)
        return tl::unexpected(key.error());
    if (!budget)
        return tl::unexpected(budget.error());
    if (!r)
        return tl::unexpected(r.error());
    c.workspace = std::move(*workspace);
    c.id = id->empty() ? fallback : *id;
    c.key = std::move(*key);
    c.budget = *budget;
    c.priority = *r;
    c.digest = body_digest::of(request.body);
    c.body = bytes::from(request.body);
    return c;
}

/// Joins the messages in the order in which an engine reads them. Chats that begin with the same
/// messages then have the same leading hashes.
std::string prompt_text(const json& messages)
{
    std::string text;
    for (const auto& m : messages) {
        text += m.value("role", "");
        text += '\n';
        if (m.contains("content") && m["content"].is_string())
            text += m["content"].get_ref<const std::string&>();
        text += '\n';
    }
    return text;
}

/// Returns one hash per whole block of the text. Each hash covers the text from its beginning up to
/// the end of that block; a partial block at the end has none.
std::vector<hash64> prefix_hashes(std::string_view text)
{
    constexpr std::size_t block_bytes = prefix_block_tokens * bytes_per_token;
    std::vector<hash64> hashes;
    hash64 seed = 0;
    for (std::size_t offset = 0; offset + block_bytes <= text.size(); offset += block_bytes) {
        seed = hash_of(text.substr(offset, block_bytes), seed);
        hashes.push_back(seed);
    }
    return hashes;
}

/// Checks the JSON body of a chat and returns its model, estimated token counts and prefix hashes.
result<chat_target> parse_chat_target(const json& doc)
{
    constexpr std::string_view step = "parse chat request";
    if (!doc.contains("model") || !doc["model"].is_string())
        return fail(error_code::invalid_argument, step, "", "model is required");
    if (!doc.contains("messages") || !doc["messages"].is_array() || doc["messages"].empty())
        return fail(error_code::invalid_argument, step, "", "messages are required");
    for (const auto& m : doc["messages"]) {
        if (!m.is_object() || !m.contains("role") || !m["role"].is_string())
            return fail(error_code::invalid_argument, step, "", "a message needs a role");
    }
    chat_target t;
    auto model = model_id::make(doc["model"].get<std::string>());
    if (!model)
        return tl::unexpected(model.error());
    t.model = std::move(*model);
    if (doc.contains("adapter") && doc["adapter"].is_string())
        t.adapter = model_id::make(doc["adapter"].get<std::string>()).value_or(model_id());
    const std::string text = prompt_text(doc["messages"]);
    t.prompt_tokens = static_cast<std::uint32_t>(text.size() / bytes_per_token + 1);
    t.max_tokens = default_max_tokens;
    if (doc.contains("max_tokens")) {
        if (!doc["max_tokens"].is_number_unsigned() || doc["max_tokens"] > 1'000'000)
            return fail(error_code::invalid_argument, step, "", "max_tokens is out of range");
        t.max_tokens = doc["max_tokens"].get<std::uint32_t>();
    }
    t.prefix = prefix_hashes(text);
    return t;
}

} // namespace

result<parsed_call> parse_chat_call(const http_request& request, const request_id& fallback)
{
    auto c = parse_common_headers(request, fallback);
    if (!c)
        return tl::unexpected(c.error());
    const auto body = parse_json(request.body, chat_limits);
    if (!body || !body->is_object())
        return fail(error_code::invalid_argument, "parse chat request", "",
                    body ? "not a JSON object" : body.error().text);
    const json& doc = *body;
    auto target = parse_chat_target(doc);
    if (!target)
        return tl::unexpected(target.error());
    auto chat = parse_optional_id<chat_id>(request, header_chat);
    if (!chat)
        return tl::unexpected(chat.error());
    target->chat = std::move(*chat);
    c->target = std::move(*target);
    c->idempotent = c->key.empty();
    const bool streamed = doc.contains("stream") && doc["stream"].is_boolean() && doc["stream"];
    return parsed_call{std::move(*c), streamed};
}

result<parsed_call> parse_service_call(const http_request& request, const request_id& fallback)
{
    constexpr std::string_view step = "parse service call";
    if (!request.path.starts_with(services_root))
        return fail(error_code::not_found, step, "", "no such page");
    auto c = parse_common_headers(request, fallback);
    if (!c)
        return tl::unexpected(c.error());
    const std::string after_root = request.path.substr(services_root.size());
    const auto slash = after_root.find_first_of("/?");
    auto service = service_id::make(after_root.substr(0, slash));
    if (!service)
        return fail(error_code::invalid_argument, step, "", "a service name is required");
    service_target target;
    target.service = std::move(*service);
    target.method = request.method;
    target.path = slash == std::string::npos ? "/" : after_root.substr(slash);
    if (target.path.front() == '?')
        target.path.insert(0, "/");
    target.content_type = header_value(request, "content-type");
    c->target = std::move(target);
    c->idempotent = request.method != "POST" && request.method != "PATCH";
    return parsed_call{std::move(*c), false};
}

result<parsed_resume> parse_resume(const http_request& request)
{
    constexpr std::string_view step = "parse resume";
    const std::string path = path_without_query(request);
    const std::string name = path.starts_with(requests_root)
                                 ? path.substr(requests_root.size())
                                 : header_value(request, header_request_id);
    auto id = request_id::make(name);
    if (!id)
        return fail(error_code::invalid_argument, step, "",
                    std::string(header_request_id) + " is required with " +
                        std::string(header_last_event_id));
    auto workspace = workspace_id::make(header_value(request, header_workspace));
    if (!workspace)
        return fail(error_code::invalid_argument, step, "",
                    std::string(header_workspace) + " is required");
    const std::string text = header_value(request, header_last_event_id);
    std::uint64_t last_event_id = 0;
    if (!text.empty() && !parse_number(text, last_event_id))
        return fail(error_code::invalid_argument, step, "",
                    std::string(header_last_event_id) + " must be a whole number");
    return parsed_resume{std::move(*id), std::move(*workspace), last_event_id};
}

result<parsed_request> parse_request(const http_request& request, const request_id& fallback)
{
    constexpr std::string_view step = "parse request";
    const auto to_parsed_request = [](auto parsed) {
        return parsed.map([](auto value) { return parsed_request(std::move(value)); });
    };
    const std::string path = path_without_query(request);
    const bool is_read = request.method == "GET" || request.method == "HEAD";
    if (is_read && path == "/healthz")
        return probe::health;
    if (is_read && path == "/readyz")
        return probe::readiness;
    if (path == chat_path) {
        if (request.method != "POST")
            return fail(error_code::invalid_argument, step, "", "the method must be POST");
        if (!header_value(request, header_last_event_id).empty())
            return to_parsed_request(parse_resume(request));
        return to_parsed_request(parse_chat_call(request, fallback));
    }
    if (path.starts_with(requests_root)) {
        if (request.method != "GET")
            return fail(error_code::invalid_argument, step, "", "the method must be GET");
        return to_parsed_request(parse_resume(request));
    }
    if (path.starts_with(services_root) && !request.method.empty())
        return to_parsed_request(parse_service_call(request, fallback));
    return fail(error_code::not_found, step, "", "no such page or method");
}

std::string sse_event(std::uint64_t id, std::string_view data)
{
    std::string text = "id: " + std::to_string(id) + "\ndata: ";
    text += data;
    text += "\n\n";
    return text;
}

std::string error_json(const error& failure, run_outcome outcome, const request_id& request)
{
    const json doc{{"error",
                    {{"code", std::string(to_string(failure.code))},
                     {"step", failure.step},
                     {"peer", failure.peer},
                     {"message", failure.text},
                     {"request_id", request.str()},
                     {"outcome", std::string(to_string(outcome))}}}};
    return doc.dump(-1, ' ', false, json::error_handler_t::replace);
}

int http_status(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
    case error_code::unsupported_version:
        return 400;
    case error_code::unauthenticated:
        return 401;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
    case error_code::stale:
        return 409;
    case error_code::too_large:
        return 413;
    case error_code::quarantined:
        return 422;
    case error_code::overloaded:
        return 429;
    case error_code::cancelled:
        return 499;
    case error_code::engine_crashed:
        return 502;
    case error_code::unavailable:
    case error_code::draining:
        return 503;
    case error_code::deadline_exceeded:
        return 504;
    case error_code::io_failure:
    case error_code::corrupt:
        break;
    }
    return 500;
}

result<std::vector<std::string>> sse_parser::feed(std::string_view piece)
{
    buffer_ += piece;
    std::vector<std::string> payloads;
    std::size_t begin = 0;
    for (auto end = buffer_.find("\n\n"); end != std::string::npos;
         end = buffer_.find("\n\n", begin)) {
        const std::string_view event(buffer_.data() + begin, end - begin);
        const auto data = event.find("data: ");
        if (data != std::string_view::npos)
            payloads.emplace_back(event.substr(data + 6));
        begin = end + 2;
    }
    buffer_.erase(0, begin);
    if (buffer_.size() > max_event_bytes)
        return fail(error_code::too_large, "parse event stream", "", "an event is too large");
    return payloads;
}

} // namespace bluebell::wire
