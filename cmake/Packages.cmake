# Helpers for the workspace: one static library per package, one Catch2 binary per package's tests.

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_SOURCE_DIR}/cmake/ccache)
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS system)
find_package(CapnProto REQUIRED)
find_package(gflags REQUIRED)
find_package(nlohmann_json 3.11 REQUIRED)
find_package(benchmark REQUIRED)

add_compile_options(-Wall -Wextra -Wpedantic -Werror -fno-omit-frame-pointer)
add_compile_definitions(BOOST_ASIO_DISABLE_CO_AWAIT)
# Relative paths in debug information let ccache share results between checkouts.
add_compile_options(-fmacro-prefix-map=${CMAKE_SOURCE_DIR}/= -fdebug-prefix-map=${CMAKE_SOURCE_DIR}=.)

if(VL_SANITIZER)
  # GCC 12 reports false positives of the first warning in instrumented code; the second is about fences in Boost.
  add_compile_options(-fsanitize=${VL_SANITIZER} -fno-sanitize-recover=all -Wno-maybe-uninitialized -Wno-tsan)
  add_link_options(-fsanitize=${VL_SANITIZER})
endif()

# vl_package(NAME [DEPS target...]): library vl_NAME from src/*.cc and test vl_NAME_test from tests/*_test.cc.
function(vl_package name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  file(GLOB test_sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cc)
  if(sources)
    add_library(vl_${name} STATIC ${sources})
    target_include_directories(vl_${name} PUBLIC include PRIVATE src)
    target_link_libraries(vl_${name} PUBLIC ${ARG_DEPS} Threads::Threads)
  else()
    add_library(vl_${name} INTERFACE)
    target_include_directories(vl_${name} INTERFACE include)
    target_link_libraries(vl_${name} INTERFACE ${ARG_DEPS} Threads::Threads)
  endif()
  if(test_sources)
    vl_test(vl_${name}_test SOURCES ${test_sources} DEPS vl_${name})
  endif()
endfunction()

# Catch2's main() is compiled once for all test binaries.
add_library(vl_catch_main STATIC ${CMAKE_SOURCE_DIR}/cmake/catch_main.cc)

# vl_test(NAME SOURCES file... DEPS target... [ARGS arg...]): a Catch2 binary registered with CTest.
function(vl_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;ARGS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} vl_catch_main)
  add_test(NAME ${name} COMMAND ${name} ${ARG_ARGS})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()
