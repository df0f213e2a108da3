# Warnings for the project's own targets.  System headers stay quiet because
# the imported targets mark their include directories as SYSTEM.
function(catkinloom_set_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow)
endfunction()
