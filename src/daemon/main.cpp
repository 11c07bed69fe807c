/// limpettrestled: daemon that runs one entry instance of the query tier.

#include "daemon.h"

#include <cxxopts.hpp>
#include <glog/logging.h>
#include <iostream>

using namespace limpettrestle;

namespace {

int run(const std::string& file, bool checkOnly)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(settings, loadSettings(file));
            if (checkOnly) {
                std::cout << "settings ok: " << file << "\n";
                return 0;
            }
            return runDaemon(settings);
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
    cxxopts::Options options("limpettrestled", "Entry instance of the limpettrestle query tier");
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
        std::cout << options.help() << "\nExample:\n  limpettrestled --config examples/01-one-zone/instance.json\n";
        return 0;
    }
    if (parsed.count("version") > 0) {
        std::cout << "limpettrestled 0.1.0\n";
        return 0;
    }
    if (parsed.count("config") == 0) {
        std::cerr << "error 803 usage: --config is required\n";
        return 2;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return run(parsed["config"].as<std::string>(), parsed.count("check") > 0);
}
