#include <boost/test/unit_test.hpp>
#include <fstream>
#include <pollenspoke/base.h>
#include <regex>
#include <set>
#include <sstream>

using namespace Pollenspoke;

BOOST_AUTO_TEST_CASE(address_accepts_ip_addresses_only)
{
    BOOST_TEST(parseAddress("10.0.0.5:80")->port == 80);
    BOOST_TEST(toString(*parseAddress("[::1]:8080")) == "[::1]:8080");
    for (const char *it : {"localhost:80", "10.0.0.5", "10.0.0.5:", "10.0.0.5:70000", "10.0.0.5:8x", "::1:80", ""}) {
        BOOST_TEST(!parseAddress(it).has_value(), it);
    }
}

BOOST_AUTO_TEST_CASE(url_consists_of_scheme_ip_address_and_port)
{
    BOOST_TEST((*parseHttpUrl("http://10.0.0.5:9000") == Address{.ip = "10.0.0.5", .port = 9000}));
    BOOST_TEST((*parseHttpUrl("http://[::1]:9000/") == Address{.ip = "::1", .port = 9000}));
    for (const char *it :
         {"10.0.0.5:9000", "https://10.0.0.5:9000", "http://10.0.0.5", "http://10.0.0.5:9000/v1", "http://platform:9000"}) {
        BOOST_TEST(!parseHttpUrl(it).has_value(), it);
    }
}

BOOST_AUTO_TEST_CASE(sha256_matches_the_published_vector)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(refusal_reason_names_are_unique)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < refusalReasonCount; ++i) {
        names.insert(refusalReasonName(static_cast<RefusalReason>(i)));
    }
    BOOST_TEST(names.size() == refusalReasonCount);
}

// A store that is restored gives out revisions again: the later position may have the lower revision.
BOOST_AUTO_TEST_CASE(a_position_of_a_later_era_is_newer_whatever_its_revision)
{
    BOOST_TEST((StorePosition(2, 10) > StorePosition(1, 900)));
    BOOST_TEST((StorePosition(2, 10) > StorePosition(2, 9)));
    BOOST_TEST((StorePosition() < StorePosition(0, 1)));
    BOOST_TEST(StorePosition(2, 10).isInSameEra(StorePosition(2, 900)));
    BOOST_TEST(!StorePosition(2, 10).isInSameEra(StorePosition(1, 10)));
    BOOST_TEST(toString(StorePosition(2, 10)) == "2.10");
}

BOOST_AUTO_TEST_CASE(event_catalogue_matches_the_code)
{
    std::ifstream file(POLLENSPOKE_SOURCE_DIR "/docs/EVENTS.md");
    BOOST_REQUIRE(file);
    std::stringstream text;
    text << file.rdbuf();
    const std::string catalogue = text.str();
    std::set<std::string> inCatalogue;
    const std::regex row(R"(\| (\d+) \| `(\w+)` \|)");
    for (std::sregex_iterator it(catalogue.begin(), catalogue.end(), row), end; it != end; ++it) {
        inCatalogue.insert((*it)[1].str() + " " + (*it)[2].str());
    }
    std::set<std::string> inCode;
    for (const Event it : allEvents()) {
        inCode.insert(std::to_string(static_cast<int>(it)) + " " + std::string(eventName(it)));
    }
    BOOST_TEST(inCatalogue == inCode, boost::test_tools::per_element());
}
