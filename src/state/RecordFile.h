#pragma once
/// \file
/// Reads and writes a file of records, each framed by its length and checksum.
/// It tells a torn write at the end of the file from damage among synced records.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace kumquat {

std::string frameRecord(const std::string &bytes);

/// Reads at most \p maxBytes from \p offset on, fewer only at the end.
using ReadPart = std::function<std::string(std::uint64_t offset, std::size_t maxBytes)>;

struct RecordScan
{
    std::uint64_t validBytes = 0; ///< length of the valid records at the start, frames included
    /// An invalid record is followed by a valid one, or a hook has refused a record, or it could
    /// not be found out with a bounded amount of work.
    bool damaged = false;
};

struct RecordHooks
{
    ReadPart read;
    /// Gets the records at the start of the file one after another; false: it cannot be read.
    std::function<bool(const std::string &record)> onRecord;
    /// May be null. False for the beginning of what cannot be a record; it saves work in the search
    /// for a record after an invalid one.
    std::function<bool(const char *bytes, std::size_t length)> mayBeRecord;
};

/// Reads a file of \p totalBytes and holds one record at a time.
RecordScan scanRecords(std::uint64_t totalBytes, const RecordHooks &hooks);

struct RecordFileContent
{
    std::vector<std::string> records;
    std::size_t validBytes = 0; ///< length of the valid records at the start, frames included
    bool damaged = false; ///< see RecordScan
};

RecordFileContent readRecords(const std::string &content);

} // namespace kumquat
