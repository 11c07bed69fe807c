/// limpettrestle-gateway: instance of the query tier that serves routes on a platform with a registry.

#include "../process/system_clock.h"
#include "gateway.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace limpettrestle;

namespace {

int run(const std::string& file, bool checkOnly)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(settings, loadGatewaySettings(file));
            if (checkOnly) {
                std::cout << "settings ok: " << file << "\n";
                return 0;
            }
            const SystemClock clock;
            const SystemCpuClock cpuClock;
            EventLog log;
            Gateway gateway(settings, file, clock, cpuClock, log);
            const int code = gateway.run();
            // Exits without destructors; connections that are still open close with the process.
            std::_Exit(code);
        },
        [](const SettingsError& error) {
            std::cerr << formatSettingsError(error) << "\n";
            return 2;
        },
        [] {
            std::cerr << "error 899 internal\n";
            return 2;
        });
}

} // namespace

int main(int argc, char** argv)
{
    // Reloading is possible once the event loop runs; before, the signal must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    cxxopts::Options options("limpettrestle-gateway", "Entry instance that serves routes on a platform with a registry");
    options.add_options()("c,config", "Settings file, JSON with comments", cxxopts::value<std::string>())(
        "check", "Check the settings and exit")("v,version", "Print the version")("h,help", "Print this help");
    cxxopts::ParseResult parsed;
    try {
        parsed = options.parse(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "error 803 usage: " << error.what() << "\n";
        return 2;
    }
    if (parsed.count("help") > 0) {
        std::cout << options.help() << "\nExample:\n  limpettrestle-gateway --config examples/03-gateway/gateway.json\n";
        return 0;
    }
    if (parsed.count("version") > 0) {
        std::cout << "limpettrestle-gateway 0.2.0\n";
        return 0;
    }
    if (parsed.count("config") == 0) {
        std::cerr << "error 803 usage: --config is required\n";
        return 2;
    }
    return run(parsed["config"].as<std::string>(), parsed.count("check") > 0);
}
