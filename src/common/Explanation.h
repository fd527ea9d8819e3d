#pragma once
/// \file
/// Explains what happened to one request, from the log lines of all processes.
/// Events have the numbers of docs/EVENTS.md; text before a line's first brace is ignored.

#include <string>
#include <vector>

namespace kumquat {

struct LogMember
{
    std::string name;
    std::string value;
};

/// One line of a process's log.
struct LogRecord
{
    std::string time; ///< as logged; sorts as text
    std::string process;
    int event = 0;
    std::vector<LogMember> members; ///< all other members with string values, ordered by name

    /// The value of the member \p name; empty when the line has no such member.
    std::string value(const std::string &name) const;
};

/// Parses \p lines and sorts the records by time; lines that are not log records are skipped.
std::vector<LogRecord> parseLogRecords(const std::vector<std::string> &lines);

struct Explanation
{
    bool found = false;
    std::vector<LogRecord> requestLines; ///< the lines that name the request, by time
    std::vector<LogRecord> targetLines; ///< the last line about the target of each request line
    std::vector<LogRecord> processLines; ///< starts, stops, configuration and control events before
    std::string cause; ///< one sentence; empty when the lines show no failure
};

Explanation explainRequest(const std::vector<LogRecord> &records, const std::string &request);

/// Formats the explanation for an operator.
std::string explanationText(const Explanation &explanation);

} // namespace kumquat
