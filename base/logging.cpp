#include "base/logging.h"

#include "base/assert.h"

#include <glog/logging.h>

namespace balsamhook
{

void startLogging(const std::string &programName)
{
    // glog stores the pointer, so the name needs static storage duration.
    static const std::string name = programName;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(name.c_str());
}

void logInfo(std::string_view part, std::string_view sentence)
{
    LOG(INFO) << part << ": " << sentence;
}

void logWarning(std::string_view part, std::string_view sentence)
{
    LOG(WARNING) << part << ": " << sentence;
}

void logError(std::string_view part, std::string_view sentence)
{
    LOG(ERROR) << part << ": " << sentence;
}

void failAssertion(const char *condition, const char *file, int line)
{
    LOG(FATAL) << "base: invariant violated: " << condition << " at " << file << ":" << line;
    abort();
}

} // namespace balsamhook
