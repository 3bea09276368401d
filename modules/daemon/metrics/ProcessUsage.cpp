#include <daemon/metrics/ProcessUsage.h>

#include <dirent.h>
#include <fstream>
#include <memory>
#include <sys/resource.h>
#include <unistd.h>

namespace Greengage {

namespace {

double toSeconds(const timeval& time)
{
    constexpr double microsecondsPerSecond = 1e6;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
}

double countDescriptors()
{
    constexpr int ownAndParentEntries = 2;
    std::unique_ptr<DIR, int (*)(DIR*)> directory(opendir("/proc/self/fd"), closedir);
    int entries = 0;
    while (directory && readdir(directory.get())) // NOLINT(concurrency-mt-unsafe): single-threaded process
        entries += 1;
    // The descriptor that lists the directory is itself counted.
    return directory ? entries - ownAndParentEntries - 1 : 0;
}

} // namespace

ProcessUsage ProcessUsage::read()
{
    ProcessUsage usage;
    rusage times {};
    if (getrusage(RUSAGE_SELF, &times) == 0)
        usage.cpuSeconds = toSeconds(times.ru_utime) + toSeconds(times.ru_stime);
    std::ifstream stream("/proc/self/statm");
    double size = 0;
    double resident = 0;
    double shared = 0;
    if (stream >> size >> resident >> shared) {
        auto pageBytes = static_cast<double>(sysconf(_SC_PAGESIZE));
        usage.residentBytes = resident * pageBytes;
        usage.privateBytes = (resident - shared) * pageBytes;
    }
    usage.openDescriptors = countDescriptors();
    return usage;
}

} // namespace Greengage
