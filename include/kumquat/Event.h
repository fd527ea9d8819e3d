#pragma once
/// \file
/// Defines the numbered log events that the processes write.
/// docs/EVENTS.md lists what each event means and what an operator does about it.

#include <spdlog/fmt/fmt.h>
#include <string>

namespace kumquat {

enum class Event {
    processStarted = 100,
    processStopping = 101,
    processStopped = 102,
    processResumed = 103,
    configurationApplied = 200,
    configurationRejected = 201,
    configurationAccepted = 202,
    controlUnreachable = 203,
    controlReachable = 204,
    documentAccepted = 205,
    documentRejected = 206,
    settingsReloaded = 207,
    settingsRejected = 208,
    configurationDelayed = 209,
    evacuationConfirmed = 210,
    evacuationInForce = 211,
    evacuationEnded = 212,
    evacuationNotConfirmed = 213,
    evacuationNotInForce = 214,
    targetAnnounced = 300,
    targetDraining = 301,
    targetGone = 302,
    targetEjected = 303,
    targetReturned = 304,
    targetLeaseExpired = 305,
    announcementRejected = 306,
    departureNotConfirmed = 307,
    targetCacheFailed = 308,
    peerUp = 310,
    peerDown = 311,
    targetSaidLeaving = 312,
    targetRests = 313,
    targetTurnedCold = 314,
    requestQuarantined = 320,
    requestRefused = 330,
    requestResent = 331,
    requestFailed = 332,
    requestAbandoned = 333,
    requestExceededObjective = 334,
    responseRejected = 335,
    responsesDropped = 336,
    quotaOwnerChanged = 340,
    quotaShareUsed = 341,
    leaderElected = 400,
    leaderLost = 401,
    logDamaged = 403,
    snapshotTaken = 404,
    snapshotInstalled = 405,
    groupFormed = 406,
    diskFull = 407,
    diskWritable = 408,
    memberAdded = 409,
    memberPromoted = 410,
    memberRemoved = 411,
    logLoaded = 412,
    votersMissing = 413,
    votersComplete = 414,
    handlerFailed = 500,
    requestMalformed = 501,
    badDatagram = 600,
};

enum class LogLevel { info, warning, error };

/// Starts asynchronous logging to standard output, one JSON object per line. Call it once, at the
/// start of main().
void startLogging(const std::string &processName);

/// Writes the queued lines and stops the logging thread.
void stopLogging();

/// Logs \p event with a text that is already formatted; see logEvent().
void writeEvent(Event event, LogLevel level, const std::string &text);

/// Logs \p event as one line. Leading `key=value` words of the text become JSON members. The lines
/// per second of each event are limited; the next line that passes says how many were dropped.
template <typename... Args>
void logEvent(Event event, LogLevel level, const char *format, const Args &...args)
{
    writeEvent(event, level, fmt::format(fmt::runtime(format), args...));
}

} // namespace kumquat
