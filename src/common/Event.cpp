#include "kumquat/Event.h"

#include <memory>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

namespace kumquat {

namespace {

constexpr std::size_t queueLength = 8192;

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
    spdlog::init_thread_pool(queueLength, 1);
    auto sink = std::make_shared<spdlog::sinks::stderr_color_sink_mt>();
    // An event loop must never wait for a slow terminal, so the oldest lines give way.
    auto logger = std::make_shared<spdlog::async_logger>(
        processName, sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %n %v");
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
    spdlog::log(spdlogLevel(level), "event={} {}", static_cast<int>(event), text);
}

} // namespace kumquat
