#include <support/ChildProcess.h>

#include <core/time/Deadline.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr Milliseconds pollInterval { 5 };
constexpr int signalStatusBase = 128;
constexpr int cannotExecuteStatus = 127;

[[noreturn]] void runProgram(std::vector<std::string>& command, const std::string& outputPath, pid_t starter)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The kernel sends no signal for a starter that has ended already.
    if (getppid() != starter)
        _exit(cannotExecuteStatus);
    int output = open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    std::vector<char*> words;
    for (auto& word : command)
        words.push_back(word.data());
    words.push_back(nullptr);
    execv(words[0], words.data());
    std::perror(words[0]);
    _exit(cannotExecuteStatus);
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, const std::string& outputPath)
    : outputPath(outputPath)
{
    std::error_code noFile;
    if (std::filesystem::is_regular_file(outputPath, noFile))
        this->outputStart = std::filesystem::file_size(outputPath);
    // The pipe is closed once the program has been loaded. A signal sent before that could stop the child before it
    // has arranged to end with its starter.
    std::array<int, 2> loading {};
    if (pipe2(loading.data(), O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "no pipe for a child process");
    pid_t starter = getpid();
    this->processId = fork();
    if (this->processId == 0)
        runProgram(command, outputPath, starter);
    close(loading[1]);
    char unused = 0;
    while (read(loading[0], &unused, sizeof(unused)) < 0 && errno == EINTR) { }
    close(loading[0]);
    if (this->processId < 0)
        throw std::system_error(errno, std::generic_category(), "no child process for " + command[0]);
}

ChildProcess::~ChildProcess()
{
    this->signal(SIGKILL);
    if (!this->status)
        waitpid(this->processId, nullptr, 0);
}

void ChildProcess::signal(int number)
{
    if (!this->exitStatus())
        kill(this->processId, number);
}

std::optional<int> ChildProcess::exitStatus()
{
    int state = 0;
    if (!this->status && waitpid(this->processId, &state, WNOHANG) == this->processId)
        this->status = WIFEXITED(state) ? WEXITSTATUS(state) : signalStatusBase + WTERMSIG(state);
    return this->status;
}

std::optional<int> ChildProcess::wait(Milliseconds limit)
{
    auto deadline = Deadline::after(BootClock::now(), limit);
    while (!this->exitStatus() && !deadline.hasPassed(BootClock::now()))
        std::this_thread::sleep_for(pollInterval);
    return this->status;
}

std::string ChildProcess::output() const
{
    std::ifstream stream(this->outputPath);
    stream.seekg(static_cast<std::streamoff>(this->outputStart));
    return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace Greengage
