// Checks which requests of operators are authenticated, parsed and refused.

#include <bluebell/admin/operator_api.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

namespace {

constexpr const char* token = "a-long-enough-token";

admin::operator_tokens tokens()
{
    return *admin::operator_tokens::make(std::string("# operators\nana ") + token + "\n");
}

wire::http_request post(const std::string& path, const std::string& body)
{
    return {"POST", path, {{"authorization", std::string("Bearer ") + token}}, body};
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_api)

BOOST_AUTO_TEST_CASE(config_needs_a_token_and_health_does_not)
{
    wire::http_request r{"GET", "/healthz", {}, ""};
    BOOST_TEST(admin::parse(r, tokens(), wall_time{0}).has_value());
    r.path = "/v1/config";
    const auto refused = admin::parse(r, tokens(), wall_time{0});
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().code == error_code::unauthenticated));
    r.headers["authorization"] = std::string("Bearer ") + token;
    BOOST_TEST(admin::parse(r, tokens(), wall_time{0}).has_value());
    r.headers["authorization"] = "Bearer a-long-enough-tokem";
    BOOST_TEST(!admin::parse(r, tokens(), wall_time{0}).has_value());
    r.headers["authorization"] = "Bearer ";
    BOOST_TEST(!admin::parse(r, tokens(), wall_time{0}).has_value());
}

BOOST_AUTO_TEST_CASE(change_contains_operator_operation_and_revision)
{
    const auto r = admin::parse(
        post("/v1/config",
             R"({"operation":"op-1","made_from":3,"defaults":{"load_bound_permille":"1300"}})"),
        tokens(), wall_time{9});
    BOOST_REQUIRE(r.has_value());
    const auto& change = std::get<admin::submit_change>(*r);
    const auto& c = std::get<config_change>(change.change);
    BOOST_TEST(c.issuer.str() == "ana");
    BOOST_TEST(c.operation == "op-1");
    BOOST_TEST(c.base_revision == 3U);
    BOOST_TEST(c.document.defaults.at("load_bound_permille") == "1300");
}

BOOST_AUTO_TEST_CASE(exception_without_a_reason_is_refused)
{
    const std::string with_reason =
        R"({"operation":"o","made_from":1,"exception":{"name":"e","scope":"workspace:w",)"
        R"("key":"weight","value":"2","reason":"the draw closes on Friday"}})";
    BOOST_TEST(
        admin::parse(post("/v1/exceptions", with_reason), tokens(), wall_time{0}).has_value());
    std::string without_reason = with_reason;
    without_reason.replace(without_reason.find("the draw closes on Friday"), 25, "");
    BOOST_TEST(
        !admin::parse(post("/v1/exceptions", without_reason), tokens(), wall_time{0}).has_value());
}

BOOST_AUTO_TEST_CASE(malformed_bodies_are_refused)
{
    for (const char* path :
         {"/v1/config", "/v1/exceptions", "/v1/orders", "/v1/drains", "/v1/quarantine/release"}) {
        for (const char* body : {"", "[]", "{}", R"({"operation":"o"})", R"({"operation":1})"})
            BOOST_TEST(!admin::parse(post(path, body), tokens(), wall_time{0}).has_value(), path);
    }
}

// Guards against an exception that ends the control process: members of an unexpected JSON type.
BOOST_AUTO_TEST_CASE(members_of_an_unexpected_type_are_refused)
{
    for (const char* value : {"1", "\"yes\"", "null", "[]", "{}"}) {
        const std::string drain =
            R"({"operation":"o","node":"agent-1","why":"x","draining":)" + std::string(value) + "}";
        BOOST_TEST(!admin::parse(post("/v1/drains", drain), tokens(), wall_time{0}).has_value());
        const std::string config = R"({"operation":"o","made_from":1,"defaults":{},"exceptions":)" +
                                   std::string(value) + "}";
        BOOST_CHECK_NO_THROW(
            (void)admin::parse(post("/v1/config", config), tokens(), wall_time{0}));
    }
}

