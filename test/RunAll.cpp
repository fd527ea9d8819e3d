// Runs all linked tests; the default rapidcheck seed is fixed, so that runs are reproducible.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <cstdlib>
#include <spdlog/spdlog.h>

int main(int argc, char **argv)
{
    // Libraries keep caches until the process ends, which CppUTest would report as leaks; the
    // sanitizer build detects real leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    spdlog::set_level(spdlog::level::off);
    setenv("RC_PARAMS", "seed=20261204", 0);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
