#include <standins/common/HistoryFile.h>

#include <core/log/LogLine.h>
#include <core/time/BootClock.h>

#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

namespace Greengage {

HistoryFile::HistoryFile(const std::string& path)
{
    if (path.empty())
        return;
    this->descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (this->descriptor < 0) {
        std::perror(path.c_str());
        std::exit(EXIT_FAILURE);
    }
}

HistoryFile::~HistoryFile()
{
    if (this->descriptor >= 0)
        close(this->descriptor);
}

void HistoryFile::append(const LogLine& line)
{
    if (this->descriptor < 0)
        return;
    auto text = line.text() + "\n";
    if (write(this->descriptor, text.data(), text.size()) != static_cast<ssize_t>(text.size())) {
        std::perror("history");
        std::exit(EXIT_FAILURE);
    }
}

long long HistoryFile::now() { return BootClock::now().time_since_epoch().count(); }

} // namespace Greengage
