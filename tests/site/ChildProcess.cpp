#include <tests/site/ChildProcess.h>

#include <core/time/Deadline.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr Milliseconds pollInterval { 5 };
constexpr int signalStatusBase = 128;
constexpr int cannotExecuteStatus = 127;

[[noreturn]] void runProgram(std::vector<std::string>& command, const std::string& outputPath)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
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
    : processId(fork())
{
    if (this->processId == 0)
        runProgram(command, outputPath);
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

} // namespace Greengage
