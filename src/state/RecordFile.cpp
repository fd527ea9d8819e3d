#include "state/RecordFile.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <optional>

namespace kumquat {

namespace {

constexpr std::size_t headerBytes = 8;
constexpr std::uint32_t maxRecordBytes = 1U << 30U;
constexpr std::size_t partBytes = 1024 * 1024;
/// Bytes that may be checked behind an invalid record, for each byte there and in any case.
constexpr std::uint64_t checkedPerByte = 8;
constexpr std::uint64_t minCheckedBytes = 16ULL * 1024 * 1024;

std::uint32_t load32(const char *bytes)
{
    std::uint32_t value = 0;
    std::memcpy(&value, bytes, sizeof(value));
    return boost::endian::little_to_native(value);
}

struct RecordHeader
{
    std::uint32_t length = 0;
    std::uint32_t checksum = 0;
};

std::uint32_t checksumOf(const char *bytes, std::size_t length)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes, length);
    return crc.checksum();
}

/// A part of the file, which moves on as the file is read.
class FileWindow
{
public:
    FileWindow(std::uint64_t totalBytes, const ReadPart &read)
        : totalBytes_(totalBytes), read_(read)
    {
    }

    /// The \p size bytes from \p offset on; null beyond the end.
    const char *at(std::uint64_t offset, std::size_t size)
    {
        if (offset > totalBytes_ || size > totalBytes_ - offset) {
            return nullptr;
        }
        if (offset < begin_ || offset + size > begin_ + bytes_.size()) {
            begin_ = offset;
            bytes_ = std::string(); // freed before the next part is read
            const std::uint64_t wanted = std::max<std::uint64_t>(size, partBytes);
            bytes_ = read_(offset, std::min(wanted, totalBytes_ - offset));
        }
        return offset + size <= begin_ + bytes_.size() ? bytes_.data() + (offset - begin_)
                                                       : nullptr;
    }

    /// The header at \p offset, if a record of its length fits into the file.
    std::optional<RecordHeader> headerAt(std::uint64_t offset)
    {
        const char *bytes = at(offset, headerBytes);
        if (bytes == nullptr) {
            return std::nullopt;
        }
        const RecordHeader header { load32(bytes), load32(bytes + 4) };
        const bool fits = header.length > 0 && header.length <= maxRecordBytes
            && header.length <= totalBytes_ - offset - headerBytes;
        return fits ? std::optional<RecordHeader>(header) : std::nullopt;
    }

    /// The content of the record at \p offset; null if its checksum differs.
    const char *recordAt(std::uint64_t offset, const RecordHeader &header)
    {
        const char *bytes = at(offset, headerBytes + header.length);
        const bool isValid
            = bytes != nullptr && checksumOf(bytes + headerBytes, header.length) == header.checksum;
        return isValid ? bytes + headerBytes : nullptr;
    }

    std::uint64_t totalBytes() const { return totalBytes_; }

private:
    std::uint64_t totalBytes_;
    const ReadPart &read_;
    std::string bytes_;
    std::uint64_t begin_ = 0;
};

constexpr std::size_t beginningBytes = 8;

bool mayBeRecord(FileWindow &window, std::uint64_t offset, const RecordHeader &header,
                 const RecordHooks &hooks)
{
    const std::size_t length = std::min<std::size_t>(header.length, beginningBytes);
    const char *bytes = window.at(offset, headerBytes + length);
    return bytes != nullptr
        && (!hooks.mayBeRecord || hooks.mayBeRecord(bytes + headerBytes, length));
}

// A torn write leaves no valid record after it; a valid one after an invalid one means that data
// that had been synced is damaged. What cannot be told with bounded work counts as damage, since a
// record that was acknowledged must not be cut off.
bool hasValidRecordAfter(FileWindow &window, std::uint64_t offset, const RecordHooks &hooks)
{
    const std::uint64_t tail = window.totalBytes() - offset;
    std::uint64_t budget = std::max(minCheckedBytes, checkedPerByte * tail);
    for (std::uint64_t position = offset + 1; position + headerBytes < window.totalBytes();
         ++position) {
        const auto header = window.headerAt(position);
        if (!header || !mayBeRecord(window, position, *header, hooks)) {
            continue;
        }
        if (header->length > budget || window.recordAt(position, *header) != nullptr) {
            return true;
        }
        budget -= header->length;
    }
    return false;
}

} // namespace

std::string frameRecord(const std::string &bytes)
{
    const std::uint32_t length
        = boost::endian::native_to_little(static_cast<std::uint32_t>(bytes.size()));
    const std::uint32_t checksum
        = boost::endian::native_to_little(checksumOf(bytes.data(), bytes.size()));
    std::string framed;
    framed.reserve(headerBytes + bytes.size());
    framed.append(reinterpret_cast<const char *>(&length), sizeof(length));
    framed.append(reinterpret_cast<const char *>(&checksum), sizeof(checksum));
    return framed.append(bytes);
}

RecordScan scanRecords(std::uint64_t totalBytes, const RecordHooks &hooks)
{
    RecordScan scan;
    FileWindow window(totalBytes, hooks.read);
    while (const auto header = window.headerAt(scan.validBytes)) {
        const char *bytes = window.recordAt(scan.validBytes, *header);
        if (bytes == nullptr) {
            break;
        }
        if (!hooks.onRecord(std::string(bytes, header->length))) {
            scan.damaged = true;
            return scan;
        }
        scan.validBytes += headerBytes + header->length;
    }
    scan.damaged = hasValidRecordAfter(window, scan.validBytes, hooks);
    return scan;
}

RecordFileContent readRecords(const std::string &content)
{
    RecordFileContent result;
    RecordHooks hooks;
    hooks.read = [&content](std::uint64_t offset, std::size_t maxBytes) {
        return content.substr(static_cast<std::size_t>(offset), maxBytes);
    };
    hooks.onRecord = [&result](const std::string &record) {
        result.records.push_back(record);
        return true;
    };
    const RecordScan scan = scanRecords(content.size(), hooks);
    result.validBytes = scan.validBytes;
    result.damaged = scan.damaged;
    return result;
}

} // namespace kumquat
