// kumquat-load: sends a seeded open-loop load and reports the results.
// Latency is measured from the planned start of a request, so that a stall of the sender or of the
// system under load is not hidden (coordinated omission).
#include "Caller.h"
#include "common/JsonReader.h"
#include "common/Program.h"
#include "transport/BlockingHttp.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <numeric>

DEFINE_string(entries, "127.0.0.1:8001", "caller addresses of the entries, comma-separated");
DEFINE_string(mix, "catalogue:lookup:1:10",
              "SERVICE:lookup|booking|upload:SHARE:WORK_MS, comma-separated");
DEFINE_double(rate, 100, "requests per second over all entries");
DEFINE_int32(seconds, 10, "length of the run in seconds");
DEFINE_int32(deadline_ms, 2000, "deadline in milliseconds that each request carries");
DEFINE_int64(upload_bytes, 1000000, "size of an upload in bytes");
DEFINE_double(burst_factor, 1, "rate during bursts as a multiple of the mean rate");
DEFINE_int32(burst_every_ms, 0, "time in milliseconds from one burst to the next; 0: no bursts");
DEFINE_string(standin, "", "admin address of kumquat-standin, to audit what was executed");
DEFINE_string(ideal, "", "SERVICE:SLOTS: also report the latency of one ideal shared queue");
DEFINE_bool(direct, false, "the addresses in --entries are targets, which have no readiness path");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_uint64(seed, 1, "seed of the request plan");

