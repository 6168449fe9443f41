#include <boost/test/unit_test.hpp>
#include <pollenspoke/web.h>

using namespace Pollenspoke;

BOOST_AUTO_TEST_CASE(json_survives_a_format_and_parse_round_trip)
{
    for (const char *text : {R"({"a":1,"b":[true,null,"x\"\\\u0001y"],"c":{"d":0.25}})", R"([])", R"({"big":9007199254740992})"}) {
        JsonValue value;
        std::string problem;
        BOOST_REQUIRE_MESSAGE(parseJsonText(text, value, problem), problem);
        JsonValue reparsed;
        BOOST_REQUIRE_MESSAGE(parseJsonText(formatJsonText(value), reparsed, problem), formatJsonText(value));
        BOOST_TEST((value == reparsed), formatJsonText(value));
    }
}

BOOST_AUTO_TEST_CASE(non_ascii_text_survives_a_round_trip)
{
    JsonValue value = JsonValue::makeObject();
    value.add("name", "Bu lông \xE1\xBB\x91");
    JsonValue reparsed;
    std::string problem;
    BOOST_REQUIRE(parseJsonText(formatJsonText(value), reparsed, problem));
    BOOST_TEST(reparsed.items.at(0).text == "Bu lông \xE1\xBB\x91");
}

BOOST_AUTO_TEST_CASE(malformed_too_deep_or_trailing_json_is_rejected)
{
    JsonValue value;
    std::string problem;
    for (const std::string &text : std::vector<std::string>{"{", "{} {}", "{\"a\":}", std::string(40, '['), ""}) {
        BOOST_TEST(!parseJsonText(text, value, problem), text);
    }
}

BOOST_AUTO_TEST_CASE(a_request_and_its_reply_pass_between_client_and_server)
{
    HttpServer server({"127.0.0.1", 19871}, [](const HttpRequest &request) {
        return HttpReply{201, {{"X-Seen", request.method + " " + request.path + "?" + request.query}}, request.body};
    });
    const HttpExchange exchange = HttpClient({"127.0.0.1", 19871}).send({"PUT", "/v1/a", "b=c", {}, "hello"}, 2000);
    BOOST_REQUIRE_MESSAGE(exchange.outcome == HttpOutcome::Answered, exchange.problem);
    BOOST_TEST(exchange.reply.status == 201);
    BOOST_TEST(exchange.reply.body == "hello");
    BOOST_TEST(findHeader(exchange.reply.headers, "x-seen") == "PUT /v1/a?b=c");
}

BOOST_AUTO_TEST_CASE(a_request_to_a_closed_port_is_reported_as_not_sent)
{
    const HttpExchange exchange = HttpClient({"127.0.0.1", 1}).send({"GET", "/", "", {}, ""}, 500);
    BOOST_TEST((exchange.outcome == HttpOutcome::NotSent), exchange.problem);
}
