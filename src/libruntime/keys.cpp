// CURVE keys: made by ZeroMQ, kept in a small text file.

#include <bluebell/runtime/keys.h>

#include <sys/stat.h>
#include <zmq.h>

#include <array>
#include <fstream>
#include <sstream>

namespace bluebell::runtime {

using core::error_code;

namespace {

constexpr std::string_view read_step = "read key file";
constexpr std::size_t z85_length = 40;
using z85_text = std::array<char, z85_length + 1>;

/// The text after `NAME =` on its own line; empty if there is no such line.
std::string value_of(const std::string& text, const std::string& name)
{
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::string key;
        std::string equals;
        std::string value;
        if (words >> key >> equals >> value && key == name && equals == "=")
            return value;
    }
    return {};
}

} // namespace

core::result<key_pair> generate_key_pair()
{
    z85_text open{};
    z85_text secret{};
    if (zmq_curve_keypair(open.data(), secret.data()) != 0)
        return core::fail(error_code::unavailable, "make key pair", "", zmq_strerror(zmq_errno()));
    return key_pair{open.data(), secret.data()};
}

std::string format_key_file(const key_pair& keys)
{
    return "public = " + keys.public_key + "\nsecret = " + keys.secret_key + "\n";
}

core::result<key_pair> read_key_file(const std::string& path)
{
    struct stat about = {};
    if (::stat(path.c_str(), &about) != 0)
        return core::fail(error_code::not_found, read_step, path, "no such file");
    if ((about.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return core::fail(error_code::unauthenticated, read_step, path,
                          "others than the owner may read it; allowed is mode 600");
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    const key_pair keys{value_of(text.str(), "public"), value_of(text.str(), "secret")};
    z85_text open{};
    const bool whole = in.good() && keys.public_key.size() == z85_length &&
                       keys.secret_key.size() == z85_length &&
                       zmq_curve_public(open.data(), keys.secret_key.c_str()) == 0;
    if (!whole || keys.public_key != open.data())
        return core::fail(error_code::invalid_argument, read_step, path,
                          "allowed are lines `public = Z85` and `secret = Z85` of one pair");
    return keys;
}

} // namespace bluebell::runtime