namespace {

using namespace kumquat;
using namespace kumquat::load;

double quantile(std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

Json::Value summaryOf(std::vector<double> latencies)
{
    std::sort(latencies.begin(), latencies.end());
    Json::Value value;
    value["p50"] = quantile(latencies, 0.5);
    value["p99"] = quantile(latencies, 0.99);
    value["p999"] = quantile(latencies, 0.999);
    value["max"] = latencies.empty() ? 0 : latencies.back();
    value["mean"] = latencies.empty() ? 0
                                      : std::accumulate(latencies.begin(), latencies.end(), 0.0)
            / static_cast<double>(latencies.size());
    return value;
}

Json::Value toJson(const Tally &tally)
{
    Json::Value value;
    value["sent"] = Json::UInt64(tally.sent);
    value["answered"] = Json::UInt64(tally.answered);
    value["failed"] = Json::UInt64(tally.failed);
    value["broken"] = Json::UInt64(tally.broken);
    value["wrong"] = Json::UInt64(tally.wrong);
    value["partial"] = Json::UInt64(tally.partial);
    value["refused"] = Json::Value(Json::objectValue);
    for (const auto &refused : tally.refused) {
        value["refused"][refused.first] = Json::UInt64(refused.second);
    }
    value["latencyMs"] = summaryOf(tally.latenciesMs);
    return value;
}

/// Discrepancies between what the stand-in targets executed and what the callers were told.
struct Audit
{
    std::uint64_t doubled = 0; ///< bookings executed more than once
    std::uint64_t deniedButRun = 0; ///< executed although every attempt counted as not executed
    std::uint64_t answeredNotRun = 0; ///< bookings answered but never executed
    std::uint64_t cutUploads = 0; ///< acknowledged uploads that arrived incomplete
};

Audit audit(const Caller &caller, const Json::Value &report)
{
    Audit result;
    for (const auto &booking : caller.bookings()) {
        const int runs = report["runs"].get(booking.first, 0).asInt();
        result.doubled += runs > 1 ? 1 : 0;
        const bool denied = !booking.second.answered && !booking.second.mayHaveRun;
        result.deniedButRun += denied && runs > 0 ? 1 : 0;
        result.answeredNotRun += booking.second.answered && runs == 0 ? 1 : 0;
    }
    for (const auto &upload : caller.uploads()) {
        const Json::UInt64 bytes = report["uploads"].get(upload.first, Json::UInt64(0)).asUInt64();
        result.cutUploads += upload.second && bytes != caller.uploadBytes() ? 1 : 0;
    }
    return result;
}

void printTable(const Json::Value &result)
{
    std::cout << std::left << std::setw(20) << "kind" << std::right << std::setw(8) << "sent"
              << std::setw(9) << "answered" << std::setw(8) << "refused" << std::setw(8) << "broken"
              << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms" << std::setw(10) << "p99.9 ms"
              << std::setw(7) << "wrong" << std::setw(8) << "partial"
              << "\n";
    std::cout << std::fixed << std::setprecision(2);
    for (const std::string &kind : result["kinds"].getMemberNames()) {
        const Json::Value &row = result["kinds"][kind];
        std::uint64_t refused = 0;
        for (const std::string &reason : row["refused"].getMemberNames()) {
            refused += row["refused"][reason].asUInt64();
        }
        std::cout << std::left << std::setw(20) << kind << std::right << std::setw(8)
                  << row["sent"].asUInt64() << std::setw(9) << row["answered"].asUInt64()
                  << std::setw(8) << refused << std::setw(8) << row["broken"].asUInt64()
                  << std::setw(9) << row["latencyMs"]["p50"].asDouble() << std::setw(9)
                  << row["latencyMs"]["p99"].asDouble() << std::setw(10)
                  << row["latencyMs"]["p999"].asDouble() << std::setw(7) << row["wrong"].asUInt64()
                  << std::setw(8) << row["partial"].asUInt64() << "\n";
        for (const std::string &reason : row["refused"].getMemberNames()) {
            std::cout << "    refused " << reason << ": " << row["refused"][reason] << "\n";
        }
    }
    if (result.isMember("audit")) {
        const Json::Value &found = result["audit"];
        std::cout << "bookings executed more than once: " << found["doubled"]
                  << ", reported not-run but executed: " << found["deniedButRun"]
                  << ", answered but never executed: " << found["answeredNotRun"]
                  << ", uploads acknowledged but incomplete: " << found["cutUploads"] << "\n";
    }
}

bool addAudit(const Caller &caller, Json::Value &result)
{
    const auto address = parseAddress(FLAGS_standin);
    if (!address.ok()) {
        std::cerr << address.status().message() << "\n";
        return false;
    }
    HttpRequest request(http::verb::get, "/report", 11);
    const auto response = blockingCall(*address, std::move(request), nullptr, Seconds(10));
    const auto report = response.ok() ? parseJson("report", response->body(), ErrorKind::badMessage)
                                      : absl::StatusOr<Json::Value>(response.status());
    if (!report.ok()) {
        std::cerr << report.status().message() << "\n";
        return false;
    }
    const Audit found = audit(caller, *report);
    result["audit"]["doubled"] = Json::UInt64(found.doubled);
    result["audit"]["deniedButRun"] = Json::UInt64(found.deniedButRun);
    result["audit"]["answeredNotRun"] = Json::UInt64(found.answeredNotRun);
    result["audit"]["cutUploads"] = Json::UInt64(found.cutUploads);
    return found.doubled + found.deniedButRun + found.answeredNotRun + found.cutUploads == 0;
}

void addIdeal(const std::vector<PlannedRequest> &plan, Json::Value &result)
{
    const std::vector<std::string> parts = absl::StrSplit(FLAGS_ideal, ':');
    if (parts.size() == 2) {
        result["ideal"] = summaryOf(idealLatenciesMs(plan, parts[0], std::stoi(parts[1])));
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("sends a seeded open-loop load; exits 1 on wrong or partial responses "
                            "or when the audit finds bookings executed twice, false not-run "
                            "outcomes, answers without execution or incomplete uploads");
    gflags::SetVersionString(KUMQUAT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    keepFreedMemory();
    PlanOptions planOptions;
    const auto shares = parseShares(FLAGS_mix);
    if (!shares.ok()) {
        return reportFatalError(shares.status());
    }
    planOptions.shares = *shares;
    planOptions.ratePerSecond = FLAGS_rate;
    planOptions.length = Seconds(FLAGS_seconds);
    planOptions.burstFactor = FLAGS_burst_factor;
    planOptions.burstEvery = Milliseconds(FLAGS_burst_every_ms);
    planOptions.seed = FLAGS_seed;
    CallerOptions callerOptions;
    for (const auto text : absl::StrSplit(FLAGS_entries, ',', absl::SkipEmpty())) {
        const auto address = parseAddress(std::string(text));
        if (!address.ok()) {
            return reportFatalError(address.status());
        }
        callerOptions.entries.push_back(*address);
    }
    callerOptions.checksReadiness = !FLAGS_direct;
    callerOptions.deadline = Milliseconds(FLAGS_deadline_ms);
    callerOptions.uploadBytes = static_cast<std::size_t>(FLAGS_upload_bytes);
    callerOptions.runId = absl::StrCat("run-", absl::Hex(randomSeed()));

    const std::vector<PlannedRequest> plan = generatePlan(planOptions);
    asio::io_context context { 1 };
    Caller caller(context, callerOptions);
    caller.start(plan);
    context.run();

    Json::Value result;
    bool passed = true;
    for (const auto &tally : caller.tallies()) {
        result["kinds"][tally.first] = toJson(tally.second);
        passed = passed && tally.second.wrong == 0 && tally.second.partial == 0;
    }
    if (!FLAGS_standin.empty()) {
        passed = addAudit(caller, result) && passed;
    }
    if (!FLAGS_ideal.empty()) {
        addIdeal(plan, result);
    }
    if (FLAGS_json) {
        std::cout << writeJson(result, true) << "\n";
    } else {
        printTable(result);
    }
    return passed ? 0 : 1;
}
