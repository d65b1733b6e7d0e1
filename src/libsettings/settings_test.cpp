// Checks that a settings file is accepted, or refused with all its errors and their lines, and that
// the example files are valid.

#include <bluebell/settings/settings.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>

using namespace bluebell;

namespace {

const char* const router_settings = "[node]\n"
                                    "role = router\n"
                                    "id = router-1\n"
                                    "region = austral\n"
                                    "availability_zone = a\n"
                                    "listen = 127.0.0.1:7001\n"
                                    "[control]\n"
                                    "replicas = c1=127.0.0.1:7002\n"
                                    "[http]\n"
                                    "listen = 127.0.0.1:8080\n";

/// Returns whether an error for this key and line is among the errors.
bool contains_error(const std::vector<settings::settings_error>& errors, const std::string& key,
                    int line)
{
    return std::any_of(errors.begin(), errors.end(),
                       [&](const auto& e) { return e.key == key && e.line == line; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_files)

BOOST_AUTO_TEST_CASE(valid_settings_are_accepted)
{
    const auto s = settings::parse(router_settings, "r.ini");
    BOOST_REQUIRE(s.has_value());
    BOOST_TEST(s->self.id.str() == "router-1");
    BOOST_TEST(s->caller_endpoint.port == 8080);
    BOOST_TEST(s->controls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_with_their_lines)
{
    const std::string text = std::string(router_settings) + "max_body_bytes = many\n"
                                                            "colour = blue\n"
                                                            "[engine]\n"
                                                            "slots = 4\n"
                                                            "[node]\n"
                                                            "role = agent\n";
    const auto s = settings::parse(text, "r.ini");
    BOOST_REQUIRE(!s.has_value());
    BOOST_TEST(contains_error(s.error(), "http.max_body_bytes", 11));
    BOOST_TEST(contains_error(s.error(), "http.colour", 12));
    BOOST_TEST(contains_error(s.error(), "engine.slots", 14));
    BOOST_TEST(contains_error(s.error(), "node.role", 16));
}

BOOST_AUTO_TEST_CASE(missing_required_keys_are_reported)
{
    const auto s = settings::parse("[node]\nrole = agent\n", "a.ini");
    BOOST_REQUIRE(!s.has_value());
    for (const char* key : {"node.id", "node.region", "node.listen", "control.replicas",
                            "engine.address", "engine.slots"})
        BOOST_TEST(contains_error(s.error(), key, 0), key);
}

BOOST_AUTO_TEST_CASE(reload_applies_only_reloadable_keys)
{
    const auto current = settings::parse(router_settings, "r.ini");
    const auto next = settings::parse(
        std::string(router_settings) + "idle_timeout_s = 5\n[log]\nlevel = error\n", "r.ini");
    BOOST_REQUIRE((current && next));
    const auto r = settings::reload(*current, *next);
    BOOST_TEST((r.settings.log.min_level == core::log_level::error));
    BOOST_TEST((r.settings.caller_http_limits == current->caller_http_limits));
    BOOST_TEST((r.needs_restart == std::vector<std::string>{"http limits"}));
}

BOOST_AUTO_TEST_CASE(every_example_file_is_valid)
{
    int file_count = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(BLUEBELL_EXAMPLES)) {
        if (entry.path().extension() != ".ini")
            continue;
        const auto s = settings::load(entry.path().string());
        if (!s) {
            for (const auto& e : s.error())
                BOOST_TEST_MESSAGE(settings::to_string(e));
        }
        BOOST_TEST(s.has_value(), entry.path().string());
        file_count += 1;
    }
    BOOST_TEST(file_count >= 8);
}

BOOST_AUTO_TEST_SUITE_END()
