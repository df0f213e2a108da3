#include "clFakePlatform.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

int
main(int argc, char** argv)
{
  cxxopts::Options options("catkinloom-fake-platform",
                           "Simulates the platform's key-value service.");
  options.add_options()(
    "listen", "IP:port to listen on", cxxopts::value<std::string>());
  const auto parsed = options.parse(argc, argv);
  catkinloom::event_loop loop;
  catkinloom::fake_platform platform(loop);
  if (const auto listening =
        platform.Listen(parsed["listen"].as<std::string>());
      !listening) {
    fmt::print(
      stderr, "catkinloom-fake-platform: {}\n", listening.error().mDetail);
    return 1;
  }
  loop.Run();
  return 0;
}
