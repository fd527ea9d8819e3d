#include "common/Deflate.h"

#include "kumquat/Error.h"

#include <boost/endian/conversion.hpp>
#include <zlib.h>

namespace kumquat {

namespace {

/// Control instances have little CPU time, and the next higher levels gain little on routes.
constexpr int compressionLevel = 1;
constexpr std::size_t lengthPrefixBytes = sizeof(std::uint64_t);

absl::Status invalidDeflatedText(const char *why)
{
    return makeError(ErrorKind::badMessage, std::string("the compressed text ") + why,
                     "run the same version on every instance");
}

} // namespace

std::string deflateText(const std::string &text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(lengthPrefixBytes + size, '\0');
    auto *out = reinterpret_cast<unsigned char *>(bytes.data());
    boost::endian::store_little_u64(out, text.size());
    const int result
        = compress2(out + lengthPrefixBytes, &size, reinterpret_cast<const Bytef *>(text.data()),
                    text.size(), compressionLevel);
    KUMQUAT_ASSERT(result == Z_OK, "compress2 returned " + std::to_string(result));
    bytes.resize(lengthPrefixBytes + size);
    return bytes;
}

absl::StatusOr<std::string> inflateText(const std::string &bytes, std::size_t limit)
{
    if (bytes.size() < lengthPrefixBytes) {
        return invalidDeflatedText("is truncated");
    }
    const auto *in = reinterpret_cast<const unsigned char *>(bytes.data());
    const std::uint64_t length = boost::endian::load_little_u64(in);
    if (length > limit) {
        return invalidDeflatedText("exceeds the size limit");
    }
    std::string text(length, '\0');
    uLongf size = length;
    const int result = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                  in + lengthPrefixBytes, bytes.size() - lengthPrefixBytes);
    if (result != Z_OK || size != length) {
        return invalidDeflatedText("is corrupt");
    }
    return text;
}

} // namespace kumquat
