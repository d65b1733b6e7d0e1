// HTTP/1 message parsing with Boost.Beast's basic_parser. Only the parser is used, no Asio I/O.

#include <bluebell/runtime/message_reader.h>

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cctype>
#include <limits>
#include <variant>

namespace bluebell::runtime {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using core::error_code;

namespace {

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string to_string(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns whether an answer may have this status. Beast takes any three digits. No request here
/// asks for another protocol, so none may be switched to.
bool is_valid_status(int status)
{
    constexpr int lowest = 100;
    constexpr int highest = 599;
    constexpr int switching_protocols = 101;
    return status >= lowest && status <= highest && status != switching_protocols;
}

/// Collects one message. The member functions are the callbacks that Beast's parser requires.
template <bool IsRequest>
class collector final : public http::basic_parser<IsRequest> {
public:
    message_head head;
    std::string body;

private:
    void on_request_impl(http::verb, beast::string_view method, beast::string_view target,
                         int version, beast::error_code& ec) override
    {
        head.method = to_string(method);
        head.target = to_string(target);
        head.is_http_1_0 = version == 10;
        if (version != 10 && version != 11)
            ec = http::error::bad_version;
    }
    void on_response_impl(int code, beast::string_view, int, beast::error_code& ec) override
    {
        head.status = static_cast<std::uint16_t>(code);
        if (!is_valid_status(code))
            ec = http::error::bad_status;
    }
    void on_field_impl(http::field name, beast::string_view name_text, beast::string_view value,
                       beast::error_code& ec) override
    {
        // Beast ignores unknown transfer codings and would parse the body as the next message.
        if (name == http::field::transfer_encoding &&
            !header_names_equal(to_string(value), "chunked"))
            ec = http::error::bad_transfer_encoding;
        head.headers.push_back({to_string(name_text), to_string(value)});
    }
    void on_header_impl(beast::error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, beast::error_code&) override {}
    std::size_t on_body_impl(beast::string_view data, beast::error_code&) override
    {
        body.append(data.data(), data.size());
        return data.size();
    }
    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view data,
                                   beast::error_code&) override
    {
        body.append(data.data(), data.size());
        return data.size();
    }
    void on_finish_impl(beast::error_code&) override {}
};

using request_collector = collector<true>;
using answer_collector = collector<false>;

/// Rejects bare line feeds and folded headers. The complete head is checked before it is parsed,
/// because the parser unfolds folded headers.
core::result<void> check_line_endings(std::string_view lines, std::string_view step)
{
    for (std::size_t newline = lines.find('\n'); newline != std::string_view::npos;
         newline = lines.find('\n', newline + 1)) {
        const bool is_bare = newline == 0 || lines[newline - 1] != '\r';
        const bool is_folded =
            newline + 1 < lines.size() && (lines[newline + 1] == ' ' || lines[newline + 1] == '\t');
        if (is_bare || is_folded)
            return core::fail(error_code::invalid_argument, step, "",
                              is_bare ? "bare line feed" : "folded header");
    }
    return {};
}

} // namespace

bool header_names_equal(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view find_header(const std::vector<core::header_field>& fields, std::string_view name)
{
    const auto it = std::find_if(fields.begin(), fields.end(), [&](const core::header_field& f) {
        return header_names_equal(f.name, name);
    });
    return it == fields.end() ? std::string_view() : std::string_view(it->value);
}

struct message_reader::impl {
    std::uint32_t max_head_bytes = 0;
    /// Maximum size of a body in bytes. It is always set, because Beast 1.74 treats a missing limit
    /// as a limit of 0.
    std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
    bool is_request = true;
    bool line_endings_checked = false;
    std::variant<std::unique_ptr<request_collector>, std::unique_ptr<answer_collector>> parser;

    void start(bool body_expected)
    {
        line_endings_checked = false;
        if (is_request)
            parser = std::make_unique<request_collector>();
        else
            parser = std::make_unique<answer_collector>();
        std::visit(
            [&](auto& p) {
                p->eager(true);
                p->header_limit(max_head_bytes);
                p->body_limit(max_body_bytes);
                p->skip(!body_expected);
            },
            parser);
    }

    template <class Parser>
    core::result<std::size_t> read(Parser& p, std::string_view data)
    {
        if (!p.is_header_done() && !line_endings_checked) {
            const auto end = data.find("\r\n\r\n");
            const auto head = data.substr(0, end);
            if (auto checked = check_line_endings(head, "read head"); !checked)
                return tl::unexpected(checked.error());
            if (head.size() > max_head_bytes)
                return core::fail(error_code::too_large, "read head", "", "head too long");
            if (end == std::string_view::npos)
                return 0;
            line_endings_checked = true;
        }
        std::size_t consumed = 0;
        while (consumed < data.size() && !p.is_done()) {
            beast::error_code ec;
            const auto remaining = data.substr(consumed);
            const bool had_head = p.is_header_done();
            const auto n = p.put(boost::asio::const_buffer(remaining.data(), remaining.size()), ec);
            consumed += n;
            if (!had_head && p.is_header_done())
                finish_head(p);
            if (ec == http::error::need_more)
                break;
            if (ec)
                return failure(ec);
            if (n == 0)
                break;
        }
        if (!p.is_done()) {
            if (auto checked = check_unfinished_line(data.substr(consumed)); !checked)
                return tl::unexpected(checked.error());
        }
        return consumed;
    }

    /// Checks what the parser leaves, the beginning of a chunk's header or of the trailers. The
    /// parser would wait for the end of a line that a bare line feed ends.
    [[nodiscard]] core::result<void> check_unfinished_line(std::string_view rest) const
    {
        if (rest.size() > max_head_bytes)
            return core::fail(error_code::too_large, "read body", "",
                              "chunk header or trailers too long");
        return check_line_endings(rest, "read body");
    }

    template <class Parser>
    static void finish_head(Parser& p)
    {
        p.head.keep_alive = p.keep_alive();
        p.head.until_close = p.need_eof();
        if (const auto n = p.content_length())
            p.head.body_length = *n;
    }

    static tl::unexpected<core::error> failure(const beast::error_code& ec)
    {
        if (ec == http::error::header_limit)
            return core::fail(error_code::too_large, "read head", "", ec.message());
        if (ec == http::error::body_limit)
            return core::fail(error_code::too_large, "read body", "", ec.message());
        return core::fail(error_code::invalid_argument, "read message", "", ec.message());
    }
};

message_reader::message_reader(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
message_reader::message_reader(message_reader&&) noexcept = default;
message_reader& message_reader::operator=(message_reader&&) noexcept = default;
message_reader::~message_reader() = default;

message_reader message_reader::requests(std::uint32_t max_head_bytes, std::uint32_t max_body_bytes)
{
    auto state = std::make_unique<impl>();
    state->max_head_bytes = max_head_bytes;
    state->max_body_bytes = max_body_bytes;
    state->start(true);
    return message_reader(std::move(state));
}

message_reader message_reader::answers(std::uint32_t max_head_bytes)
{
    auto state = std::make_unique<impl>();
    state->max_head_bytes = max_head_bytes;
    state->is_request = false;
    state->start(true);
    return message_reader(std::move(state));
}

core::result<std::size_t> message_reader::read(std::string_view data)
{
    return std::visit([&](auto& p) { return impl_->read(*p, data); }, impl_->parser);
}

core::result<void> message_reader::close()
{
    return std::visit(
        [](auto& p) -> core::result<void> {
            beast::error_code ec;
            if (p->got_some() && !p->is_done())
                p->put_eof(ec);
            if (ec || !p->is_done())
                return core::fail(error_code::corrupt, "read message", "", "closed before the end");
            return {};
        },
        impl_->parser);
}

void message_reader::next(bool body_expected)
{
    impl_->start(body_expected);
}

bool message_reader::has_started() const
{
    return std::visit([](const auto& p) { return p->got_some(); }, impl_->parser);
}

bool message_reader::head_done() const
{
    return std::visit([](const auto& p) { return p->is_header_done(); }, impl_->parser);
}

bool message_reader::done() const
{
    return std::visit([](const auto& p) { return p->is_done(); }, impl_->parser);
}

const message_head& message_reader::head() const
{
    return std::visit([](const auto& p) -> const message_head& { return p->head; }, impl_->parser);
}

std::string message_reader::take_body()
{
    return std::visit([](auto& p) { return std::exchange(p->body, {}); }, impl_->parser);
}

} // namespace bluebell::runtime
