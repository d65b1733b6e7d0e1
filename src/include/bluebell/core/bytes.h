/// \file
/// An immutable byte string with constant-time copies, used for request bodies and answer data.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace bluebell::core {

/// A shared, immutable byte string. Copies share the data; comparisons are by content.
class bytes {
public:
    bytes() = default;

    [[nodiscard]] static bytes from(std::string text)
    {
        return bytes(std::make_shared<const std::string>(std::move(text)));
    }

    [[nodiscard]] std::string_view view() const
    {
        return data_ ? std::string_view(*data_) : std::string_view();
    }
    [[nodiscard]] std::size_t size() const { return view().size(); }
    [[nodiscard]] bool empty() const { return view().empty(); }

    friend bool operator==(const bytes& a, const bytes& b) { return a.view() == b.view(); }
    friend auto operator<=>(const bytes& a, const bytes& b) { return a.view() <=> b.view(); }

private:
    explicit bytes(std::shared_ptr<const std::string> data) : data_(std::move(data)) {}

    std::shared_ptr<const std::string> data_;
};

} // namespace bluebell::core
