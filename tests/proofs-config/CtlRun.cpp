#include <tests/proofs-config/CtlRun.h>

#include <tests/site/Site.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <numeric>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr Milliseconds runLimit { 60000 };

std::string keyFile(Site& site)
{
    auto path = site.file("operator.key");
    if (!std::filesystem::exists(path))
        std::ofstream(path) << "operator-key\n";
    return path;
}

} // namespace

CtlRun::CtlRun(
    Site& site, const std::string& name, const std::vector<std::size_t>& daemons, std::vector<std::string> arguments)
    : path(site.file(name))
{
    std::filesystem::remove(this->path);
    std::vector<std::string> command { std::string(BINARY_ROOT) + "/bin/greengagectl", "--key-file", keyFile(site) };
    for (auto index : daemons) {
        const auto& location = site.layout().daemons().at(index);
        command.insert(
            command.end(), { "--daemon", fmt::format("{}:{}", location.address, site.layout().adminPort()) });
    }
    command.insert(command.end(), arguments.begin(), arguments.end());
    this->process = std::make_unique<ChildProcess>(std::move(command), this->path);
}

std::string CtlRun::output() const
{
    std::ifstream stream(this->path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

int CtlRun::runToEnd(Site& site, const std::string& name, std::vector<std::string> arguments)
{
    std::vector<std::size_t> daemons(site.layout().daemons().size());
    std::iota(daemons.begin(), daemons.end(), 0);
    CtlRun run(site, name, daemons, std::move(arguments));
    return run.process->wait(runLimit).value_or(-1);
}

} // namespace Greengage
