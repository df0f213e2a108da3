# Enables compiler warnings for the project's own targets.  Third-party headers
# give no warnings because imported targets mark their include directories as
# SYSTEM.
function(catkinloom_set_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow)
endfunction()
