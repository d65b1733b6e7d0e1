// Decodes JSON by the library's events, which need no stack of calls and can be stopped.

#include <bluebell/wire/bounded_json.h>

#include <optional>
#include <utility>
#include <vector>

namespace bluebell::wire {

using namespace core;
using nlohmann::json;

namespace {

constexpr std::string_view step = "read JSON";

/// Builds one value from the events of the parser.
template <class Json>
class value_builder {
public:
    explicit value_builder(std::size_t max_values) : max_values_(max_values) {}

    /// Adds a scalar or an empty container. Returns false if that is a value too many.
    [[nodiscard]] bool add(Json value)
    {
        values_ += 1;
        if (values_ > max_values_)
            return false;
        const bool is_container = value.is_structured();
        Json* added = &root_;
        if (open_.empty())
            root_ = std::move(value);
        else if (open_.back()->is_array())
            added = &open_.back()->emplace_back(std::move(value));
        else
            added = &((*open_.back())[key_] = std::move(value));
        if (is_container)
            open_.push_back(added);
        return true;
    }
    void set_key(std::string key) { key_ = std::move(key); }
    void close() { open_.pop_back(); }
    [[nodiscard]] bool is_complete() const { return open_.empty(); }
    /// Returns the value and begins the next one.
    [[nodiscard]] Json take()
    {
        values_ = 0;
        return std::exchange(root_, Json());
    }

private:
    std::size_t max_values_;
    std::size_t values_ = 0;
    Json root_;
    /// Containers that are not complete, from the outermost one. Only the last element of each can
    /// be one of them, so no pointer is invalidated.
    std::vector<Json*> open_;
    std::string key_;
};

/// Receives the events of the library's parser. What the events are for is decided by `Target`,
/// which has the functions add(Json), open(Json), set_key(string) and close(); each returns false
/// to stop.
template <class Json, class Target>
class event_handler {
public:
    event_handler(Target& target, std::size_t max_depth) : target_(target), max_depth_(max_depth) {}

    bool null() { return target_.add(Json()); }
    bool boolean(bool value) { return target_.add(Json(value)); }
    bool number_integer(typename Json::number_integer_t value) { return target_.add(Json(value)); }
    bool number_unsigned(typename Json::number_unsigned_t value)
    {
        return target_.add(Json(value));
    }
    bool number_float(typename Json::number_float_t value, const std::string&)
    {
        return target_.add(Json(value));
    }
    bool string(std::string& value) { return target_.add(Json(std::move(value))); }
    bool binary(typename Json::binary_t&) { return false; }
    bool start_object(std::size_t) { return open(Json::object()); }
    bool key(std::string& name) { return target_.set_key(std::move(name)); }
    bool end_object() { return close(); }
    bool start_array(std::size_t) { return open(Json::array()); }
    bool end_array() { return close(); }
    bool parse_error(std::size_t, const std::string&, const typename Json::exception&)
    {
        is_malformed_ = true;
        return false;
    }

    [[nodiscard]] bool is_malformed() const { return is_malformed_; }
    [[nodiscard]] bool is_too_deep() const { return depth_ > max_depth_; }

private:
    bool open(Json container)
    {
        depth_ += 1;
        return !is_too_deep() && target_.open(std::move(container));
    }
    bool close()
    {
        depth_ -= 1;
        return target_.close();
    }

    Target& target_;
    std::size_t max_depth_;
    std::size_t depth_ = 0;
    bool is_malformed_ = false;
};

/// Takes a text as one value.
template <class Json>
class whole_value {
public:
    explicit whole_value(std::size_t max_values) : builder_(max_values) {}

    bool add(Json value) { return count(builder_.add(std::move(value))); }
    bool open(Json container) { return count(builder_.add(std::move(container))); }
    bool set_key(std::string key)
    {
        builder_.set_key(std::move(key));
        return true;
    }
    bool close()
    {
        builder_.close();
        return true;
    }
    [[nodiscard]] bool has_too_many_values() const { return has_too_many_values_; }
    [[nodiscard]] Json take() { return builder_.take(); }

private:
    bool count(bool has_room)
    {
        has_too_many_values_ = !has_room;
        return has_room;
    }

    value_builder<Json> builder_;
    bool has_too_many_values_ = false;
};

/// Takes a text as an object, member by member.
class object_members {
public:
    object_members(const json_members& members, std::size_t max_values)
        : members_(members), builder_(max_values)
    {
    }

