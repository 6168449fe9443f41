// Large bodies within the limits must not exhaust a VM's memory.
#include "body_memory.h"
#include "credentials.h"
#include "front_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace Pollenspoke;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t mb = 1000000;
const AccountName first{"first"};
const AccountName second{"second"};

} // namespace

BOOST_AUTO_TEST_CASE(bodies_together_take_no_more_than_the_limit)
{
    Metrics metrics;
    BodyMemory memory(100 * mb, metrics);
    BodyLease one(memory, first);
    BOOST_TEST(one.coverUpTo(60 * mb));
    BOOST_TEST(one.coverUpTo(10)); // it has more
    {
        BodyLease another(memory, second);
        BOOST_TEST(!another.coverUpTo(60 * mb));
        BOOST_TEST(another.coverUpTo(20 * mb));
        BOOST_TEST(metrics.value(Gauge::BodyBytes) == static_cast<std::int64_t>(80 * mb));
    }
    BOOST_TEST(memory.heldBytes() == 60 * mb);
    BodyLease moved(std::move(one));
    one = BodyLease(memory, second);
    moved = BodyLease();
    BOOST_TEST(memory.heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(small_bodies_find_room_beside_large_ones)
{
    Metrics metrics;
    BodyMemory memory(80 * mb, metrics);
    BodyLease large(memory, first);
    BOOST_TEST(large.coverUpTo(70 * mb));
    BodyLease medium(memory, second);
    BOOST_TEST(!medium.coverUpTo(1 * mb));
    std::list<BodyLease> small;
    std::size_t n = 0;
    for (; n < 1000; ++n) {
        small.emplace_back(memory, n % 2 == 0 ? first : second);
        if (!small.back().coverUpTo(BodyMemory::smallBodyBytes)) {
            break;
        }
    }
    BOOST_TEST(n == 10 * mb / BodyMemory::smallBodyBytes);
}

// The uploads of one account leave room for those of another.
BOOST_AUTO_TEST_CASE(an_account_with_a_large_body_gets_half_of_the_memory_at_most)
{
    Metrics metrics;
    BodyMemory memory(130 * mb, metrics);
    BodyLease one(memory, first);
    BodyLease two(memory, first);
    BodyLease other(memory, second);
    BOOST_TEST(one.coverUpTo(60 * mb));
    BOOST_TEST(!two.coverUpTo(50 * mb));
    BOOST_TEST(other.coverUpTo(50 * mb));
}

BOOST_AUTO_TEST_CASE(a_body_is_held_in_blocks_and_a_secret_is_found_across_them)
{
    HeldBody body;
    std::string text;
    for (std::size_t i = 0; i < 3 * HeldBody::blockBytes / 10; ++i) {
        const std::string part = "part " + std::to_string(10000 + i);
        body.append(part.data(), part.size());
        text += part;
    }
    std::string joined;
    for (const std::string &it : body.blocks) {
        joined += it;
    }
    BOOST_TEST((joined == text));
    BOOST_TEST(body.bytes == text.size());
    BOOST_TEST(body.blocks.size() == 3U);
    const std::string secret = "s3cr3t-key";
    for (const std::string &form : {secret, std::string("s3cr%33t%2dkey"), std::string("s3cr%25253%33t-key")}) {
        for (std::size_t i = HeldBody::blockBytes - form.size() - 1; i <= HeldBody::blockBytes + 1; ++i) {
            HeldBody holder;
            std::string content(HeldBody::blockBytes * 2, 'x');
            content.replace(i, form.size(), form);
            holder.append(content.data(), content.size());
            BOOST_TEST(containsSecret(holder.blocks, secret) == containsSecret(std::string_view(content), secret));
        }
    }
}

// Three uploads at a time exhausted the memory of a VM, which lost the requests that targets were working on.
BOOST_AUTO_TEST_CASE(uploads_that_do_not_fit_are_refused_at_once_as_not_run)
{
    ScriptedTarget target([](AcceptedConnection &connection) {
        while (const std::optional<ReceivedRequest> request = connection.readRequest()) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    ProxyFixture fixture({.targets = {target.address()}, .proxy = {.front = {.bodyBytes = 16 * mb, .vmMemoryMb = 16}}});
    RawCaller slow(fixture.port()); // holds 5 of 8 MB
    slow.send("POST /work HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + testSecret + "\r\nContent-Length: 5000000\r\n\r\nbegin");
    BOOST_REQUIRE(eventually([&fixture] { return fixture.metrics().value(Gauge::BodyBytes) == 5000000; }));
    RawCaller refused(fixture.port());
    const auto startedAt = std::chrono::steady_clock::now();
    refused.send("POST /work HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + testSecret + "\r\nContent-Length: 4000000\r\n\r\n");
    const RawCaller::Response response = refused.readResponse();
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
    BOOST_TEST(!response.header("Retry-After").empty());
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 1s));
    RawCaller small(fixture.port());
    BOOST_TEST(small.request("POST", "/work", "one pallet").status == 200U);
    slow.send(std::string(5000000 - 5, 'x'));
    BOOST_TEST(slow.readResponse().status == 200U);
    BOOST_TEST(eventually([&fixture] { return fixture.metrics().value(Gauge::BodyBytes) == 0; }));
}

// A chunked body has no length to go by: room is taken as it arrives.
BOOST_AUTO_TEST_CASE(a_chunked_upload_that_outgrows_the_room_is_refused_as_not_run)
{
    ScriptedTarget target([](AcceptedConnection &connection) { connection.readRequest(); });
    ProxyFixture fixture({.targets = {target.address()},
                          .proxy = {.front = {.bodyBytes = 64 * mb, .vmMemoryMb = 16}, .wire = {.acceptsChunkedRequests = true}}});
    RawCaller caller(fixture.port());
    caller.send("POST /work HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + testSecret + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "f4240\r\n" + std::string(mb, 'x') + "\r\n";
    for (int i = 0; i < 8; ++i) {
        caller.send(chunk);
    }
    const RawCaller::Response response = caller.readResponse();
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.header("Pollenspoke-Run") == "not-run");
    BOOST_TEST(target.connectionCount() == 0U);
    BOOST_TEST(eventually([&fixture] { return fixture.metrics().value(Gauge::BodyBytes) == 0; }));
}
