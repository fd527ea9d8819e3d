#include "common/JsonReader.h"

#include "common/Duration.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

const Json::Value nullValue;

/// The library counts a value inside the innermost list too.
constexpr Json::UInt stackLimit = maxJsonDepth + 1;
constexpr std::size_t maxShownBytes = 200; ///< of a value, a key or the library's message
constexpr std::size_t maxShownProblems = 50;

} // namespace

void JsonProblems::add(const std::string &path, const std::string &what, const std::string &remedy)
{
    if (++count_ > maxShownProblems) {
        return;
    }
    lines_.push_back(absl::StrCat(file_, ": ", path.empty() ? "/" : cutText(path, maxShownBytes),
                                  ": ", cutText(what, maxShownBytes), " (", remedy, ")"));
}

absl::Status JsonProblems::status(ErrorKind kind) const
{
    if (lines_.empty()) {
        return absl::OkStatus();
    }
    std::string list = absl::StrJoin(lines_, "\n");
    if (count_ > lines_.size()) {
        absl::StrAppend(&list, "\nand ", count_ - lines_.size(), " more");
    }
    return makeError(kind, list, "correct each line above and check again");
}

absl::StatusOr<Json::Value> parseJson(const std::string &file, const std::string &text,
                                      ErrorKind kind, JsonSyntax syntax)
{
    const auto fault = findJsonFault(text, syntax);
    if (fault) {
        return makeError(
            kind,
            absl::StrCat(file, ": line ", fault->line, ", byte ", fault->byte, ": ", fault->what),
            fault->remedy);
    }
    Json::CharReaderBuilder builder;
    builder["allowComments"] = syntax != JsonSyntax::strict;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = stackLimit;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    bool parsed = false;
    try {
        parsed = reader->parse(text.data(), text.data() + text.size(), &value, &problem);
    } catch (const Json::Exception &exception) {
        problem = exception.what();
    }
    if (!parsed) {
        return makeError(kind, file + ": not JSON: " + cutText(problem, maxShownBytes),
                         "write one JSON value, and each key of an object once");
    }
    return value;
}

std::string writeJson(const Json::Value &value, bool indented)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indented ? "  " : "";
    builder["commentStyle"] = "None";
    return Json::writeString(builder, value);
}

std::string shownJson(const Json::Value &value)
{
    return cutText(writeJson(value), maxShownBytes);
}

JsonObject::JsonObject(const Json::Value &value, std::string path, JsonProblems &problems)
    : value_(value.isObject() ? value : nullValue), path_(std::move(path)), problems_(problems)
{
    if (!value.isObject()) {
        problems_.add(path_, "is not an object", "write { ... }");
    }
}

const Json::Value &JsonObject::member(const char *key)
{
    readKeys_.insert(key);
    return value_.isObject() && value_.isMember(key) ? value_[key] : nullValue;
}

const Json::Value &JsonObject::required(const char *key)
{
    const Json::Value &value = member(key);
    if (value.isNull() && value_.isObject()) {
        problems_.add(pathOf(key), "is missing", "add it");
    }
    return value;
}

std::string JsonObject::text(const char *key)
{
    const Json::Value &value = required(key);
    if (!value.isNull() && (!value.isString() || value.asString().empty())) {
        problems_.add(pathOf(key), "is " + shownJson(value), "write a non-empty string");
    }
    return value.isString() ? value.asString() : "";
}

std::string JsonObject::text(const char *key, const std::string &fallback)
{
    return member(key).isNull() ? fallback : text(key);
}

std::int64_t JsonObject::checkedInteger(const Json::Value &value, const char *key, std::int64_t low,
                                        std::int64_t high)
{
    if (value.isInt64() && value.asInt64() >= low && value.asInt64() <= high) {
        return value.asInt64();
    }
    problems_.add(pathOf(key), "is " + shownJson(value),
                  absl::StrCat("write a whole number from ", low, " to ", high));
    return low;
}

