#include "kumquat/ControlProcess.h"

#include "coordination/control/ControlServer.h"
#include "kumquat/Event.h"

namespace kumquat {

namespace {

class Control : public ControlProcess
{
public:
    Control(const ControlSettings &settings, const std::string &file, const std::string &key,
            const Dialect &dialect)
        : name_(settings.name), server_(settings, file, key, dialect)
    {
    }

    absl::Status open() { return server_.open(); }

    void run() override
    {
        logEvent(Event::processStarted, LogLevel::info, "control={}", name_);
        server_.run();
        logEvent(Event::processStopped, LogLevel::info, "control={}", name_);
    }

    void stop() override
    {
        logEvent(Event::processStopping, LogLevel::info, "control={}", name_);
        server_.stop();
    }

private:
    std::string name_;
    ControlServer server_;
};

} // namespace

ControlProcessBuilder &ControlProcessBuilder::settings(ControlSettings settings)
{
    settings_ = std::move(settings);
    return *this;
}

ControlProcessBuilder &ControlProcessBuilder::settingsFile(std::string file)
{
    file_ = std::move(file);
    return *this;
}

ControlProcessBuilder &ControlProcessBuilder::clusterKey(std::string key)
{
    key_ = std::move(key);
    return *this;
}

ControlProcessBuilder &ControlProcessBuilder::dialect(const Dialect &dialect)
{
    dialect_ = &dialect;
    return *this;
}

absl::StatusOr<std::unique_ptr<ControlProcess>> ControlProcessBuilder::build()
{
    auto control = std::make_unique<Control>(settings_, file_, key_,
                                             dialect_ == nullptr ? kumquatDialect() : *dialect_);
    const absl::Status opened = control->open();
    if (!opened.ok()) {
        return opened;
    }
    return std::unique_ptr<ControlProcess>(std::move(control));
}

} // namespace kumquat
