// The client of internal ports takes no byte of an earlier response for a later one.
#include "LoopbackTarget.h"
#include "transport/HttpClient.h"

using namespace kumquat;
using namespace kumquat::test;

TEST_GROUP(ClientConnections) {};

TEST(ClientConnections, aResponseWrittenOnceMoreAnswersNoLaterCall)
{
    constexpr Milliseconds callTimeout { 10'000 };
    constexpr Milliseconds pause { 20 };
    for (const bool later : { false, true }) {
        asio::io_context loop { 1 };
        LoopbackTarget server(loop, [later](int, const std::string &header) {
            const std::string name = header.substr(header.find('/') + 1, 1);
            const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + name;
            return later ? ResponseScript { { response }, { response } }
                         : ResponseScript { { response + response } };
        });
        HttpClient client(loop, nullptr);
        std::string bodies;
        runOn(loop, [&](Yield yield) {
            for (const char *path : { "/a", "/b" }) {
                const auto response = client.post(server.address(), path, "", callTimeout, yield);
                bodies += response.ok() ? response->body() : "-";
                pauseFor(loop, pause, yield);
            }
        });
        STRCMP_EQUAL("ab", bodies.c_str());
    }
}
