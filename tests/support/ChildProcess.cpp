#include <support/ChildProcess.h>

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Greengage {

namespace {

constexpr auto hangTimeout = std::chrono::seconds(60);
constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr int signalExitBase = 128;

} // namespace

ChildProcess::ChildProcess(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& outputFile)
    : outputFile(outputFile)
{
    std::vector<char*> words { const_cast<char*>(program.c_str()) };
    for (const auto& argument : arguments)
        words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDERR_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    if (posix_spawn(&this->process, program.c_str(), &actions, nullptr, words.data(), environ) != 0)
        this->process = -1;
    posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess()
{
    if (this->process <= 0 || this->exitCode())
        return;
    kill(this->process, SIGCONT);
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
}

void ChildProcess::signal(int number) const
{
    if (this->process > 0 && !this->code)
        kill(this->process, number);
}

std::optional<int> ChildProcess::exitCode()
{
    int status = 0;
    if (this->process > 0 && !this->code && waitpid(this->process, &status, WNOHANG) == this->process)
        this->code = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
    return this->code;
}

std::optional<int> ChildProcess::awaitExit()
{
    auto deadline = std::chrono::steady_clock::now() + hangTimeout;
    while (!this->exitCode() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(pollInterval);
    return this->code;
}

std::string ChildProcess::output() const
{
    std::ifstream stream(this->outputFile);
    return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace Greengage
