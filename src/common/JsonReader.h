#pragma once
/// \file
/// Reads JSON into typed values and collects all problems instead of stopping at one.
/// A problem names the file, the path inside the JSON, the value seen and the remedy.

#include "common/JsonText.h"
#include "common/Time.h"
#include "kumquat/Error.h"

#include <absl/status/statusor.h>
#include <json/json.h>
#include <set>
#include <vector>

namespace kumquat {

/// The problems of one document or one merge, in the order found.
class JsonProblems
{
public:
    explicit JsonProblems(std::string file) : file_(std::move(file)) { }

    void add(const std::string &path, const std::string &what, const std::string &remedy);
    bool empty() const { return lines_.empty(); }

    /// OK when there is no problem, else one error of \p kind that lists them, up to a limit.
    absl::Status status(ErrorKind kind) const;

private:
    std::string file_;
    std::vector<std::string> lines_;
    std::size_t count_ = 0; ///< of all problems, also of those that are not listed
};

/// Parses one JSON value without repeated keys; fails with \p kind and names the place.
absl::StatusOr<Json::Value> parseJson(const std::string &file, const std::string &text,
                                      ErrorKind kind, JsonSyntax syntax = JsonSyntax::strict);

std::string writeJson(const Json::Value &value, bool indented = false);

/// \p value for a message: written as JSON and cut.
std::string shownJson(const Json::Value &value);

/// Reads the members of one JSON object. Without a fallback a member is required; a required member
/// that is missing and any invalid member are added to the problems.
class JsonObject
{
public:
    JsonObject(const Json::Value &value, std::string path, JsonProblems &problems);

    std::string text(const char *key);
    std::string text(const char *key, const std::string &fallback);
    std::int64_t integer(const char *key, std::int64_t low, std::int64_t high);
    std::int64_t integer(const char *key, std::int64_t low, std::int64_t high,
                         std::int64_t fallback);
    bool flag(const char *key, bool fallback);
    double number(const char *key, double low, double high, double fallback);
    /// A limit from 0 to \p high that may be written as a number, as the text of one or as a
    /// boolean. What is not given exactly becomes the stricter limit: larger numbers become \p
    /// high, `true` the smaller of 1 and \p fallback, `false` 0. An empty text counts as absent.
    double limit(const char *key, double high, double fallback);
    Milliseconds milliseconds(const char *key, Milliseconds low, Milliseconds high,
                              Milliseconds fallback);
    /// A duration with its unit, such as `1500ms` or `2.5s`.
    Milliseconds duration(const char *key, Milliseconds low, Milliseconds high,
                          Milliseconds fallback);
    std::vector<std::string> texts(const char *key, bool required);

    /// True when the member \p key is absent or an empty text, as a template leaves it that had no
    /// value to fill in.
    bool isAbsent(const char *key);

    /// The member \p key, or null when it is absent.
    const Json::Value &member(const char *key);
    std::string pathOf(const char *key) const { return path_ + "/" + key; }

    /// Adds a problem for each member that was never read.
    void reportUnknownMembers();

private:
    const Json::Value &required(const char *key);
    std::int64_t checkedInteger(const Json::Value &value, const char *key, std::int64_t low,
                                std::int64_t high);

    const Json::Value &value_;
    std::string path_;
    JsonProblems &problems_;
    std::set<std::string> readKeys_;
};

} // namespace kumquat
