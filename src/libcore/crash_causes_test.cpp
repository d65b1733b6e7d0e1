// What requests that end workers have in common.

#include <bluebell/core/crash_causes.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace bluebell::core;

namespace {

engine_demand prompt(const std::vector<std::string>& names)
{
    engine_demand demand;
    demand.model = "m";
    hash64 previous_id = 0;
    for (const auto& name : names) {
        previous_id = hash_of(name, previous_id);
        demand.prompt.push_back({previous_id, 100, name});
    }
    return demand;
}

request_feature part(const std::string& name)
{
    return {feature_kind::prompt_part, hash_of(name)};
}

/// Collects ends and answers, one second apart.
struct ends_of_workers {
    end_evidence evidence;
    instant now{seconds(100)};
    hash64 last_request = 0;
    hash64 last_worker = 0;

    static feature_set features(const std::vector<std::string>& shared_parts,
                                const char* workspace = "lenas")
    {
        std::vector<std::string> names = shared_parts;
        names.push_back("own");
        return features_of(workspace_id::from_trusted(workspace), prompt(names));
    }
    broken_request request(const std::vector<std::string>& shared_parts,
                           const char* workspace = "lenas")
    {
        last_request += 1;
        return {last_request, features(shared_parts, workspace)};
    }
    void end(std::vector<broken_request> requests, microseconds later = seconds(1))
    {
        now += later;
        last_worker += 1;
        evidence = with_end(std::move(evidence), now, {last_worker, now, std::move(requests)});
    }
    void answer(const std::vector<std::string>& shared_parts)
    {
        for (const auto& f : features(shared_parts)) {
            if (may_end_workers(f.kind))
                evidence = with_answer(std::move(evidence), f, now);
        }
    }
    bool refuses(const std::vector<std::string>& shared_parts,
                 const char* workspace = "lenas") const
    {
        return find_match(find_causes(evidence, now).refused, features(shared_parts, workspace)) !=
               nullptr;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_causes, ends_of_workers)

// Guards against a part that ends worker after worker because each of its requests is another one.
BOOST_AUTO_TEST_CASE(requests_with_a_part_under_which_three_workers_ended_are_refused)
{
    end({request({"first", "bad"}), request({"first", "s1"})});
    end({request({"first", "bad"}), request({"first", "s2"})});
    BOOST_TEST(!refuses({"first", "bad"}));
    end({request({"first", "bad"}), request({"first", "s3"})});
    BOOST_TEST(refuses({"first", "bad"}));
    BOOST_TEST(refuses({"first", "s4", "bad"}));
    BOOST_TEST(!refuses({"first", "s3"}));
}

// Guards against a count by part that refuses what sound requests share with the others: then no
// answer could clear it any more.
BOOST_AUTO_TEST_CASE(requests_that_only_share_other_parts_go_on)
{
    for (int n = 0; n < 6; ++n)
        end({request({"first", "bad"}), request({"first", "session"})});
    BOOST_TEST(!refuses({"first"}));
    BOOST_TEST(!refuses({"first", "other"}));
    answer({"first", "session"});
    end({request({"first", "bad"}), request({"first", "session"})});
    BOOST_TEST(refuses({"first", "bad"}));
    BOOST_TEST(refuses({"other", "bad"}));
    BOOST_TEST(!refuses({"first", "session"}));
}

BOOST_AUTO_TEST_CASE(a_part_is_known_wherever_it_stands)
{
    end({request({"bad", "a"})});
    end({request({"b", "bad"})});
    end({request({"c", "d", "bad"})});
    BOOST_TEST(refuses({"e", "bad", "f"}));
    BOOST_TEST(!refuses({"b", "a", "c"}));
}

// Guards against a shared first part that two bad parts behind it accuse together.
BOOST_AUTO_TEST_CASE(two_bad_parts_do_not_accuse_what_they_share)
{
    answer({"first", "s"});
    for (int n = 0; n < 6; ++n)
        end({request({"first", n % 2 == 0 ? "bad" : "worse"}),
             request({"first", "s" + std::to_string(n)})});
    BOOST_TEST(refuses({"first", "bad"}));
    BOOST_TEST(refuses({"first", "worse"}));
    BOOST_TEST(!refuses({"first", "s"}));
}

BOOST_AUTO_TEST_CASE(a_bad_first_part_is_found_behind_which_all_parts_differ)
{
    for (int n = 0; n < 5; ++n) {
        const std::string session = "s" + std::to_string(n);
        // Its retry ends a second worker.
        const broken_request twice = request({"bad", session});
        end({twice});
        end({twice}, milliseconds(300));
    }
    BOOST_TEST(refuses({"bad", "another"}));
    BOOST_TEST(!refuses({"good", "s1"}));
}

// Guards against attempts of one request that accuse each of its parts.
BOOST_AUTO_TEST_CASE(attempts_of_one_request_accuse_no_part)
{
    const broken_request unlucky = request({"first", "session"});
    for (int n = 0; n < 4; ++n)
        end({unlucky});
    BOOST_TEST(!refuses({"first", "session"}));
}

// Guards against a fleet that refuses a part that everybody uses when a rack is lost.
BOOST_AUTO_TEST_CASE(workers_that_are_lost_together_accuse_no_part)
{
    for (int n = 0; n < 12; ++n)
        end({request({"first", "s" + std::to_string(n)}), request({"first", "s0"})},
            milliseconds(10));
    BOOST_TEST(!refuses({"first", "s0"}));
    BOOST_TEST(!refuses({"first", "s1"}));
}

BOOST_AUTO_TEST_CASE(a_part_that_was_answered_shortly_before_is_accused_late)
{
    answer({"first"});
    for (int n = 0; n < 4; ++n)
        end({request({"first", "s" + std::to_string(n)})}, milliseconds(300));
    BOOST_TEST(!refuses({"first", "x"}));
    for (int n = 4; n < 9; ++n)
        end({request({"first", "s" + std::to_string(n)})}, milliseconds(300));
    BOOST_TEST(!refuses({"first", "x"})); // nothing else is answered either
    answer({"other"});
    BOOST_TEST(refuses({"first", "x"})); // it has become bad
}

// Guards against a part that is refused because it always runs beside the one that ends workers.
BOOST_AUTO_TEST_CASE(neither_of_two_parts_that_explain_the_ends_is_refused_before_one_is_ruled_out)
{
    const auto end_both = [&] { end({request({"bad"}, "a"), request({"busy"}, "b")}); };
    for (int n = 0; n < 4; ++n)
        end_both();
    BOOST_TEST(!refuses({"bad"}, "a"));
    BOOST_TEST(!refuses({"busy"}, "b"));
    answer({"busy"});
    end_both();
    BOOST_TEST(refuses({"bad"}, "a"));
    BOOST_TEST(!refuses({"busy"}, "b"));
}

BOOST_AUTO_TEST_CASE(another_workspace_is_refused_only_if_its_requests_end_workers_as_well)
{
    for (int n = 0; n < 4; ++n)
        end({request({"bad"}, "a")});
    BOOST_TEST(refuses({"bad"}, "a"));
    BOOST_TEST(!refuses({"bad"}, "b"));
    end({request({"bad"}, "b")});
    BOOST_TEST(refuses({"bad"}, "c"));
}

BOOST_AUTO_TEST_CASE(answers_to_attempts_that_began_before_an_end_clear_nothing)
{
    const instant before = now;
    for (int n = 0; n < 4; ++n)
        end({request({"bad", "s"})});
    evidence = with_answer(std::move(evidence), part("bad"), before);
    evidence = with_answer(std::move(evidence), part("s"), before);
    answer({"other"});
    end({request({"bad", "s"})});
    BOOST_TEST(refuses({"bad", "s"}));
}

BOOST_AUTO_TEST_CASE(an_end_that_several_gateways_report_is_one)
{
    for (hash64 n = 1; n <= 6; ++n)
        evidence = with_end(std::move(evidence), now, {7, now, {request({"first", "bad"})}});
    BOOST_TEST(evidence.ends.size() == 1U);
    BOOST_TEST(evidence.ends.front().requests.size() == 6U);
    evidence = with_end(std::move(evidence), now, {7, now + seconds(4), {request({"a", "b"})}});
    BOOST_TEST(evidence.ends.size() == 2U); // it came back under the same id
}

BOOST_AUTO_TEST_CASE(the_last_part_is_no_feature)
{
    BOOST_TEST(features_of(workspace_id::from_trusted("lenas"), prompt({"own"})).empty());
    const feature_set set = features({"first"});
    BOOST_TEST(std::count(set.begin(), set.end(), part("first")) == 1);
    BOOST_TEST(std::count(set.begin(), set.end(), part("own")) == 0);
}

BOOST_AUTO_TEST_CASE(memory_of_ends_is_limited)
{
    for (std::size_t n = 0; n < 2 * max_ends; ++n)
        end({request({"first", "s" + std::to_string(n)})}, milliseconds(10));
    BOOST_TEST(evidence.ends.size() == max_ends);
    for (std::size_t n = 0; n < max_answered_features + 10; ++n)
        evidence = with_answer(std::move(evidence), part(std::to_string(n)), now);
    BOOST_TEST(evidence.answered.size() == max_answered_features);
    std::vector<std::string> many;
    for (std::size_t n = 0; n < 2 * max_features; ++n)
        many.push_back(std::to_string(n));
    BOOST_TEST(features(many).size() <= max_features);
    end({request({"first"})}, 2 * end_memory);
    BOOST_TEST(evidence.ends.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