std::int64_t JsonObject::integer(const char *key, std::int64_t low, std::int64_t high)
{
    const Json::Value &value = required(key);
    return value.isNull() ? low : checkedInteger(value, key, low, high);
}

std::int64_t JsonObject::integer(const char *key, std::int64_t low, std::int64_t high,
                                 std::int64_t fallback)
{
    const Json::Value &value = member(key);
    return value.isNull() ? fallback : checkedInteger(value, key, low, high);
}

bool JsonObject::flag(const char *key, bool fallback)
{
    const Json::Value &value = member(key);
    if (value.isNull()) {
        return fallback;
    }
    if (!value.isBool()) {
        problems_.add(pathOf(key), "is " + shownJson(value), "write true or false");
        return fallback;
    }
    return value.asBool();
}

double JsonObject::number(const char *key, double low, double high, double fallback)
{
    const Json::Value &value = member(key);
    if (value.isNull()) {
        return fallback;
    }
    if (value.isNumeric() && value.asDouble() >= low && value.asDouble() <= high) {
        return value.asDouble();
    }
    problems_.add(pathOf(key), "is " + shownJson(value),
                  absl::StrCat("write a number from ", low, " to ", high));
    return fallback;
}

bool JsonObject::isAbsent(const char *key)
{
    const Json::Value &value = member(key);
    return value.isNull() || (value.isString() && value.asString().empty());
}

double JsonObject::limit(const char *key, double high, double fallback)
{
    if (isAbsent(key)) {
        return fallback;
    }
    const Json::Value &value = member(key);
    const std::string text = value.isString() ? value.asString() : "";
    if (text == "true" || text == "false" || value.isBool()) {
        return text == "true" || (value.isBool() && value.asBool()) ? std::min(1.0, fallback) : 0;
    }
    double number = value.isNumeric() ? value.asDouble() : 0;
    const bool isNumber = value.isNumeric() || absl::SimpleAtod(text, &number);
    if (!isNumber || !std::isfinite(number)) {
        problems_.add(pathOf(key), "is " + shownJson(value), "write a number, true or false");
        return fallback;
    }
    return std::clamp(number, 0.0, high);
}

Milliseconds JsonObject::milliseconds(const char *key, Milliseconds low, Milliseconds high,
                                      Milliseconds fallback)
{
    return Milliseconds(integer(key, low.count(), high.count(), fallback.count()));
}

Milliseconds JsonObject::duration(const char *key, Milliseconds low, Milliseconds high,
                                  Milliseconds fallback)
{
    const Json::Value &value = member(key);
    if (value.isNull()) {
        return fallback;
    }
    const auto read = value.isString() ? parseDuration(value.asString()) : std::nullopt;
    if (!read || *read < low || *read > high) {
        problems_.add(pathOf(key), "is " + shownJson(value),
                      "write a duration from " + std::to_string(low.count()) + "ms to "
                          + std::to_string(high.count()) + "ms, such as 1500ms or 2.5s");
        return fallback;
    }
    return *read;
}

std::vector<std::string> JsonObject::texts(const char *key, bool required)
{
    const Json::Value &value = required ? this->required(key) : member(key);
    std::vector<std::string> result;
    if (value.isNull()) {
        return result;
    }
    if (!value.isArray()) {
        problems_.add(pathOf(key), "is " + shownJson(value), "write a list of strings");
        return result;
    }
    for (const Json::Value &item : value) {
        if (item.isString() && !item.asString().empty()) {
            result.push_back(item.asString());
        } else {
            problems_.add(pathOf(key), "holds " + shownJson(item),
                          "write only non-empty strings in it");
        }
    }
    return result;
}

void JsonObject::reportUnknownMembers()
{
    if (!value_.isObject()) {
        return;
    }
    for (const std::string &key : value_.getMemberNames()) {
        if (readKeys_.count(key) == 0) {
            problems_.add(pathOf(key.c_str()), "is not a known key",
                          "remove it or correct its name");
        }
    }
}

} // namespace kumquat