    bool add(json value)
    {
        if (!is_in_object_)
            return refuse_root();
        return build(std::move(value)) && deliver_if_complete();
    }
    bool open(json container)
    {
        if (!is_in_object_) {
            is_in_object_ = container.is_object();
            return is_in_object_ || refuse_root();
        }
        const bool is_list = !is_building_ && !is_in_list_ && container.is_array() &&
                             members_.lists.contains(member_);
        if (is_list) {
            is_in_list_ = true;
            return members_.on_list(member_);
        }
        is_building_ = true;
        return build(std::move(container));
    }
    bool set_key(std::string key)
    {
        if (is_building_)
            builder_.set_key(std::move(key));
        else
            member_ = std::move(key);
        return true;
    }
    bool close()
    {
        if (is_building_) {
            builder_.close();
            return deliver_if_complete();
        }
        if (is_in_list_)
            is_in_list_ = false;
        return true;
    }

    [[nodiscard]] bool is_other_value() const { return is_other_value_; }
    [[nodiscard]] bool has_too_many_values() const { return has_too_many_values_; }

private:
    bool refuse_root()
    {
        is_other_value_ = true;
        return false;
    }
    bool build(json value)
    {
        has_too_many_values_ = !builder_.add(std::move(value));
        return !has_too_many_values_;
    }
    bool deliver_if_complete()
    {
        if (!builder_.is_complete())
            return true;
        is_building_ = false;
        return is_in_list_ ? members_.on_element(member_, builder_.take())
                           : members_.on_member(member_, builder_.take());
    }

    const json_members& members_;
    value_builder<json> builder_;
    std::string member_;
    bool is_in_object_ = false;
    bool is_in_list_ = false;  ///< the member is a list that is read element by element
    bool is_building_ = false; ///< an array or object of a member or an element is open
    bool is_other_value_ = false;
    bool has_too_many_values_ = false;
};

/// Returns whether the text has a string, number or name of more bytes.
bool has_longer_token(std::string_view text, std::size_t max_bytes)
{
    constexpr std::string_view separators = "{}[],: \t\r\n";
    bool is_in_string = false;
    std::size_t length = 0;
    for (std::size_t n = 0; n < text.size() && length <= max_bytes; ++n) {
        const char c = text[n];
        if (c == '"' || (!is_in_string && separators.find(c) != std::string_view::npos))
            length = 0;
        else
            length += 1;
        if (c == '"')
            is_in_string = !is_in_string;
        else if (c == '\\' && is_in_string)
            n += 1; // what is escaped may be a quotation mark
    }
    return length > max_bytes;
}

/// Runs the parser. Returns why the text can't be decoded, if it can't.
template <class Json, class Target>
std::optional<error> run(std::string_view text, const json_limits& limits, Target& target)
{
    const auto too_large = [](std::size_t limit, std::string_view unit) {
        return error{error_code::too_large, std::string(step), "",
                     "more than " + std::to_string(limit) + " " + std::string(unit)};
    };
    if (limits.max_token_bytes < text.size() && has_longer_token(text, limits.max_token_bytes))
        return too_large(limits.max_token_bytes, "bytes in a string or number");
    event_handler<Json, Target> handler(target, limits.max_depth);
    (void)Json::sax_parse(text, &handler);
    if (handler.is_malformed())
        return error{error_code::invalid_argument, std::string(step), "", "not valid JSON"};
    if (handler.is_too_deep())
        return too_large(limits.max_depth, "nested arrays and objects");
    if (target.has_too_many_values())
        return too_large(limits.max_values, "values");
    return std::nullopt;
}

template <class Json>
result<Json> parse_whole(std::string_view text, const json_limits& limits)
{
    whole_value<Json> target(limits.max_values);
    if (auto failure = run<Json>(text, limits, target))
        return tl::unexpected(std::move(*failure));
    return target.take();
}

} // namespace

result<json> parse_json(std::string_view text, const json_limits& limits)
{
    return parse_whole<json>(text, limits);
}

result<nlohmann::ordered_json> parse_ordered_json(std::string_view text, const json_limits& limits)
{
    return parse_whole<nlohmann::ordered_json>(text, limits);
}

result<void> read_json_object(std::string_view text, const json_limits& limits,
                              const json_members& members)
{
    object_members target(members, limits.max_values);
    if (auto failure = run<json>(text, limits, target))
        return tl::unexpected(std::move(*failure));
    if (target.is_other_value())
        return fail(error_code::invalid_argument, step, "", "not a JSON object");
    return {};
}

} // namespace bluebell::wire
