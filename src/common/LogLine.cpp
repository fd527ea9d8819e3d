#include "common/LogLine.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <json/json.h>

namespace kumquat {

namespace {

bool isKey(absl::string_view word)
{
    return !word.empty() && std::all_of(word.begin(), word.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c));
    });
}

std::string quotedJson(absl::string_view text)
{
    return Json::valueToQuotedString(std::string(text).c_str());
}

} // namespace

std::string logMembers(int event, const std::string &text)
{
    std::string members = absl::StrCat("\"event\":", event);
    std::string rest;
    for (const absl::string_view word : absl::StrSplit(text, ' ', absl::SkipEmpty())) {
        const std::size_t equals = word.find('=');
        const bool isMember = equals != absl::string_view::npos && isKey(word.substr(0, equals));
        // After the first other word, `key=value` words are part of the text too.
        if (isMember && rest.empty()) {
            absl::StrAppend(&members, ",", quotedJson(word.substr(0, equals)), ":",
                            quotedJson(word.substr(equals + 1)));
        } else {
            absl::StrAppend(&rest, rest.empty() ? "" : " ", word);
        }
    }
    if (!rest.empty()) {
        absl::StrAppend(&members, ",\"text\":", quotedJson(rest));
    }
    return members;
}

LogRateLimiter::Decision LogRateLimiter::admit(int event, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Window &window = windows_[static_cast<std::size_t>(event) % maxEvents];
    if (now - window.start >= Seconds(1)) {
        window.start = now;
        window.lines = 0;
    }
    if (window.lines >= linesPerSecond) {
        ++window.dropped;
        return {};
    }
    ++window.lines;
    const Decision decision { true, window.dropped };
    window.dropped = 0;
    return decision;
}

} // namespace kumquat
