#pragma once
/// \file
/// Joins the log lines of all processes into the story of one request, for on-call engineers.
/// Events are numbered as in docs/EVENTS.md; text before a line's first brace is left out.

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
    std::string time; ///< as written; lines of one deployment sort by it
    std::string process;
    int event = 0;
    std::vector<LogMember> members; ///< all other members, in the order of their names

    /// The member's value; empty when the line has none of that name.
    std::string value(const std::string &name) const;
};

/// The records of \p lines; lines that are no record are left out.
std::vector<LogRecord> parseLogRecords(const std::vector<std::string> &lines);

struct Explanation
{
    bool found = false;
    std::vector<LogRecord> requestLines; ///< the lines that name the request, by time
    std::vector<LogRecord> targetLines; ///< what each process believed last of the targets named
    std::vector<LogRecord> processLines; ///< what the process had lost, regained or taken before
    std::string cause; ///< one sentence; empty when the lines tell of no failure
};

Explanation explainRequest(const std::vector<LogRecord> &records, const std::string &request);

/// The explanation as an operator reads it.
std::string explanationText(const Explanation &explanation);

} // namespace kumquat
