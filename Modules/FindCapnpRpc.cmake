# Defines the target catkinloom::capnp_rpc for Cap'n Proto RPC.  The package's
# own CMake configuration requires libatomic, which CMake does not find in the
# directory of Debian's compiler, so each library is found separately.
add_library(catkinloom_capnp_rpc INTERFACE)
add_library(catkinloom::capnp_rpc ALIAS catkinloom_capnp_rpc)
foreach(part IN ITEMS capnp-rpc capnp kj-async kj)
  find_library(CATKINLOOM_LIB_${part} NAMES ${part} REQUIRED)
  target_link_libraries(catkinloom_capnp_rpc INTERFACE ${CATKINLOOM_LIB_${part}})
endforeach()
