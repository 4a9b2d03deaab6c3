# Compile and link options shared by all libraries, tests and programs.
add_library(balsam_options INTERFACE)
target_include_directories(balsam_options INTERFACE ${CMAKE_SOURCE_DIR})
# g++ 12 reports a false positive of -Wmismatched-new-delete for coroutine frames of Asio.
target_compile_options(balsam_options INTERFACE -Wall -Wextra -Wno-missing-field-initializers -Wno-mismatched-new-delete)
target_compile_definitions(balsam_options INTERFACE
    BOOST_ASIO_HAS_CO_AWAIT BOOST_ASIO_HAS_STD_COROUTINE BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(balsam_options INTERFACE Threads::Threads)

# balsam_library(NAME SOURCES ... DEPENDS ...): a static library named balsam_NAME.
function(balsam_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(balsam_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(balsam_${name} PUBLIC balsam_options)
    foreach(dependency ${ARG_DEPENDS})
        target_link_libraries(balsam_${name} PUBLIC balsam_${dependency})
    endforeach()
endfunction()

# balsam_test(NAME SOURCES ... DEPENDS ... [ARGUMENTS ...]): the test program of a library, run by ctest with the arguments.
function(balsam_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
    add_executable(${name}_test ${ARG_SOURCES})
    target_link_libraries(${name}_test PRIVATE balsam_options)
    foreach(dependency ${ARG_DEPENDS})
        target_link_libraries(${name}_test PRIVATE balsam_${dependency})
    endforeach()
    if(RAPIDCHECK_LIBRARY)
        target_link_libraries(${name}_test PRIVATE ${RAPIDCHECK_LIBRARY})
    endif()
    add_test(NAME ${name} COMMAND ${name}_test ${ARG_ARGUMENTS})
    # With a fixed seed, the property-based tests give the same result on each run.
    set_tests_properties(${name} PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# balsam_program(NAME SOURCES ... DEPENDS ...): an executable in build/bin.
function(balsam_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
    target_link_libraries(${name} PRIVATE balsam_options)
    foreach(dependency ${ARG_DEPENDS})
        target_link_libraries(${name} PRIVATE balsam_${dependency})
    endforeach()
endfunction()

# balsam_state_machine(LIBRARY FILE): compiles one Boost.MSM transition table as C++17, because MSM 1.74 does not compile as C++20.
function(balsam_state_machine library file)
    add_library(${library}_${file} OBJECT ${file}.cpp)
    target_link_libraries(${library}_${file} PRIVATE balsam_options)
    set_target_properties(${library}_${file} PROPERTIES CXX_STANDARD 17)
    target_sources(balsam_${library} PRIVATE $<TARGET_OBJECTS:${library}_${file}>)
endfunction()
