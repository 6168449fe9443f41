// Replies that are none: no status, or a field with a blank or a control byte in its name. HttpClient must not take one for an answer.
#include "raw_socket.h"

#include <boost/test/unit_test.hpp>
#include <pollenspoke/web.h>

using namespace Pollenspoke;
using namespace std::string_literals;

namespace {

HttpExchange receive(const std::string &reply)
{
    RawServer server([&reply](RawSocket &socket, int) {
        socket.readUntil("\r\n\r\n");
        socket.send(reply);
    });
    return HttpClient({"127.0.0.1", server.port()}).send({"PUT", "/v1/a", "", {}, ""}, 2000);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_reply_with_an_invalid_status_is_lost)
{
    for (const std::string status : {"000 Nothing",
                                     "001 Nothing",
                                     "099 Nothing",
                                     "600 Nothing",
                                     "999 Nothing",
                                     "20 Short",
                                     "2000 Long",
                                     "+20 Sign",
                                     "-20 Sign",
                                     "2x0 Letter",
                                     "OK",
                                     "",
                                     "101 Switching Protocols"}) {
        const HttpExchange exchange = receive("HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody");
        BOOST_TEST((exchange.outcome == HttpOutcome::AnswerLost), status);
    }
}

BOOST_AUTO_TEST_CASE(a_reply_with_an_invalid_field_is_lost)
{
    for (const std::string &field : {"X Name: 1"s,
                                     "X-Name : 1"s,
                                     " X-Name: 1"s,
                                     "X\tName: 1"s,
                                     "X\0Name: 1"s,
                                     "X\x01Name: 1"s,
                                     "X\x0bName: 1"s,
                                     "X\x7fName: 1"s,
                                     "X\x80Name: 1"s,
                                     ": 1"s,
                                     "X-Name"s,
                                     "Content-Length : 4"s,
                                     "Content Length: 4"s,
                                     "Transfer-Encoding : chunked"s,
                                     "Transfer-Encoding: chunked"s,
                                     "Content-Length: 3"s}) {
        for (const bool isFirst : {true, false}) {
            const std::string length = "Content-Length: 4\r\n";
            const HttpExchange exchange
                = receive("HTTP/1.1 200 OK\r\n" + (isFirst ? field + "\r\n" + length : length + field + "\r\n") + "\r\nbody");
            BOOST_TEST((exchange.outcome == HttpOutcome::AnswerLost), field);
        }
    }
}
