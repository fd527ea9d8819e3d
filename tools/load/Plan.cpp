#include "Plan.h"

#include "kumquat/Error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cmath>
#include <queue>

namespace kumquat::load {

const char *requestKindName(RequestKind kind)
{
    static const char *const names[] = { "lookup", "booking", "upload" };
    return names[static_cast<int>(kind)];
}

absl::StatusOr<std::vector<TrafficShare>> parseShares(const std::string &text)
{
    std::vector<TrafficShare> shares;
    for (const auto item : absl::StrSplit(text, ',')) {
        const std::vector<std::string> parts = absl::StrSplit(item, ':');
        TrafficShare share;
        bool isValid = parts.size() == 4 && absl::SimpleAtod(parts[2], &share.share)
            && absl::SimpleAtod(parts[3], &share.workMs);
        if (isValid) {
            share.service = parts[0];
            isValid = false;
            for (const RequestKind kind :
                 { RequestKind::lookup, RequestKind::booking, RequestKind::upload }) {
                if (parts[1] == requestKindName(kind)) {
                    share.kind = kind;
                    isValid = true;
                }
            }
        }
        if (!isValid) {
            return makeError(ErrorKind::badSettings,
                             "invalid item in --mix: '" + std::string(item) + "'",
                             "write SERVICE:lookup|booking|upload:SHARE:WORK_MS");
        }
        shares.push_back(share);
    }
    return shares;
}

namespace {

// The request rate at a moment. Outside bursts it is lowered to keep the mean rate, but not below
// 5 % of it.
double rateAt(const PlanOptions &options, double seconds)
{
    const double every = static_cast<double>(options.burstEvery.count()) / 1000;
    if (every <= 0) {
        return options.ratePerSecond;
    }
    const double length = static_cast<double>(options.burstLength.count()) / 1000;
    const double share = length / every;
    const bool burst = std::fmod(seconds, every) < length;
    const double quietFactor = (1 - options.burstFactor * share) / (1 - share);
    return options.ratePerSecond * (burst ? options.burstFactor : std::max(0.05, quietFactor));
}

const TrafficShare &pickShare(const std::vector<TrafficShare> &shares, Random &random)
{
    double total = 0;
    for (const TrafficShare &share : shares) {
        total += share.share;
    }
    double left = std::uniform_real_distribution<double>(0, total)(random);
    for (const TrafficShare &share : shares) {
        left -= share.share;
        if (left <= 0) {
            return share;
        }
    }
    return shares.back();
}

} // namespace

std::vector<PlannedRequest> generatePlan(const PlanOptions &options)
{
    Random random(options.seed);
    std::vector<PlannedRequest> plan;
    double at = 0;
    while (true) {
        at += std::exponential_distribution<double>(rateAt(options, at))(random);
        if (at >= static_cast<double>(options.length.count())) {
            return plan;
        }
        const TrafficShare &share = pickShare(options.shares, random);
        PlannedRequest request;
        request.start = Microseconds(static_cast<std::int64_t>(at * 1e6));
        request.kind = share.kind;
        request.service = share.service;
        const double work = std::exponential_distribution<double>(1)(random) * share.workMs;
        request.work = Microseconds(static_cast<std::int64_t>(work * 1000));
        request.number = plan.size();
        plan.push_back(request);
    }
}

std::vector<double> idealLatenciesMs(const std::vector<PlannedRequest> &plan,
                                     const std::string &service, int slots)
{
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> freeAt;
    for (int slot = 0; slot < slots; ++slot) {
        freeAt.push(0);
    }
    std::vector<double> latencies;
    for (const PlannedRequest &request : plan) {
        if (request.service != service) {
            continue;
        }
        const std::int64_t begin = std::max<std::int64_t>(freeAt.top(), request.start.count());
        freeAt.pop();
        const std::int64_t end = begin + request.work.count();
        freeAt.push(end);
        latencies.push_back(static_cast<double>(end - request.start.count()) / 1000);
    }
    return latencies;
}

} // namespace kumquat::load