// Guards against a process that ends because a copy of a change takes a level of the stack for each
// of its levels.
BOOST_AUTO_TEST_CASE(a_deeply_nested_change_is_refused)
{
    constexpr std::size_t depth = 500'000;
    const std::string lists = std::string(depth, '[') + std::string(depth, ']');
    const auto r = admin::parse(
        post("/v1/config",
             R"({"operation":"o","made_from":1,"defaults":{},"exceptions":)" + lists + "}"),
        tokens(), wall_time{0});
    BOOST_REQUIRE(!r.has_value());
    BOOST_TEST((r.error().code == error_code::invalid_argument));
    BOOST_TEST(r.error().text.find("nested") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_release_from_quarantine_names_a_digest_and_a_reason)
{
    const std::string digest = to_string(body_digest{0x12, 0xabcdef});
    const auto parse_release = [](const std::string& body) {
        return admin::parse(post("/v1/quarantine/release", body), tokens(), wall_time{0});
    };
    const auto parsed =
        parse_release(R"({"operation":"o","why":"fixed","digest":")" + digest + "\"}");
    BOOST_REQUIRE(parsed.has_value());
    const auto& change = std::get<admin::submit_change>(*parsed).change;
    BOOST_TEST((std::get<quarantine_release>(change).digest == body_digest{0x12, 0xabcdef}));
    BOOST_TEST(!parse_release(R"({"operation":"o","digest":")" + digest + "\"}").has_value());
    for (const char* wrong : {"", "12", "zz", "1200000000000000000000000000000g"})
        BOOST_TEST(
            !parse_release(R"({"operation":"o","why":"x","digest":")" + std::string(wrong) + "\"}")
                 .has_value());
}

BOOST_AUTO_TEST_CASE(what_is_quarantined_is_shown_with_its_time_left)
{
    quarantine_table table;
    table.quarantined_until.emplace(body_digest{1, 2}, seconds(600));
    BOOST_TEST(admin::quarantine_json(table, seconds(100)) ==
               R"({"quarantined":[{"digest":"00000000000000010000000000000002","ends_in_s":500}],)"
               R"("suspects":[]})");
}

BOOST_AUTO_TEST_CASE(short_tokens_are_refused)
{
    BOOST_TEST(!admin::operator_tokens::make("ana short\n").has_value());
    BOOST_TEST(!admin::operator_tokens::make("ana\n").has_value());
}

// Guards against an order whose direction is guessed when the member is missing or misspelt.
BOOST_AUTO_TEST_CASE(an_evacuation_states_its_zone_and_direction)
{
    const auto parse = [](const char* body) {
        return admin::parse(post("/v1/evacuations", body), tokens(), wall_time{9});
    };
    const auto start = parse(R"({"operation":"op-1","zone":"a","evacuated":true,"why":"flood"})");
    BOOST_REQUIRE(start.has_value());
    const auto& change = std::get<admin::submit_change>(*start).change;
    BOOST_TEST((std::get<zone_evacuation>(change) ==
                zone_evacuation{"op-1", operator_id::from_trusted("ana"),
                                zone_id::from_trusted("a"), true, wall_time{9}, "flood"}));
    BOOST_TEST(!parse(R"({"operation":"op-1","zone":"a"})").has_value());
    BOOST_TEST(!parse(R"({"operation":"op-1","zone":"","evacuated":false})").has_value());
}

BOOST_AUTO_TEST_CASE(evacuations_are_shown_with_their_age_and_as_metrics)
{
    control_state control;
    const auto zone = zone_id::from_trusted("a");
    control.zones = {zone, zone_id::from_trusted("b")};
    node_state st;
    st.role = control;
    BOOST_TEST(admin::evacuation_metrics(st, instant{}, wall_time{0}) == "");
    control.machine.evacuations = {4, {zone}};
    control.machine.evacuation_records[zone] = {4, {}, wall_time(1'000'000), "flood"};
    st.role = control;
    BOOST_TEST(admin::evacuations_json(control.machine, wall_time(8'500'000)) ==
               R"({"version":4,"evacuations":[{"zone":"a","for_s":7,"who":"platform",)"
               R"("why":"flood","version":4}]})");
    BOOST_TEST(admin::evacuation_metrics(st, instant{}, wall_time(8'500'000)) ==
               "bluebell_zone_evacuated{zone=\"a\"} 1\n"
               "bluebell_zone_evacuation_age_seconds{zone=\"a\"} 7.5\n"
               "bluebell_zone_evacuated{zone=\"b\"} 0\n");
}

BOOST_AUTO_TEST_SUITE_END()
