#include "common/Explanation.h"

#include "common/JsonReader.h"
#include "kumquat/Event.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <json/json.h>
#include <optional>

namespace kumquat {

namespace {

/// How many events of the process are shown, the most recent ones up to the end of the request.
constexpr std::size_t maxProcessLines = 4;

struct Cause
{
    const char *reason;
    const char *description;
};

constexpr Cause causes[] = {
    { "overloaded",
      "every target stayed full for as long as the latency objective left time to wait, or "
      "the retry budget was spent; it has not run" },
    { "no-target",
      "the service had no ready target that had not been tried before, or had left the "
      "configuration" },
    { "retries-exhausted",
      "each target that it was sent to refused it or was unreachable; see the lines of event "
      "331" },
    { "not-ready",
      "the process had no configuration yet, or its configuration and targets were outdated after "
      "it had been suspended" },
    { "caller-closed", "no response: the caller closed its connection" },
    { "caller-reset",
      "no response: the caller, or something on the way to it, reset its connection" },
    { "caller-stalled", "no response: the caller took nothing for as long as a write may last" },
    { "connection-lost", "no response: the network gave up on the caller's connection" },
    { "quarantined",
      "two targets ended while they ran this request, so every entry refuses it to this caller for "
      "a while" },
    { "request-timeout", "the rest of its header or body did not come in time; it has not run" },
    { "target-failed",
      "a target received it, and then the connection broke or the response was not a valid one "
      "to this request; whether it ran is unknown" },
    { "unknown-key",
      "no organisation of the configuration held the key that it carried, or it carried none; it "
      "has not run" },
    { "over-quota", "its organisation had used up its quota at that moment; it has not run" },
    { "quota-undecided",
      "whether its organisation's quota had room was not known in time, since the entry that keeps "
      "the quota answered late; it has not run" },
    { "cut-by-stop",
      "a target was still at work on it when the planned stop of the entry ended; whether it ran "
      "is "
      "unknown" },
    { "stopping", "the entry was being stopped as planned, and could have cut it; it has not run" },
    { "deadline-exceeded",
      "a target received it and gave no complete response before the deadline" },
};

std::optional<LogRecord> parseLogRecord(const std::string &line)
{
    const std::size_t start = line.find('{');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const auto parsed = parseJson("log line", line.substr(start), ErrorKind::badMessage);
    if (!parsed.ok() || !parsed->isObject() || !(*parsed)["event"].isInt()) {
        return std::nullopt;
    }
    const Json::Value &json = *parsed;
    LogRecord record;
    record.event = json["event"].asInt();
    for (const std::string &name : json.getMemberNames()) {
        const Json::Value &value = json[name];
        if (!value.isString()) {
            continue;
        }
        if (name == "time") {
            record.time = value.asString();
        } else if (name == "process") {
            record.process = value.asString();
        } else {
            record.members.push_back({ name, value.asString() });
        }
    }
    return record;
}

bool isEvent(const LogRecord &record, Event event)
{
    return record.event == static_cast<int>(event);
}

bool isProcessEvent(const LogRecord &record)
{
    constexpr Event events[]
        = { Event::processStarted,       Event::processStopping,    Event::processResumed,
            Event::configurationApplied, Event::controlUnreachable, Event::controlReachable };
    return std::any_of(std::begin(events), std::end(events),
                       [&record](Event event) { return isEvent(record, event); });
}

bool isTargetEvent(const LogRecord &record, const std::string &target)
{
    return record.value("request").empty() && record.value("target") == target;
}

std::string causeOf(const LogRecord &record)
{
    const bool hasNoResponse = isEvent(record, Event::requestAbandoned);
    const std::string reason = record.value(hasNoResponse ? "cause" : "reason");
    for (const Cause &cause : causes) {
        if (reason == cause.reason) {
            return absl::StrCat(reason, ": ", cause.description);
        }
    }
    if (isEvent(record, Event::requestExceededObjective)) {
        return record.value("sendings") == "1"
            ? "late: the only target that it was sent to was slow"
            : "late: attempts before the one that was answered took the time; see the lines of "
              "event 331";
    }
    return "";
}

/// The last record of the process of \p end, up to the time of \p end, for which \p matches holds.
template <typename Predicate>
const LogRecord *lastRecordBefore(const std::vector<LogRecord> &records, const LogRecord &end,
                                  const Predicate &matches)
{
    const LogRecord *last = nullptr;
    for (const LogRecord &record : records) {
        if (record.process == end.process && record.time <= end.time && matches(record)) {
            last = &record;
        }
    }
    return last;
}

void addTargetLines(const std::vector<LogRecord> &records, Explanation &explanation)
{
    for (const LogRecord &line : explanation.requestLines) {
        const std::string target = line.value("target");
        const LogRecord *last = lastRecordBefore(records, line, [&target](const LogRecord &record) {
            return !target.empty() && isTargetEvent(record, target);
        });
        if (last != nullptr) {
            explanation.targetLines.push_back(*last);
        }
    }
}

void addProcessLines(const std::vector<LogRecord> &records, Explanation &explanation)
{
    const LogRecord &end = explanation.requestLines.back();
    std::vector<LogRecord> lines;
    for (const LogRecord &record : records) {
        if (record.process == end.process && record.time <= end.time && isProcessEvent(record)) {
            lines.push_back(record);
        }
    }
    const std::size_t skipped = lines.size() - std::min(lines.size(), maxProcessLines);
    explanation.processLines.assign(lines.begin() + static_cast<std::ptrdiff_t>(skipped),
                                    lines.end());
}

void appendSection(const char *title, const std::vector<LogRecord> &records, std::string &text)
{
    if (records.empty()) {
        return;
    }
    absl::StrAppend(&text, title, "\n");
    for (const LogRecord &record : records) {
        absl::StrAppend(&text, "  ", record.time, " ", record.process, " ", record.event);
        for (const LogMember &member : record.members) {
            absl::StrAppend(&text, " ", member.name, "=", member.value);
        }
        absl::StrAppend(&text, "\n");
    }
}

} // namespace

std::string LogRecord::value(const std::string &name) const
{
    for (const LogMember &member : members) {
        if (member.name == name) {
            return member.value;
        }
    }
    return "";
}

std::vector<LogRecord> parseLogRecords(const std::vector<std::string> &lines)
{
    std::vector<LogRecord> records;
    for (const std::string &line : lines) {
        auto record = parseLogRecord(line);
        if (record) {
            records.push_back(std::move(*record));
        }
    }
    std::stable_sort(records.begin(), records.end(),
                     [](const auto &left, const auto &right) { return left.time < right.time; });
    return records;
}

Explanation explainRequest(const std::vector<LogRecord> &records, const std::string &request)
{
    Explanation explanation;
    for (const LogRecord &record : records) {
        if (record.value("request") == request) {
            explanation.requestLines.push_back(record);
        }
    }
    explanation.found = !explanation.requestLines.empty();
    if (explanation.found) {
        addTargetLines(records, explanation);
        addProcessLines(records, explanation);
        explanation.cause = causeOf(explanation.requestLines.back());
    }
    return explanation;
}

std::string explanationText(const Explanation &explanation)
{
    if (!explanation.found) {
        return "no line names this request: it was answered in time, or its line was dropped (see "
               "`dropped` in events 330 to 334), or a log is missing\n";
    }
    std::string text;
    appendSection("log lines of the request", explanation.requestLines, text);
    appendSection("last known state of its targets", explanation.targetLines, text);
    appendSection("earlier events of the process", explanation.processLines, text);
    if (!explanation.cause.empty()) {
        absl::StrAppend(&text, "cause: ", explanation.cause, "\n");
    }
    return text;
}

} // namespace kumquat
