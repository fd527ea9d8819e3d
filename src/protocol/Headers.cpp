#include "protocol/Headers.h"

#include "protocol/Wire.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace kumquat {

namespace {

constexpr std::size_t maxKeyLength = 128;
constexpr std::int64_t maxDeadlineMs = 86'400'000;

// Removing one of these would change which request is meant, or run a booking without its key.
bool isDependedOn(const std::string &name, const std::vector<std::string> &kept)
{
    const auto matches = [&name](const std::string &other) { return beast::iequals(name, other); };
    return matches("Host") || matches(wire::idempotencyKey)
        || std::any_of(kept.begin(), kept.end(), matches);
}

std::string_view valueOf(const http::fields &fields, const char *name)
{
    const auto value = fields[name];
    return { value.data(), value.size() };
}

} // namespace

void removeHopByHop(http::fields &fields, const std::vector<std::string> &kept)
{
    std::vector<std::string> listed;
    const auto connection = fields.equal_range(http::field::connection);
    for (auto field = connection.first; field != connection.second; ++field) {
        for (const auto &token : http::token_list(field->value())) {
            listed.emplace_back(token);
        }
    }
    for (const std::string &name : listed) {
        if (!isDependedOn(name, kept)) {
            fields.erase(name);
        }
    }
    fields.erase(http::field::connection);
    fields.erase(http::field::keep_alive);
    fields.erase(http::field::proxy_connection);
    fields.erase(http::field::te);
    fields.erase(http::field::trailer);
    fields.erase(http::field::transfer_encoding);
    fields.erase(http::field::upgrade);
    fields.erase(http::field::content_length);
    fields.erase(http::field::expect);
}

std::optional<Milliseconds> readDeadline(const http::fields &fields, const std::string &name)
{
    std::int64_t value = 0;
    const std::string_view text = valueOf(fields, name.c_str());
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &value) || value < 0) {
        return std::nullopt;
    }
    return Milliseconds(std::min(value, maxDeadlineMs));
}

std::optional<LoadReport> readLoadReport(const http::fields &fields)
{
    const std::string_view text = valueOf(fields, wire::load);
    LoadReport report;
    int inFlightFields = 0;
    for (const absl::string_view part :
         absl::StrSplit(absl::string_view(text.data(), text.size()), ';')) {
        const std::pair<absl::string_view, absl::string_view> pair
            = absl::StrSplit(part, absl::MaxSplits('=', 1));
        int value = 0;
        if (!absl::SimpleAtoi(pair.second, &value) || value < 0) {
            continue;
        }
        if (pair.first == "inflight") {
            report.inFlight = value;
            ++inFlightFields;
        } else if (pair.first == "slots") {
            report.slots = value;
        }
    }
    return inFlightFields == 1 ? std::optional<LoadReport>(report) : std::nullopt;
}

bool isShed(unsigned status, const http::fields &fields)
{
    return status == static_cast<unsigned>(http::status::service_unavailable)
        && valueOf(fields, wire::shed) == "not-run";
}

bool isValidIdempotencyKey(const std::string &key)
{
    const bool visible
        = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
    return !key.empty() && key.size() <= maxKeyLength && visible;
}

} // namespace kumquat
