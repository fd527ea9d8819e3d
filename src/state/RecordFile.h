#pragma once
/// \file
/// Frames the records of a file as length, CRC-32 and bytes.
/// Reading distinguishes a torn write at the end, after a crash, from damage to synced records.

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

std::string frameRecord(const std::string &bytes);

struct RecordFileContent
{
    std::vector<std::string> records;
    std::size_t validBytes = 0; ///< length of the valid records at the start, frames included
    bool damaged = false; ///< an invalid record is followed by a valid one
};

RecordFileContent readRecords(const std::string &content);

} // namespace kumquat
