#include "common/Explanation.h"

#include "kumquat/Event.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <json/json.h>
#include <optional>

namespace kumquat {

namespace {

/// Lines of a process before the request that are shown: what it lost, regained or took last.
constexpr std::size_t processLines = 4;

struct Cause
{
    const char *reason;
    const char *sentence;
};

constexpr Cause causes[] = {
    { "overloaded",
      "every target asked was full until waiting would have cost the objective, or "
      "the retry budget was spent; it has not run" },
    { "no-target", "the service had no target that was ready and not tried before" },
    { "retries-exhausted", "each target that it was sent to refused it; see the lines 331" },
    { "not-ready", "the process had no configuration yet, or had been frozen" },
    { "quarantined", "the request had ended two targets and is refused everywhere for a while" },
    { "target-failed",
      "a target had it, and then the connection broke or what came was no answer "
      "to it; whether it ran is unknown" },
    { "deadline-exceeded", "a target had it and gave no whole answer in time" },
};

std::optional<LogRecord> readRecord(const std::string &line)
{
    const std::size_t start = line.find('{');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    Json::Value json;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    const char *end = line.data() + line.size();
    if (!reader->parse(line.data() + start, end, &json, nullptr) || !json.isObject()
        || !json["event"].isInt()) {
        return std::nullopt;
    }
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

bool isAbout(const LogRecord &record, Event event)
{
    return record.event == static_cast<int>(event);
}

bool tellsOfProcess(const LogRecord &record)
{
    constexpr Event events[]
        = { Event::processStarted,       Event::processStopping,    Event::processResumed,
            Event::configurationApplied, Event::controlUnreachable, Event::controlReachable };
    return std::any_of(std::begin(events), std::end(events),
                       [&record](Event event) { return isAbout(record, event); });
}

bool tellsOfTarget(const LogRecord &record, const std::string &target)
{
    return record.value("request").empty() && record.value("target") == target;
}

std::string causeOf(const LogRecord &record)
{
    const std::string reason = record.value("reason");
    for (const Cause &cause : causes) {
        if (reason == cause.reason) {
            return absl::StrCat(reason, ": ", cause.sentence);
        }
    }
    if (isAbout(record, Event::requestExceededObjective)) {
        return record.value("sendings") == "1"
            ? "late: the one target that it was sent to was slow"
            : "late: the sendings before the one that answered cost the time; see the lines 331";
    }
    return "";
}

/// The last record before \p time of the process for which \p fits holds.
template <typename Fits>
const LogRecord *lastBefore(const std::vector<LogRecord> &records, const LogRecord &end,
                            const Fits &fits)
{
    const LogRecord *last = nullptr;
    for (const LogRecord &record : records) {
        if (record.process == end.process && record.time <= end.time && fits(record)) {
            last = &record;
        }
    }
    return last;
}

void addTargets(const std::vector<LogRecord> &records, Explanation &explanation)
{
    for (const LogRecord &line : explanation.request) {
        const std::string target = line.value("target");
        const LogRecord *last = lastBefore(records, line, [&target](const LogRecord &record) {
            return !target.empty() && tellsOfTarget(record, target);
        });
        if (last != nullptr) {
            explanation.targets.push_back(*last);
        }
    }
}

void addProcess(const std::vector<LogRecord> &records, Explanation &explanation)
{
    const LogRecord &end = explanation.request.back();
    std::vector<LogRecord> lines;
    for (const LogRecord &record : records) {
        if (record.process == end.process && record.time <= end.time && tellsOfProcess(record)) {
            lines.push_back(record);
        }
    }
    const std::size_t skipped = lines.size() - std::min(lines.size(), processLines);
    explanation.process.assign(lines.begin() + static_cast<std::ptrdiff_t>(skipped), lines.end());
}

void addLines(const char *title, const std::vector<LogRecord> &records, std::string &text)
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

std::vector<LogRecord> readRecords(const std::vector<std::string> &lines)
{
    std::vector<LogRecord> records;
    for (const std::string &line : lines) {
        auto record = readRecord(line);
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
            explanation.request.push_back(record);
        }
    }
    explanation.found = !explanation.request.empty();
    if (explanation.found) {
        addTargets(records, explanation);
        addProcess(records, explanation);
        explanation.cause = causeOf(explanation.request.back());
    }
    return explanation;
}

std::string explanationText(const Explanation &explanation)
{
    if (!explanation.found) {
        return "no line names this request: it was answered in time, or its line was dropped (see "
               "`dropped` in lines 330 to 334), or a log is missing\n";
    }
    std::string text;
    addLines("the request", explanation.request, text);
    addLines("its targets, as the process knew them", explanation.targets, text);
    addLines("the process before", explanation.process, text);
    if (!explanation.cause.empty()) {
        absl::StrAppend(&text, "cause: ", explanation.cause, "\n");
    }
    return text;
}

} // namespace kumquat
