// Fuzzes the parsing of a caller's request header: any bytes are parsed or rejected without a
// crash, and no hop-by-hop header remains.
#include "protocol/Headers.h"
#include "protocol/Wire.h"
#include "transport/Asio.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace kumquat;
    http::request_parser<http::buffer_body> parser;
    parser.header_limit(16 * 1024);
    ErrorCode error;
    parser.put(asio::buffer(data, size), error);
    if (parser.is_header_done()) {
        http::request_header<> header = parser.get();
        (void)readDeadline(header, wire::deadline);
        (void)readLoadReport(header);
        (void)isValidIdempotencyKey(std::string(header["Idempotency-Key"]));
        removeHopByHop(header);
        if (header.count(http::field::connection) != 0) {
            __builtin_trap();
        }
    }
    return 0;
}
