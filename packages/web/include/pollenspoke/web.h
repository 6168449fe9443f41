/// @file
/// JSON on top of Boost.JSON, an HTTP client on top of Boost.Beast, and an HTTP server on top of cxxtools.
/// The headers of cxxtools do not compile as C++20, so no public header includes them.
///
/// Index of this file:
/// - [1] JSON         (JsonValue, parseJsonText(), formatJsonText())
/// - [2] HTTP messages (HttpHeader, HttpRequest, HttpReply)
/// - [3] HTTP server  (HttpServer)
/// - [4] HTTP client  (HttpClient)
///
/// Example:
/// @code
/// HttpServer server({"127.0.0.1", 8081}, [](const HttpRequest &request) {
///     return HttpReply{200, {}, "hello"};
/// });
/// HttpExchange exchange = HttpClient({"127.0.0.1", 8081}).send({"GET", "/", {}, {}, ""}, 1000);
/// @endcode
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Pollenspoke {

//-----------------------------------------------------------------------------
// [1] JSON
//-----------------------------------------------------------------------------

/// A JSON value. Object members carry their own name and keep their order.
struct JsonValue
{
    enum class Type { Null, Flag, Number, Text, List, Object }; // Flag: JSON boolean, Text: string, List: array

    Type type = Type::Null;
    bool flag = false;
    double number = 0; // whole numbers up to 2^53 are exact
    std::string text;
    std::string name;             // member name, within an object
    std::vector<JsonValue> items; // elements of a list or members of an object

    static JsonValue makeObject();
    static JsonValue makeList();

    JsonValue &add(const std::string &memberName, JsonValue value); // to an object; returns the new member
    JsonValue &add(const std::string &memberName, const std::string &value);
    JsonValue &add(const std::string &memberName, const char *value);
    JsonValue &addNumber(const std::string &memberName, double value);
    JsonValue &addFlag(const std::string &memberName, bool value);
    JsonValue &append(JsonValue value);                         // to a list
    const JsonValue *find(const std::string &memberName) const; // nullptr: no such member
    bool operator==(const JsonValue &other) const;
};

/// Parses exactly one JSON value, nested at most 32 levels deep, in valid UTF-8, and with at most `maxValues` values in all, each of which
/// takes about 130 bytes of memory. On failure returns false with an error message in `problem`, and `value` is as before.
bool parseJsonText(const std::string &text, JsonValue &value, std::string &problem, std::size_t maxValues = 1000000);
std::string formatJsonText(const JsonValue &value); // on a single line

//-----------------------------------------------------------------------------
// [2] HTTP messages
//-----------------------------------------------------------------------------

struct HttpEndpoint
{
    std::string ip; // numeric IP address
    std::uint16_t port = 0;
};

using HttpHeader = std::pair<std::string, std::string>; // name and value

struct HttpRequest
{
    std::string method; // "GET"
    std::string path;   // without the query
    std::string query;  // without '?', percent-encoded
    std::vector<HttpHeader> headers;
    std::string body;
};

struct HttpReply
{
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

std::string findHeader(const std::vector<HttpHeader> &headers, const std::string &name); // case-insensitive; empty: absent

//-----------------------------------------------------------------------------
// [3] HTTP server
//-----------------------------------------------------------------------------

/// Serves requests until destroyed. The handler is called concurrently from several threads and may block.
/// Requests are rejected with 411 if they have a Transfer-Encoding, with 400 if Content-Length is repeated or not a number,
/// and with 413 if the body exceeds 4 MiB; the connection is then closed without calling the handler. A header block over
/// about 8 KiB closes the connection without a response. The handler never receives a truncated body.
class HttpServer
{
public:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    HttpServer(const HttpEndpoint &endpoint, Handler handler, unsigned maxThreads = 64); // throws std::runtime_error if it cannot listen
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

//-----------------------------------------------------------------------------
// [4] HTTP client
//-----------------------------------------------------------------------------

enum class HttpOutcome {
    Answered,   // `reply` holds the complete response
    NotSent,    // connect failed: the server has not seen the request
    AnswerLost, // sent, but no complete response: the request may have been executed
};

struct HttpExchange
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    HttpReply reply;
    std::string problem; // error message for humans
};

/// Opens a new connection for each request. Accepts a response only if it is valid HTTP and tells its length.
class HttpClient
{
public:
    explicit HttpClient(HttpEndpoint endpoint);

    HttpExchange send(const HttpRequest &request, std::uint32_t timeoutMs) const;

private:
    HttpEndpoint m_endpoint;
};

} // namespace Pollenspoke
