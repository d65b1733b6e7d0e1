// HTTP/1 messages by Boost.Beast's basic_parser; the parser alone is used, no Asio I/O.

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

/// Collects one message. The functions are those that Beast's parser asks for.
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
        head.old_version = version == 10;
        if (version != 10 && version != 11)
            ec = http::error::bad_version;
    }
    void on_response_impl(int code, beast::string_view, int, beast::error_code&) override
    {
        head.status = static_cast<std::uint16_t>(code);
    }
    void on_field_impl(http::field name, beast::string_view name_text, beast::string_view value,
                       beast::error_code& ec) override
    {
        // Beast ignores a coding that it doesn't know, and would take the body for a message.
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

/// The head is judged whole, as the parser unfolds what is folded.
core::result<void> check_lines(std::string_view head)
{
    for (std::size_t at = head.find('\n'); at != std::string_view::npos;
         at = head.find('\n', at + 1)) {
        const bool bare = at == 0 || head[at - 1] != '\r';
        const bool folded = at + 1 < head.size() && (head[at + 1] == ' ' || head[at + 1] == '\t');
        if (bare || folded)
            return core::fail(error_code::invalid_argument, "read head", "",
                              bare ? "bare line feed" : "folded header");
    }
    return {};
}

} // namespace

bool header_names_equal(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
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
    std::uint32_t max_head = 0;
    /// Beast 1.74 takes the absence of a limit for a limit of none.
    std::uint64_t max_body = std::numeric_limits<std::uint64_t>::max();
    bool is_request = true;
    bool lines_checked = false;
    std::variant<std::unique_ptr<request_collector>, std::unique_ptr<answer_collector>> parser;

    void start(bool body_expected)
    {
        lines_checked = false;
        if (is_request)
            parser = std::make_unique<request_collector>();
        else
            parser = std::make_unique<answer_collector>();
        std::visit(
            [&](auto& p) {
                p->eager(true);
                p->header_limit(max_head);
                p->body_limit(max_body);
                p->skip(!body_expected);
            },
            parser);
    }

    template <class Parser>
    core::result<std::size_t> read(Parser& p, std::string_view data)
    {
        if (!p.is_header_done() && !lines_checked) {
            const auto end = data.find("\r\n\r\n");
            const auto head = data.substr(0, end);
            if (auto good = check_lines(head); !good)
                return tl::unexpected(good.error());
            if (head.size() > max_head)
                return core::fail(error_code::too_large, "read head", "", "head too long");
            if (end == std::string_view::npos)
                return 0;
            lines_checked = true;
        }
        std::size_t used = 0;
        while (used < data.size() && !p.is_done()) {
            beast::error_code ec;
            const auto rest = data.substr(used);
            const bool had_head = p.is_header_done();
            const auto n = p.put(boost::asio::const_buffer(rest.data(), rest.size()), ec);
            used += n;
            if (!had_head && p.is_header_done())
                finish_head(p);
            if (ec == http::error::need_more)
                break;
            if (ec)
                return failure(ec);
            if (n == 0)
                break;
        }
        return used;
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

message_reader::message_reader(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}
message_reader::message_reader(message_reader&&) noexcept = default;
message_reader& message_reader::operator=(message_reader&&) noexcept = default;
message_reader::~message_reader() = default;

message_reader message_reader::requests(std::uint32_t max_head, std::uint32_t max_body)
{
    auto parts = std::make_unique<impl>();
    parts->max_head = max_head;
    parts->max_body = max_body;
    parts->start(true);
    return message_reader(std::move(parts));
}

message_reader message_reader::answers(std::uint32_t max_head)
{
    auto parts = std::make_unique<impl>();
    parts->max_head = max_head;
    parts->is_request = false;
    parts->start(true);
    return message_reader(std::move(parts));
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

bool message_reader::begun() const
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
