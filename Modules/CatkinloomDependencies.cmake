# Finds the third-party libraries.  Each one is a Debian -dev package;
# Utilities/install-dependencies installs the same list.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS fiber context json)
include(FindCapnpRpc)
find_package(prometheus-cpp REQUIRED COMPONENTS core)
find_package(yaml-cpp REQUIRED)
find_package(cxxopts REQUIRED)
find_package(fmt REQUIRED)
if(CATKINLOOM_TESTS)
  find_package(doctest REQUIRED)
endif()
