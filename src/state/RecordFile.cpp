#include "state/RecordFile.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <optional>

namespace kumquat {

namespace {

constexpr std::size_t headerBytes = 8;
constexpr std::uint32_t maxRecordBytes = 1U << 30U;

std::uint32_t checksum(const char *bytes, std::size_t length)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes, length);
    return crc.checksum();
}

std::uint32_t load32(const char *bytes)
{
    std::uint32_t value = 0;
    std::memcpy(&value, bytes, sizeof(value));
    return boost::endian::little_to_native(value);
}

std::optional<std::string> recordAt(const std::string &content, std::size_t offset)
{
    if (content.size() - offset < headerBytes) {
        return std::nullopt;
    }
    const std::uint32_t length = load32(content.data() + offset);
    const std::size_t available = content.size() - offset - headerBytes;
    if (length == 0 || length > maxRecordBytes || length > available) {
        return std::nullopt;
    }
    const char *bytes = content.data() + offset + headerBytes;
    if (checksum(bytes, length) != load32(content.data() + offset + 4)) {
        return std::nullopt;
    }
    return std::string(bytes, length);
}

// A torn write leaves no valid record after it; a valid one after an invalid one means that data
// that had been synced is damaged.
bool hasValidRecordAfter(const std::string &content, std::size_t offset)
{
    for (std::size_t position = offset + 1; position + headerBytes < content.size(); ++position) {
        if (recordAt(content, position)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string frameRecord(const std::string &bytes)
{
    const std::uint32_t length
        = boost::endian::native_to_little(static_cast<std::uint32_t>(bytes.size()));
    const std::uint32_t crc = boost::endian::native_to_little(checksum(bytes.data(), bytes.size()));
    std::string framed(headerBytes, '\0');
    std::memcpy(&framed[0], &length, sizeof(length));
    std::memcpy(&framed[4], &crc, sizeof(crc));
    return framed + bytes;
}

RecordFileContent readRecords(const std::string &content)
{
    RecordFileContent result;
    while (true) {
        auto record = recordAt(content, result.validBytes);
        if (!record) {
            break;
        }
        result.validBytes += headerBytes + record->size();
        result.records.push_back(std::move(*record));
    }
    result.damaged = hasValidRecordAfter(content, result.validBytes);
    return result;
}

} // namespace kumquat
