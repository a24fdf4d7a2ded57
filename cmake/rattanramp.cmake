# Compiler flags, third-party libraries and helper functions shared by all subsystems.

find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(spdlog REQUIRED)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

if(BUILD_TESTING)
  find_package(rapidcheck REQUIRED)
  pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # ccache caches compiles with precompiled headers only with pch_defines and time_macros. The base
  # directory makes paths relative, so that several worktrees share cache entries.
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
      CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()

add_library(rr_options INTERFACE)
target_compile_features(rr_options INTERFACE cxx_std_20)
target_compile_definitions(rr_options INTERFACE ASIO_STANDALONE ASIO_NO_DEPRECATED)
target_include_directories(rr_options INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_options(rr_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-unused-parameter
                                            -fpch-preprocess -pthread)
target_link_libraries(
  rr_options
  INTERFACE Threads::Threads PkgConfig::HTTPLIB PkgConfig::THRIFT PkgConfig::XXHASH
            nlohmann_json::nlohmann_json spdlog::spdlog CLI11::CLI11)

# Adds the library of one subsystem: rr_library(NAME sources... DEPENDS libraries...)
function(rr_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_UNPARSED_ARGUMENTS})
  target_link_libraries(${name} PUBLIC rr_options ${ARG_DEPENDS})
  if(NOT name STREQUAL "rr_wire")
    target_precompile_headers(${name} REUSE_FROM rr_wire)
  endif()
endfunction()

# Adds a program: rr_program(NAME sources... DEPENDS libraries...)
function(rr_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
  target_link_libraries(${name} PRIVATE rr_options ${ARG_DEPENDS})
  target_precompile_headers(${name} REUSE_FROM rr_wire)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Adds a Criterion test binary and its ctest entry:
# rr_test(NAME sources... DEPENDS libraries... [TIMEOUT s] [PROCESSES])
# PROCESSES marks tests that start real processes: ctest runs such a binary alone, and its test
# cases run one at a time.
function(rr_test name)
  cmake_parse_arguments(ARG "PROCESSES" "TIMEOUT" "DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
  target_link_libraries(${name} PRIVATE rr_options PkgConfig::CRITERION rapidcheck ${ARG_DEPENDS})
  target_precompile_headers(${name} REUSE_FROM rr_wire)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  if(ARG_PROCESSES)
    add_test(NAME ${name} COMMAND ${name} --jobs 1 --timeout 120)
    set_tests_properties(${name} PROPERTIES RUN_SERIAL ON)
  else()
    add_test(NAME ${name} COMMAND ${name} --jobs 2 --timeout 60)
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} ENVIRONMENT
    "RC_PARAMS=seed=20261204;RATTANRAMP_BIN=${CMAKE_BINARY_DIR}/bin")
endfunction()
