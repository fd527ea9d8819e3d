// Runs the tests that are linked in; fixed seeds make every run the same.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <cstdlib>
#include <spdlog/spdlog.h>

int main(int argc, char **argv)
{
    // Libraries keep caches until the end of the process, which are no leaks; the sanitizer
    // build looks for real ones.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    spdlog::set_level(spdlog::level::off);
    setenv("RC_PARAMS", "seed=20261204", 0);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
