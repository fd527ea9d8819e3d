#include "kumquat/Event.h"

#include "common/LogLine.h"

#include <memory>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace kumquat {

namespace {

/// In lines; each slot takes about 400 bytes, allocated at the start. Each event is limited to 200
/// lines a second, and the writer thread lags by fractions of a second at most.
constexpr std::size_t queueCapacity = 1'024;

spdlog::level::level_enum spdlogLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::info:
        return spdlog::level::info;
    case LogLevel::warning:
        return spdlog::level::warn;
    case LogLevel::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace

void startLogging(const std::string &processName)
{
    spdlog::init_thread_pool(queueCapacity, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    // An event loop must never block on a slow terminal, so a full queue drops its oldest lines.
    auto logger = std::make_shared<spdlog::async_logger>(
        processName, sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(
        "{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",\"level\":\"%l\",\"process\":\"%n\",%v}");
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(logger);
}

void stopLogging()
{
    spdlog::shutdown();
}

void writeEvent(Event event, LogLevel level, const std::string &text)
{
    if (spdlog::default_logger_raw() == nullptr) {
        return;
    }
    static LogRateLimiter limiter;
    const int number = static_cast<int>(event);
    const LogRateLimiter::Decision decision = limiter.admit(number, Clock::now());
    if (!decision.admitted) {
        return;
    }
    std::string members = logMembers(number, text);
    if (decision.droppedBefore > 0) {
        members += fmt::format(",\"dropped\":{}", decision.droppedBefore);
    }
    spdlog::log(spdlogLevel(level), "{}", members);
}

} // namespace kumquat
