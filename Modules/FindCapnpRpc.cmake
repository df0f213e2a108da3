# Finds Cap'n Proto RPC as the target catkinloom::capnp_rpc.  The package's own
# configuration needs libatomic, which Debian's compiler hides from CMake, so
# the libraries are looked up one by one.
add_library(catkinloom_capnp_rpc INTERFACE)
add_library(catkinloom::capnp_rpc ALIAS catkinloom_capnp_rpc)
foreach(part IN ITEMS capnp-rpc capnp kj-async kj)
  find_library(CATKINLOOM_LIB_${part} NAMES ${part} REQUIRED)
  target_link_libraries(catkinloom_capnp_rpc INTERFACE ${CATKINLOOM_LIB_${part}})
endforeach()
