#pragma once
/// \file
/// Frames records in a file: length, CRC-32, bytes.
/// Reading tells a torn tail, which a crash may leave, from damage to what was once synced.

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

std::string frameRecord(const std::string &bytes);

struct RecordFileContent
{
    std::vector<std::string> records;
    std::size_t validBytes = 0; ///< length of the readable part
    bool damaged = false; ///< a broken record is followed by a good one
};

RecordFileContent readRecords(const std::string &content);

} // namespace kumquat
